package eventstream

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

func TestNextReturnsOnlyWholeEvents(t *testing.T) {
	cases := []struct {
		name, in string
		events   []string
		err      error
	}{
		{"empty", "", nil, io.EOF},
		{"two events", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}, io.EOF},
		{"CRLF line ends", "id: 1\r\n\r\nid: 2\r\n\r\n", []string{"id: 1\r\n\r\n", "id: 2\r\n\r\n"}, io.EOF},
		{"incomplete last event", "id: 1\n\nid: 2\nda", []string{"id: 1\n\n"}, ErrPartial},
		{"long", "data: " + strings.Repeat("x", 3*initialBuffer) + "\n\n", []string{"data: " + strings.Repeat("x", 3*initialBuffer) + "\n\n"}, io.EOF},
		{"too long", strings.Repeat("x", MaxEventBytes+1), nil, ErrTooLong},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for _, in := range []io.Reader{strings.NewReader(c.in), iotest.OneByteReader(strings.NewReader(c.in))} {
				scanner := NewScanner(in)
				var events []string
				for {
					batch, err := scanner.Next()
					if err != nil {
						require.ErrorIs(t, err, c.err)
						break
					}
					Split(batch, func(event []byte) bool {
						events = append(events, string(event))
						return true
					})
				}
				require.Equal(t, c.events, events)
			}
		})
	}
}

func TestReadErrorIsNotEOF(t *testing.T) {
	scanner := NewScanner(iotest.TimeoutReader(iotest.OneByteReader(strings.NewReader("id: 1\n\n"))))
	_, err := scanner.Next()
	require.ErrorIs(t, err, iotest.ErrTimeout)
}

func TestID(t *testing.T) {
	require.Equal(t, "7", ID([]byte("data: id: 3\nid: 7\n\n")))
	require.Equal(t, "", ID([]byte("data: x\n\n")))
}

// FuzzScanner checks that the scanner returns exactly the complete events of any
// input, and that Split returns all bytes of a batch.
func FuzzScanner(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\n\ntail"))
	f.Add([]byte("\n\n\r\n\r\n\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		scanner := NewScanner(iotest.HalfReader(bytes.NewReader(in)))
		var out []byte
		for {
			batch, err := scanner.Next()
			if err != nil {
				break
			}
			whole := 0
			Split(batch, func(event []byte) bool { whole += len(event); return true })
			require.Equal(t, len(batch), whole)
			out = append(out, batch...)
		}
		require.True(t, bytes.HasPrefix(in, out))
		require.Zero(t, lastEventEnd(in[len(out):]))
	})
}
