package memlog

import (
	"bytes"
	"sync"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/logservice"
)

// stream holds the retained entries of one stream.
type stream struct {
	mu      sync.Mutex // guards all fields; first+len(entries) is the next offset
	era     logservice.Era
	first   ident.Offset
	entries []logservice.Entry
	appends int64
	bytes   int64
	changed chan struct{} // closed and replaced by every append, trim and restore
}

func newStream(era logservice.Era) *stream {
	return &stream{era: era, changed: make(chan struct{})}
}

// append adds the given number of copies of one entry, drops entries beyond the
// retention and returns the offset of the last copy and its era. Of an entry that
// must get a certain offset there is only one copy.
func (s *stream) append(request logservice.AppendRequest, copies, retention int) (ident.Offset, logservice.Era, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if request.Era != logservice.NoEra && request.Era != s.era {
		return ident.NoOffset, s.era, logservice.ErrEraChanged
	}
	if request.At != ident.NoOffset {
		copies = 1
		if request.At != s.nextOffset() {
			return ident.NoOffset, s.era, logservice.ErrMoved
		}
	}
	data := bytes.Clone(request.Data)
	for range copies {
		s.entries = append(s.entries, logservice.Entry{Offset: s.nextOffset(), Data: data})
		s.appends++
		s.bytes += int64(len(data))
	}
	s.retainLocked(retention)
	s.notifyReaders()
	return s.nextOffset() - 1, s.era, nil
}

// page returns the entries at and after an offset, and a channel that is closed at the
// next change of the stream.
func (s *stream) page(from ident.Offset, limit int) (logservice.Page, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from < s.first || from > s.nextOffset() && from != logservice.End {
		return logservice.Page{}, nil, logservice.ErrTrimmed
	}
	page := logservice.Page{First: s.first, Next: s.nextOffset(), Era: s.era}
	if from >= s.nextOffset() {
		return page, s.changed, nil
	}
	if limit <= 0 || limit > MaxPageEntries {
		limit = MaxPageEntries
	}
	size := 0
	for _, entry := range s.entries[from-s.first:] {
		size += len(entry.Data)
		full := len(page.Entries) == limit || size > MaxPageBytes
		if full && len(page.Entries) > 0 {
			break
		}
		page.Entries = append(page.Entries, entry)
	}
	return page, s.changed, nil
}

func (s *stream) retain(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retainLocked(n)
	s.notifyReaders()
}

func (s *stream) retainLocked(n int) {
	if n <= 0 || len(s.entries) <= n {
		return
	}
	s.trimLocked(s.nextOffset() - ident.Offset(n))
}

func (s *stream) trim(before ident.Offset) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trimLocked(min(before, s.nextOffset()))
	s.notifyReaders()
}

// trimLocked drops the entries before an offset, which must not exceed nextOffset.
func (s *stream) trimLocked(before ident.Offset) {
	if before <= s.first {
		return
	}
	dropped := int(before - s.first)
	clear(s.entries[:dropped]) // frees their data; append copies the rest when it grows the slice
	s.entries = s.entries[dropped:]
	s.first = before
}

func (s *stream) stats() StreamStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StreamStats{Appends: s.appends, Bytes: s.bytes, First: s.first, Next: s.nextOffset()}
}

func (s *stream) nextOffset() ident.Offset {
	return s.first + ident.Offset(len(s.entries))
}

func (s *stream) notifyReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}
