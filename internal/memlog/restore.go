package memlog

import (
	"slices"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/logservice"
)

// Copy is the content of a log at one moment, see Log.Restore.
type Copy struct {
	streams map[logservice.Stream]streamCopy
}

type streamCopy struct {
	first   ident.Offset
	entries []logservice.Entry
}

// Copy returns a copy of all streams. Entries that are appended later are not part
// of it.
func (l *Log) Copy() *Copy {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &Copy{streams: make(map[logservice.Stream]streamCopy, len(l.streams))}
	for name, s := range l.streams {
		c.streams[name] = s.copy()
	}
	return c
}

// Restore replaces all streams by a copy and raises the era by one. Entries that
// were appended after the copy are lost, and their offsets are given out again. A
// stream that is not in the copy becomes empty. Readers that wait get the new
// state. The copy may be restored again.
func (l *Log) Restore(c *Copy) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.era++
	for name, s := range l.streams {
		s.restore(c.streams[name], l.era)
	}
	for name, copied := range c.streams {
		if _, ok := l.streams[name]; !ok {
			s := newStream(l.era)
			s.restore(copied, l.era)
			l.streams[name] = s
		}
	}
}

// Era returns the era of the log, 1 before the first restore.
func (l *Log) Era() logservice.Era {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.era
}

func (s *stream) copy() streamCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return streamCopy{first: s.first, entries: slices.Clone(s.entries)}
}

func (s *stream) restore(c streamCopy, era logservice.Era) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = era
	s.first = c.first
	s.entries = slices.Clone(c.entries)
	s.notifyReaders()
}
