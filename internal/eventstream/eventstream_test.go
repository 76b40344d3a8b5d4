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
		{"mixed line ends", "id: 1\n\r\nid: 2\r\n\n", []string{"id: 1\n\r\n", "id: 2\r\n\n"}, io.EOF},
		{"empty line at the end", "id: 1\r\n\r\n\r\n", []string{"id: 1\r\n\r\n", "\r\n"}, io.EOF},
		{"part of an empty line at the end", "id: 1\r\n\r\n\r", []string{"id: 1\r\n\r\n"}, ErrPartial},
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

func TestParse(t *testing.T) {
	sound := map[string]string{ // IDs
		"data: id: 3\nid: 7\n\n":                     "7",
		"data: x\n\n":                                "",
		"id:8\r\ndata: a\r\ndata: b\r\n\r\n":         "8",
		"id\ndata\n\n":                               "",
		"event: done\ndata: caf\u00e9 \u2713\t\n\n":  "",
		"x-version-2: 3\nid: 9\ndata: {\"a\":1}\n\n": "9",
		": comment\nretry: 10\nid: 10\n\n":           "10",
	}
	for text, id := range sound {
		event, err := Parse([]byte(text))
		require.NoError(t, err, "%q", text)
		require.Equal(t, Event{ID: id}, event, "%q", text)
	}
	for text, want := range map[string]Event{
		"\n": {Comment: true, Empty: true}, "\r\n\n": {Comment: true, Empty: true}, ":\n\n": {Comment: true}, "\n: x\n\n": {Comment: true},
	} {
		event, err := Parse([]byte(text))
		require.NoError(t, err)
		require.Equal(t, want, event, "%q", text)
	}
	for _, text := range []string{
		"id: 1\ndata: \xff\n\n", "id: \xc3\n\n", ": \xff\n\n", // no UTF-8
		"id: 1\ndata: a\rid: 2\n\n", "id: 1\ndata: \x00\n\n",
		"HTTP/1.1 200 OK\r\nid: 1\r\n\r\n", "<html>\n\n", "{\"id\":1}\n\n", "id : 1\n\n", "two words\nid: 1\n\n", "word\nid: 1\n\n", "Data: x\n\n", "x-: x\n\n", "x-é: x\n\n",
		"id: 1\ndata: paid: 2\nid: 2\ndata: b\n\n", // the end of the first event is missing
	} {
		_, err := Parse([]byte(text))
		require.ErrorIs(t, err, ErrMalformed, "%q", text)
	}
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
		require.NotContains(t, []string{"\n", "\r\n"}, string(in[len(out):]), "an empty line is not a part of an event")
	})
}
