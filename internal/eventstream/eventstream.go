// Package eventstream splits a stream of server-sent events (text/event-stream)
// into events, and checks and parses what all events have in common.
package eventstream

import (
	"bytes"
	"io"
	"unicode/utf8"

	"github.com/pkg/errors"
)

// Buffer sizes of a Scanner in bytes.
const (
	initialBuffer = 2 << 10
	// MaxEventBytes is the maximum size of one event.
	MaxEventBytes = 256 << 10
)

// Terminators of events: an empty line after the end of the last one. Lines end with LF or
// CRLF.
var terminators = [][]byte{[]byte("\n\n"), []byte("\n\r\n")}

// maxTerminator is the length in bytes of the longest event terminator.
const maxTerminator = len("\n\r\n")

// ErrTooLong means that an event exceeds MaxEventBytes.
var ErrTooLong = errors.New("event is too long")

// ErrMalformed means that bytes are not an event.
var ErrMalformed = errors.New("bytes are not an event")

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
			return s.last()
		}
		if err := s.makeRoom(); err != nil {
			return nil, err
		}
		n, err := s.source.Read(s.buffer[s.end:])
		s.end += n
		s.err = err
	}
}

// last returns what remains when the reader has failed: an empty line after the last event, or
// an error.
func (s *Scanner) last() ([]byte, error) {
	rest := s.buffer[s.start:s.end]
	switch {
	case !errors.Is(s.err, io.EOF) || len(rest) == 0:
		return nil, s.err
	case string(rest) == "\n" || string(rest) == "\r\n":
		s.start = s.end
		return rest, nil
	default:
		return nil, ErrPartial
	}
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
	for _, terminator := range terminators {
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
	for end := 0; ; {
		i := bytes.IndexByte(b[end:], '\n')
		if i < 0 {
			return 0
		}
		end += i + 1
		for _, emptyLine := range []string{"\n", "\r\n"} {
			if len(b)-end >= len(emptyLine) && string(b[end:end+len(emptyLine)]) == emptyLine {
				return end + len(emptyLine)
			}
		}
	}
}

// Event is what the fields of an event say.
type Event struct {
	ID      string // empty if it has none
	Comment bool   // only comments and empty lines
	Empty   bool   // only empty lines
}

// Parse parses an event. It fails with ErrMalformed if the bytes are not UTF-8, if a line has
// a field that no event has or a CR or NUL in it, or if there are several ids. The format
// lets receivers ignore unknown fields; here they are taken for bytes of something else.
func Parse(event []byte) (Event, error) {
	parsed, hasID := Event{Comment: true, Empty: true}, false
	if !utf8.Valid(event) {
		return Event{}, ErrMalformed
	}
	for line := range bytes.Lines(event) {
		line = bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
		if bytes.IndexByte(line, '\r') >= 0 || bytes.IndexByte(line, 0) >= 0 {
			return Event{}, ErrMalformed
		}
		if len(line) == 0 {
			continue
		}
		parsed.Empty = false
		if line[0] == ':' {
			continue
		}
		parsed.Comment = false
		name, value, _ := bytes.Cut(line, []byte(":"))
		if !isFieldName(name) || (hasID && string(name) == "id") {
			return Event{}, ErrMalformed
		}
		if string(name) == "id" {
			hasID, parsed.ID = true, string(bytes.TrimSpace(value))
		}
	}
	return parsed, nil
}

// isFieldName reports whether a name is that of a field of the format, or of an extension.
func isFieldName(name []byte) bool {
	switch string(name) {
	case "data", "event", "id", "retry":
		return true
	}
	extension, ok := bytes.CutPrefix(name, []byte("x-"))
	for _, c := range extension {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return ok && len(extension) > 0
}
