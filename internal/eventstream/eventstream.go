// Package eventstream splits a stream of server-sent events (text/event-stream)
// into events. It does not parse the fields of an event, except for its id.
package eventstream

import (
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// Buffer sizes of a Scanner in bytes.
const (
	initialBuffer = 2 << 10
	// MaxEventBytes is the maximum size of one event.
	MaxEventBytes = 256 << 10
)

// maxTerminator is the length in bytes of the longest event terminator.
const maxTerminator = len("\r\n\r\n")

// ErrTooLong means that an event exceeds MaxEventBytes.
var ErrTooLong = errors.New("event is too long")

// ErrPartial means that the stream ended in the middle of an event.
var ErrPartial = errors.New("stream ended within an event")

// Scanner reads complete events from a stream.
type Scanner struct {
	source   io.Reader
	buffer   []byte
	start    int // of the data in buffer that has not been returned
	end      int // of the data in buffer
	searched int // no event ends between start and here
	err      error
}

// NewScanner returns a scanner that reads from source.
func NewScanner(source io.Reader) *Scanner {
	return &Scanner{source: source, buffer: make([]byte, initialBuffer)}
}

// Next returns all complete events in the buffer, at least one. It reads from the
// stream only if the buffer has no complete event. The returned bytes are valid
// until the next call. Next fails with io.EOF if the stream ended after a complete
// event, with ErrPartial if it ended in the middle of one, with ErrTooLong if an
// event exceeds MaxEventBytes, and otherwise with the error of the reader.
func (s *Scanner) Next() ([]byte, error) {
	for {
		from := max(s.start, s.searched-maxTerminator+1)
		if n := lastEventEnd(s.buffer[from:s.end]); n > 0 {
			events := s.buffer[s.start : from+n]
			s.start = from + n
			s.searched = s.start
			return events, nil
		}
		s.searched = s.end
		if s.err != nil {
			return nil, s.readError()
		}
		if err := s.makeRoom(); err != nil {
			return nil, err
		}
		n, err := s.source.Read(s.buffer[s.end:])
		s.end += n
		s.err = err
	}
}

func (s *Scanner) readError() error {
	if errors.Is(s.err, io.EOF) && s.start < s.end {
		return ErrPartial
	}
	return s.err
}

// makeRoom moves unread data to the start of the buffer and grows the buffer if it
// is full.
func (s *Scanner) makeRoom() error {
	if s.start > 0 {
		copy(s.buffer, s.buffer[s.start:s.end])
		s.end -= s.start
		s.searched -= s.start
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

// lastEventEnd returns the end of the last complete event in b, or zero if there is
// none.
func lastEventEnd(b []byte) int {
	end := 0
	for _, terminator := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if i := bytes.LastIndex(b, terminator); i >= 0 {
			end = max(end, i+len(terminator))
		}
	}
	return end
}

// Split calls visit for each event in b until visit returns false. Data after the
// last event terminator, such as an extra empty line, is passed as an event too.
func Split(b []byte, visit func(event []byte) bool) {
	for len(b) > 0 {
		n := firstEventEnd(b)
		if n == 0 {
			n = len(b)
		}
		if !visit(b[:n]) {
			return
		}
		b = b[n:]
	}
}

// firstEventEnd returns the end of the first complete event in b, or zero if there
// is none.
func firstEventEnd(b []byte) int {
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

// IsComment reports whether an event consists only of comments and empty lines.
func IsComment(event []byte) bool {
	for line := range bytes.Lines(event) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// CountEvents returns the number of events in b that are not only comments.
func CountEvents(b []byte) int {
	n := 0
	Split(b, func(event []byte) bool {
		if !IsComment(event) {
			n++
		}
		return true
	})
	return n
}

// ID returns the id of an event, or an empty string if it has none.
func ID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
