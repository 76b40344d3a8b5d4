package engine

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// maxEventBytes limits the size of one server-sent event, with all that comes before it and has
// no data, such as comments.
const maxEventBytes = 1 << 20

// sseEvent is one server-sent event.
type sseEvent struct {
	data  []byte // not shared with the reader's buffer
	index uint64
	// hasIndex reports whether the event had a numeric id, which is its index
	// in the stream.
	hasIndex bool
}

// sseReader parses a stream of server-sent events.
type sseReader struct {
	source *bufio.Reader
}

func newSSEReader(r io.Reader) *sseReader {
	return &sseReader{source: bufio.NewReaderSize(r, 4096)}
}

// next returns the next event that has data. It returns io.EOF, unwrapped, at
// the end of the stream, even if the last event is incomplete.
func (s *sseReader) next() (sseEvent, error) {
	var e sseEvent
	for size := 0; ; {
		line, err := s.readLine()
		if err != nil {
			return e, err
		}
		if size += len(line) + 1; size > maxEventBytes {
			return e, errors.New("event is too large")
		}
		if len(line) == 0 {
			if e.data != nil {
				return e, nil
			}
			continue
		}
		e.parseField(line)
	}
}

// parseField parses one line of the event. Fields other than data and id are
// ignored.
func (e *sseEvent) parseField(line []byte) {
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
		e.index, e.hasIndex = index, err == nil
	}
}

// readLine returns the next line without its line terminator. The result is
// valid until the next call.
func (s *sseReader) readLine() ([]byte, error) {
	line, err := s.source.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		line, err = s.readLongLine(line)
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

// readLongLine reads the rest of a line that exceeds the buffer; prefix is the
// part already read.
func (s *sseReader) readLongLine(prefix []byte) ([]byte, error) {
	long := append([]byte(nil), prefix...)
	for {
		more, err := s.source.ReadSlice('\n')
		long = append(long, more...)
		if err != bufio.ErrBufferFull {
			return long, err
		}
		if len(long) > maxEventBytes {
			return nil, errors.New("line is too long")
		}
	}
}
