// Package memlog is an append-only log in memory with finite retention and
// faults that can be set while it runs. The stand-in platform serves it, and
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
	MaxPageEntries = 1000    // of one page, also when a reader names no limit
)

// ErrBadOffset refuses a read from a negative offset.
var ErrBadOffset = errors.New("offset is negative")

// Log implements logservice.Log. Use New.
type Log struct {
	mu        sync.Mutex // guards streams and retention; taken before a stream's lock
	streams   map[logservice.Stream]*stream
	retention int // entries kept per stream; 0 keeps all
	faults    faults
}

// StreamStats counts what a stream has taken since the start.
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
		streams: map[logservice.Stream]*stream{},
		faults:  faults{changed: make(chan struct{})},
	}
}

// Append adds one entry and returns its offset.
func (l *Log) Append(ctx context.Context, name logservice.Stream, data []byte) (ident.Offset, error) {
	if len(data) > MaxEntryBytes {
		return ident.NoOffset, logservice.ErrTooLarge
	}
	if err := ctx.Err(); err != nil {
		return ident.NoOffset, logservice.Unavailable(err)
	}
	changed, delay, err := l.faults.enter()
	if err != nil {
		return ident.NoOffset, err
	}
	if err := sleep(ctx, changed, delay/2); err != nil {
		return ident.NoOffset, err
	}
	s, retention := l.stream(name)
	offset := s.append(data, l.faults.copies(), retention)
	if err := sleep(ctx, changed, delay-delay/2); err != nil {
		return ident.NoOffset, err
	}
	if l.faults.loseReply() {
		return ident.NoOffset, logservice.Unavailable(ErrReplyLost)
	}
	return offset, nil
}

// Read returns the entries from an offset on, and waits for the first if the
// request says so.
func (l *Log) Read(ctx context.Context, request logservice.ReadRequest) (logservice.Page, error) {
	if request.From < 0 {
		return logservice.Page{}, ErrBadOffset
	}
	if err := ctx.Err(); err != nil {
		return logservice.Page{}, logservice.Unavailable(err)
	}
	changed, delay, err := l.faults.enter()
	if err != nil {
		return logservice.Page{}, err
	}
	if err := sleep(ctx, changed, delay); err != nil {
		return logservice.Page{}, err
	}
	timer := time.NewTimer(request.Wait)
	defer timer.Stop()
	s, _ := l.stream(request.Stream)
	for {
		page, grown, err := s.page(request.From, request.Max)
		if err != nil || len(page.Entries) > 0 || request.Wait <= 0 {
			return page, err
		}
		select {
		case <-grown:
		case <-timer.C:
			return page, nil
		case <-changed:
			return logservice.Page{}, logservice.Unavailable(ErrDown)
		case <-ctx.Done():
			return logservice.Page{}, logservice.Unavailable(ctx.Err())
		}
	}
}

// SetRetention keeps only the newest n entries of every stream; 0 keeps all that
// are there.
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
	s, _ := l.stream(name)
	s.trim(before)
}

// Stats returns the counts of every stream.
func (l *Log) Stats() map[logservice.Stream]StreamStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	stats := make(map[logservice.Stream]StreamStats, len(l.streams))
	for name, s := range l.streams {
		stats[name] = s.stats()
	}
	return stats
}

// stream returns a stream, creating it if needed, and the retention in force.
func (l *Log) stream(name logservice.Stream) (*stream, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.streams[name]
	if !ok {
		s = newStream()
		l.streams[name] = s
	}
	return s, l.retention
}
