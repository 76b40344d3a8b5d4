// Package memlog is an in-memory implementation of the log service with finite
// retention and fault injection at run time. The stand-in platform serves it, and
// tests use it directly.
package memlog

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/logservice"
)

// Limits of the log.
const (
	MaxEntryBytes  = 1 << 20 // of one entry
	MaxPageBytes   = 4 << 20 // of the data of one page, unless its first entry is larger
	MaxPageEntries = 1000    // of one page, also when the request sets no limit
)

// ErrBadOffset is returned for a read from a negative offset.
var ErrBadOffset = errors.New("offset is negative")

// Log implements logservice.Log. Create it with New.
type Log struct {
	mu        sync.Mutex // guards all but faults; taken before a stream's lock
	era       logservice.Era
	streams   map[logservice.Stream]*stream
	retention int // entries kept per stream; 0 keeps all
	faults    faults
}

// StreamStats counts the entries and bytes appended to a stream since the start, and
// gives its oldest retained and its next offset.
type StreamStats struct {
	Appends int64        `json:"appends"`
	Bytes   int64        `json:"bytes"`
	First   ident.Offset `json:"first"`
	Next    ident.Offset `json:"next"`
}

var _ logservice.Log = (*Log)(nil)

// New returns an empty log that keeps every entry.
func New() *Log {
	return &Log{
		era:     1,
		streams: map[logservice.Stream]*stream{},
		faults:  faults{downChanged: make(chan struct{})},
	}
}

// Append adds one entry and returns its offset.
func (l *Log) Append(ctx context.Context, name logservice.Stream, data []byte) (ident.Offset, error) {
	return l.AppendIf(ctx, logservice.AppendRequest{Stream: name, Data: data, At: ident.NoOffset})
}

// AppendIf implements logservice.Log.
func (l *Log) AppendIf(ctx context.Context, request logservice.AppendRequest) (ident.Offset, error) {
	offset, _, err := l.AppendInEra(ctx, request)
	return offset, err
}

// AppendInEra is AppendIf that also returns the era of the offset.
func (l *Log) AppendInEra(ctx context.Context, request logservice.AppendRequest) (ident.Offset, logservice.Era, error) {
	if len(request.Data) > MaxEntryBytes {
		return ident.NoOffset, logservice.NoEra, logservice.ErrTooLarge
	}
	if err := ctx.Err(); err != nil {
		return ident.NoOffset, logservice.NoEra, logservice.Unavailable(err)
	}
	downChanged, delay, err := l.faults.startCall()
	if err != nil {
		return ident.NoOffset, logservice.NoEra, err
	}
	if err := sleep(ctx, downChanged, delay/2); err != nil {
		return ident.NoOffset, logservice.NoEra, err
	}
	s, retention := l.getOrCreateStream(request.Stream)
	offset, era, err := s.append(request, l.faults.nextCopyCount(), retention)
	if err != nil {
		return ident.NoOffset, logservice.NoEra, err
	}
	if err := sleep(ctx, downChanged, delay-delay/2); err != nil {
		return ident.NoOffset, logservice.NoEra, err
	}
	if l.faults.shouldLoseReply() {
		return ident.NoOffset, logservice.NoEra, logservice.Unavailable(ErrReplyLost)
	}
	return offset, era, nil
}

// Read returns the entries at and after an offset. If there are none, it waits up to
// request.Wait for one.
func (l *Log) Read(ctx context.Context, request logservice.ReadRequest) (logservice.Page, error) {
	if request.From < 0 {
		return logservice.Page{}, ErrBadOffset
	}
	if err := ctx.Err(); err != nil {
		return logservice.Page{}, logservice.Unavailable(err)
	}
	downChanged, delay, err := l.faults.startCall()
	if err != nil {
		return logservice.Page{}, err
	}
	if err := sleep(ctx, downChanged, delay); err != nil {
		return logservice.Page{}, err
	}
	timer := time.NewTimer(request.Wait)
	defer timer.Stop()
	s, _ := l.getOrCreateStream(request.Stream)
	for {
		page, streamChanged, err := s.page(request.From, request.Max)
		if err != nil || len(page.Entries) > 0 || request.Wait <= 0 {
			return page, err
		}
		select {
		case <-streamChanged:
		case <-timer.C:
			return page, nil
		case <-downChanged:
			return logservice.Page{}, logservice.Unavailable(ErrDown)
		case <-ctx.Done():
			return logservice.Page{}, logservice.Unavailable(ctx.Err())
		}
	}
}

// SetRetention keeps only the newest n entries of every stream, now and after
// each append; 0 keeps all entries from now on.
func (l *Log) SetRetention(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retention = n
	for _, s := range l.streams {
		s.retain(n)
	}
}

// Trim drops the entries of a stream before an offset.
func (l *Log) Trim(name logservice.Stream, before ident.Offset) {
	s, _ := l.getOrCreateStream(name)
	s.trim(before)
}

// Stats returns the statistics of every stream.
func (l *Log) Stats() map[logservice.Stream]StreamStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	stats := make(map[logservice.Stream]StreamStats, len(l.streams))
	for name, s := range l.streams {
		stats[name] = s.stats()
	}
	return stats
}

// getOrCreateStream returns a stream, creating it if needed, and the number of
// entries to retain.
func (l *Log) getOrCreateStream(name logservice.Stream) (*stream, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.streams[name]
	if !ok {
		s = newStream(l.era)
		l.streams[name] = s
	}
	return s, l.retention
}
