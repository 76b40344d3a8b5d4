// Package eventstream takes a stream of events (text/event-stream) apart at the
// ends of its events, without looking at what they carry.
package eventstream

import (
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// Sizes of the buffer of a Scanner, in bytes.
const (
	firstBuffer = 2 << 10
	// MaxEventBytes bounds one event.
	MaxEventBytes = 1 << 20
)

// longestBlank is the length of the longest end of an event.
const longestBlank = len("\r\n\r\n")

// ErrTooLong means that an event exceeds MaxEvent.
var ErrTooLong = errors.New("event is too long")

// ErrPartial means that the stream ended within an event.
var ErrPartial = errors.New("stream ended within an event")

// Scanner reads whole events.
type Scanner struct {
	from   io.Reader
	buffer []byte
	start  int // of what was not returned yet
	end    int // of what was read
	looked int // up to here there is no end of an event after start
	err    error
}

// NewScanner returns a scanner for a stream.
func NewScanner(from io.Reader) *Scanner {
	return &Scanner{from: from, buffer: make([]byte, firstBuffer)}
}

// Next returns all whole events that are at hand, at least one: it reads only
// if there is none. The bytes are valid until the next call. It fails with
// io.EOF when the stream ended after a whole event, and with ErrPartial when it
// ended within one.
func (s *Scanner) Next() ([]byte, error) {
	for {
		from := max(s.start, s.looked-longestBlank+1)
		if n := lastEnd(s.buffer[from:s.end]); n > 0 {
			events := s.buffer[s.start : from+n]
			s.start = from + n
			s.looked = s.start
			return events, nil
		}
		s.looked = s.end
		if s.err != nil {
			return nil, s.failure()
		}
		if err := s.room(); err != nil {
			return nil, err
		}
		n, err := s.from.Read(s.buffer[s.end:])
		s.end += n
		s.err = err
	}
}

func (s *Scanner) failure() error {
	if errors.Is(s.err, io.EOF) && s.start < s.end {
		return ErrPartial
	}
	return s.err
}

// room makes space to read into.
func (s *Scanner) room() error {
	if s.start > 0 {
		copy(s.buffer, s.buffer[s.start:s.end])
		s.end -= s.start
		s.looked -= s.start
		s.start = 0
	}
	if s.end < len(s.buffer) {
		return nil
	}
	if len(s.buffer) >= MaxEventBytes {
		return ErrTooLong
	}
	grown := make([]byte, 2*len(s.buffer))
	copy(grown, s.buffer[:s.end])
	s.buffer = grown
	return nil
}

// lastEnd returns where the last whole event of b ends, zero if there is none.
func lastEnd(b []byte) int {
	end := 0
	for _, blank := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if i := bytes.LastIndex(b, blank); i >= 0 {
			end = max(end, i+len(blank))
		}
	}
	return end
}

// Split calls visit for each of the events in b, until it returns false. What
// follows the last end, such as one more empty line, comes as an event too.
func Split(b []byte, visit func(event []byte) bool) {
	for len(b) > 0 {
		n := firstEnd(b)
		if n == 0 {
			n = len(b)
		}
		if !visit(b[:n]) {
			return
		}
		b = b[n:]
	}
}

func firstEnd(b []byte) int {
	lf := bytes.Index(b, []byte("\n\n"))
	crlf := bytes.Index(b, []byte("\r\n\r\n"))
	switch {
	case crlf >= 0 && (lf < 0 || crlf < lf):
		return crlf + 4
	case lf >= 0:
		return lf + 2
	default:
		return 0
	}
}

// ID returns the id of an event, empty if it has none.
func ID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
