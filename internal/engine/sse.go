package engine

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// maxEventBytes bounds one server-sent event.
const maxEventBytes = 1 << 20

// sseEvent is one server-sent event. Data is a copy of its own.
type sseEvent struct {
	data  []byte
	index uint64
	// indexed tells whether the engine numbered the event.
	indexed bool
}

// sseReader reads server-sent events.
type sseReader struct {
	lines *bufio.Reader
}

func newSSEReader(r io.Reader) *sseReader {
	return &sseReader{lines: bufio.NewReaderSize(r, 4096)}
}

// next returns the next event that has data. It returns io.EOF, unwrapped, at
// the end of the stream, also if that is within an event.
func (s *sseReader) next() (sseEvent, error) {
	var e sseEvent
	for {
		line, err := s.line()
		if err != nil {
			return e, err
		}
		if len(line) == 0 {
			if e.data != nil {
				return e, nil
			}
			continue
		}
		e.field(line)
		if len(e.data) > maxEventBytes {
			return e, errors.New("event is too large")
		}
	}
}

// field takes one line of the event.
func (e *sseEvent) field(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "data":
		if e.data != nil {
			e.data = append(e.data, '\n')
		}
		e.data = append(e.data, value...)
	case "id":
		index, err := strconv.ParseUint(string(value), 10, 64)
		e.index, e.indexed = index, err == nil
	}
}

// line returns the next line without its end. The result is valid until the
// next call.
func (s *sseReader) line() ([]byte, error) {
	line, err := s.lines.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		line, err = s.longLine(line)
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

func (s *sseReader) longLine(start []byte) ([]byte, error) {
	long := append([]byte(nil), start...)
	for {
		more, err := s.lines.ReadSlice('\n')
		long = append(long, more...)
		if err != bufio.ErrBufferFull {
			return long, err
		}
		if len(long) > maxEventBytes {
			return nil, errors.New("line is too long")
		}
	}
}
