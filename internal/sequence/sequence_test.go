package sequence

import (
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/eventstream"
)

func event(id int) string { return fmt.Sprintf("id: %d\ndata: x\n\n", id) }

func events(first, last int) string {
	var b strings.Builder
	for id := first; id <= last; id++ {
		b.WriteString(event(id))
	}
	return b.String()
}

// receive has the sequence accept a part and returns what is sent of it. err is nil if the
// part was sound to its end.
func receive(s *Sequence, received string) (sent string, err error) {
	accepted, err := s.Accept([]byte(received))
	return string(accepted.Send), err
}

const (
	text      = "data: the engine is full\n\n"
	noUTF8    = "data: \xfe\xff\n\n"
	otherHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
)

// TestUnsoundEventsAreNotSent has one server send everything that is received.
func TestUnsoundEventsAreNotSent(t *testing.T) {
	cases := map[string]struct {
		received, sent string
		err            error
		resumable      bool
	}{
		"sound":                       {events(1, 3), events(1, 3), nil, true},
		"not UTF-8":                   {events(1, 3) + noUTF8, events(1, 3), eventstream.ErrMalformed, true},
		"sound ones after it":         {events(1, 3) + noUTF8 + event(4), events(1, 3), eventstream.ErrMalformed, true},
		"before any event":            {noUTF8 + event(1), "", eventstream.ErrMalformed, false},
		"joined to the next event":    {events(1, 3) + "garbage\n" + event(4), events(1, 3), eventstream.ErrMalformed, true},
		"another response":            {events(1, 3) + otherHead + event(1), events(1, 3), eventstream.ErrMalformed, true},
		"comment that is not UTF-8":   {events(1, 3) + ": \xff\n\n", events(1, 3), eventstream.ErrMalformed, true},
		"number goes back":            {events(1, 3) + event(2), events(1, 3), ErrOutOfOrder, true},
		"number comes twice":          {events(1, 3) + event(3), events(1, 3), ErrOutOfOrder, true},
		"number is skipped":           {events(1, 3) + event(5), events(1, 3), ErrOutOfOrder, true},
		"id is a word":                {events(1, 3) + "id: x\ndata: x\n\n", events(1, 3), ErrOutOfOrder, true},
		"id is negative":              {events(1, 3) + "id: -4\n\n", events(1, 3), ErrOutOfOrder, true},
		"id has a sign":               {events(1, 3) + "id: +4\n\n", events(1, 3), ErrOutOfOrder, true},
		"event without a number":      {events(1, 3) + text, events(1, 3), nil, true},
		"event with an empty id":      {events(1, 3) + "id:\ndata: x\n\n", events(1, 3), nil, true},
		"too many of these":           {events(1, 3) + strings.Repeat(text, maxBytesBetween/len(text)+1), events(1, 3), ErrFlood, true},
		"no numbers from the start":   {text + text, text + text, nil, false},
		"no number at the start":      {text + events(1, 3), text + events(1, 3), nil, false},
		"ids are words":               {"id: a\n\nid: b\n\n", "id: a\n\nid: b\n\n", nil, false},
		"more events than tokens":     {events(1, 50), events(1, 11), ErrTooMany, false},
		"comments":                    {":\n\n" + events(1, 2) + ": x\n\n", ":\n\n" + events(1, 2) + ": x\n\n", nil, true},
		"comment after a withheld":    {events(1, 2) + text + ":\n\n", events(1, 2), nil, true},
		"malformed after a comment":   {events(1, 2) + ":\n\n" + noUTF8, events(1, 2) + ":\n\n", eventstream.ErrMalformed, true},
		"empty line":                  {events(1, 2) + "\n", events(1, 2), nil, true},
		"empty line in between":       {events(1, 2) + "\r\n" + event(3), events(1, 2) + "\r\n" + event(3), nil, true},
		"empty line before a comment": {events(1, 2) + "\n:\n\n", events(1, 2) + "\n:\n\n", nil, true},
		"empty line before others":    {events(1, 3) + "\n" + noUTF8, events(1, 3), eventstream.ErrMalformed, true},
		"byte order mark":             {"\ufeff" + events(1, 2), "\ufeff" + events(1, 2), nil, true},
		"byte order mark in between":  {events(1, 2) + "\ufeff" + event(3), events(1, 2), eventstream.ErrMalformed, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := New("", 10)
			s.StartPart()
			sent, err := receive(s, c.received)
			require.ErrorIs(t, err, c.err)
			require.Equal(t, c.sent, sent)
			require.Equal(t, c.resumable, s.CanResume())
		})
	}
}

// TestCommentsWithoutEnd: a server that sends nothing else ends the stream, which must not
// become complete elsewhere with all these comments in it.
func TestCommentsWithoutEnd(t *testing.T) {
	s := New("", 10)
	s.StartPart()
	_, err := receive(s, events(1, 3))
	require.NoError(t, err)
	comments, sent := strings.Repeat(": x\n\n", 100), 0
	for err == nil {
		var part string
		part, err = receive(s, comments)
		sent += len(part)
	}
	require.ErrorIs(t, err, ErrFlood)
	require.LessOrEqual(t, sent, maxBytesBetween)
	require.False(t, s.CanResume())
}

// TestNextPart has a second server go on after events 1 to 3 of the first.
func TestNextPart(t *testing.T) {
	cases := map[string]struct {
		received, sent string
		err            error
	}{
		"goes on":                          {events(4, 6), events(4, 6), nil},
		"starts over":                      {events(1, 6), events(4, 6), nil},
		"starts over, with comments":       {":\n\n" + event(1) + ":\n\n" + events(2, 4), event(4), nil},
		"comment, goes on":                 {":\n\n" + event(4), ":\n\n" + event(4), nil},
		"leaves one out":                   {event(5), "", ErrOutOfOrder},
		"goes back after a new one":        {events(2, 4) + event(3), event(4), ErrOutOfOrder},
		"without numbers":                  {text + text, "", ErrOutOfOrder},
		"without a number after old ones":  {events(1, 3) + text, "", ErrOutOfOrder},
		"without a number after new ones":  {event(4) + text, event(4), nil},
		"ids are words":                    {"id: x\n\n", "", ErrOutOfOrder},
		"not UTF-8":                        {noUTF8, "", eventstream.ErrMalformed},
		"byte order mark in mid-stream":    {"\ufeff" + event(4), "", eventstream.ErrMalformed},
		"more events than tokens, in sum":  {events(4, 20), events(4, 11), ErrTooMany},
		"more events than tokens, old too": {events(1, 20), events(4, 11), ErrTooMany},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := New("", 10)
			s.StartPart()
			_, err := receive(s, events(1, 3)+text) // the last one is withheld, and is dropped
			require.NoError(t, err)
			require.Equal(t, "3", s.LastEventID())
			s.StartPart()
			sent, err := receive(s, c.received)
			require.ErrorIs(t, err, c.err)
			require.Equal(t, c.sent, sent)
		})
	}
}

// TestCallerResumes has the caller name the last event that it has.
func TestCallerResumes(t *testing.T) {
	s := New("3", 10)
	s.StartPart()
	sent, err := receive(s, events(2, 5))
	require.NoError(t, err)
	require.Equal(t, events(4, 5), sent)
	require.EqualValues(t, 2, s.Events())

	s = New("3", 10)
	s.StartPart()
	sent, err = receive(s, text)
	require.NoError(t, err)
	require.Equal(t, text, sent)
	require.False(t, s.CanResume(), "it is unknown which events the caller has now")
}

// TestOnlyACommentWasSent: a server breaks off after a comment, and the caller has events from
// an earlier response.
func TestOnlyACommentWasSent(t *testing.T) {
	s := New("3", 10)
	s.StartPart()
	sent, err := receive(s, ":\n\n")
	require.NoError(t, err)
	require.Equal(t, ":\n\n", sent)
	require.True(t, s.CanResume())
	s.StartPart()
	_, err = receive(s, text)
	require.ErrorIs(t, err, ErrOutOfOrder)
}

// TestEmptyLineBeforeRepeatedEvents is dropped with them, also if it comes in a read of its own.
func TestEmptyLineBeforeRepeatedEvents(t *testing.T) {
	s := New("", 10)
	s.StartPart()
	_, err := receive(s, events(1, 3))
	require.NoError(t, err)
	s.StartPart()
	for _, part := range []string{"\n", events(1, 3)} {
		sent, err := receive(s, part)
		require.NoError(t, err)
		require.Empty(t, sent)
	}
	sent, err := receive(s, event(4))
	require.NoError(t, err)
	require.Equal(t, event(4), sent)
}

// TestCommentsBetweenEventsHaveALimitEach sends more comments in all than may come between two
// events.
func TestCommentsBetweenEventsHaveALimitEach(t *testing.T) {
	s := New("", 100)
	s.StartPart()
	comment := ":" + strings.Repeat("x", maxBytesBetween/2) + "\n\n"
	for id := range 10 {
		_, err := receive(s, comment+event(id))
		require.NoError(t, err)
	}
}

// TestWithheldEventsCountAtTheEnd sends as many events as tokens, one more, and some without a
// number.
func TestWithheldEventsCountAtTheEnd(t *testing.T) {
	for withheld, want := range map[int]error{0: nil, 1: ErrTooMany} {
		s := New("", 10)
		s.StartPart()
		_, err := receive(s, events(1, 11)+strings.Repeat(text, withheld))
		require.NoError(t, err)
		sent, err := s.End()
		require.ErrorIs(t, err, want)
		require.Empty(t, sent)
	}
}

// soundStream returns a stream in one of the forms that servers may use.
func soundStream(random *rand.Rand) string {
	lineEnd := []string{"\n", "\r\n"}[random.IntN(2)]
	hasNumbers := random.IntN(4) > 0
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+lineEnd, args...) }
	if random.IntN(8) == 0 {
		b.Write(byteOrderMark)
	}
	if random.IntN(8) == 0 {
		line("")
	}
	for id, n := random.IntN(3), 0; n < 1+random.IntN(12); id, n = id+1, n+1 {
		for random.IntN(4) == 0 {
			line(": comment %d – ✓", n)
			line("")
		}
		if random.IntN(5) == 0 {
			line("x-camphorlever-weight-versions: %d", n)
		}
		if random.IntN(4) == 0 {
			line("event: token")
		}
		if hasNumbers {
			line("id: %d", id)
		}
		for range random.IntN(3) {
			line("data: %s", strings.Repeat("größe 木 🌲 ", random.IntN(60)))
		}
		line("data:%d", n)
		line("")
		if random.IntN(8) == 0 {
			line("")
		}
		if random.IntN(6) == 0 {
			line("event: ping")
			line("data")
			line("")
		}
	}
	if random.IntN(2) == 0 {
		line("data: [DONE]")
		line("")
	}
	return b.String()
}

// pieces is a reader that returns a text in pieces of random lengths.
type pieces struct {
	rest   string
	random *rand.Rand
}

func (p *pieces) Read(b []byte) (int, error) {
	n, err := strings.NewReader(p.rest).Read(b[:min(len(b), 1+p.random.IntN(100))])
	p.rest = p.rest[n:]
	return n, err
}

// forward reads a stream as the router does. It returns what is sent to the caller, and the
// error that ends the part if it is not sound.
func forward(s *Sequence, stream string, random *rand.Rand) (string, error) {
	var sent strings.Builder
	scanner := eventstream.NewScanner(&pieces{rest: stream, random: random})
	s.StartPart()
	for {
		received, err := scanner.Next()
		if errors.Is(err, io.EOF) {
			withheld, err := s.End()
			sent.Write(withheld)
			return sent.String(), err
		}
		if err != nil {
			return sent.String(), err
		}
		accepted, err := s.Accept(received)
		sent.Write(accepted.Send)
		if err != nil {
			return sent.String(), err
		}
	}
}

// TestSoundStreamsPassUnchanged sends streams in all allowed forms, received in pieces.
func TestSoundStreamsPassUnchanged(t *testing.T) {
	for seed := range uint64(2000) {
		random := rand.New(rand.NewPCG(seed, 51))
		stream := soundStream(random)
		sent, err := forward(New("", 0), stream, random)
		require.NoError(t, err, "seed %d: %q", seed, stream)
		require.Equal(t, stream, sent, "seed %d", seed)
	}
}

// TestForeignBytesNeverEndInACompleteStream puts bytes into a numbered stream, which the
// server then breaks off. If another server may go on, nothing but the stream's events, and
// comments, which callers ignore, was sent.
func TestForeignBytesNeverEndInACompleteStream(t *testing.T) {
	for seed := range uint64(2000) {
		random := rand.New(rand.NewPCG(seed, 10))
		sound, foreign := events(1, random.IntN(7)), foreignBytes(random)
		s := New("", 88)
		sent, _ := forward(s, sound+foreign, random)
		if s.CanResume() {
			require.Equal(t, sound, withoutComments(t, sent), "seed %d: %.200q", seed, foreign)
		}
	}
}

func withoutComments(t *testing.T, stream string) string {
	var b strings.Builder
	eventstream.Split([]byte(stream), func(raw []byte) bool {
		event, err := eventstream.Parse(raw)
		require.NoError(t, err)
		if !event.Comment {
			b.Write(raw)
		}
		return true
	})
	return b.String()
}

// foreignBytes returns bytes that are no event of a stream, without their end.
func foreignBytes(random *rand.Rand) string {
	alphabet := []string{
		"\x00\x01\x7f\x80\xc3\xe2\xff\n\n\n\r:", "ab:\n\n", "abc {}\":,\n\n", ":\n", "id:0123456789\n\n", "data: \n",
	}[random.IntN(6)]
	var b strings.Builder
	for range random.IntN(3000) {
		b.WriteByte(alphabet[random.IntN(len(alphabet))])
	}
	return b.String() + "x"
}

// FuzzAccept checks that what is sent is a part of what was received, in its order, and that
// all of it is well-formed.
func FuzzAccept(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\n\ndata: [DONE]\n\n"), uint8(0))
	f.Add([]byte("id: 4\n\n\xff\n\nid: 5\n\n"), uint8(3))
	f.Fuzz(func(t *testing.T, received []byte, sentBefore uint8) {
		s := New("", 0)
		s.StartPart()
		_, err := receive(s, events(1, int(sentBefore)))
		require.NoError(t, err)
		s.StartPart()
		accepted, err := s.Accept(received)
		if err == nil {
			withheld, err := s.End()
			require.NoError(t, err)
			accepted.Send = append(accepted.Send, withheld...)
			require.True(t, strings.HasSuffix(string(received), string(accepted.Send)))
		} else {
			require.Contains(t, string(received), string(accepted.Send))
		}
		eventstream.Split(accepted.Send, func(raw []byte) bool {
			_, err := eventstream.Parse([]byte(strings.TrimPrefix(string(raw), "\ufeff")))
			require.NoError(t, err)
			return true
		})
	})
}

// TestForkLeavesTheSequenceAlone has another server go on with a stream beside the present one,
// with events that the caller has, and with bytes that are no event.
func TestForkLeavesTheSequenceAlone(t *testing.T) {
	s := New("", 0)
	require.False(t, s.Fork().Started())
	s.StartPart()
	sent, err := receive(s, events(1, 3)+"\n")
	require.NoError(t, err)
	require.Equal(t, events(1, 3), sent)
	for _, received := range []string{event(4), events(2, 4), text, noUTF8, event(5)} {
		fork := s.Fork()
		require.True(t, fork.Started())
		require.Equal(t, "3", fork.LastEventID())
		sent, _ := receive(fork, received)
		if strings.HasSuffix(received, event(4)) {
			require.Equal(t, event(4), sent)
		} else {
			require.Empty(t, sent)
		}
		require.Equal(t, "3", s.LastEventID())
		require.EqualValues(t, 3, s.Events())
		require.True(t, s.CanResume())
	}
	sent, err = receive(s, event(4))
	require.NoError(t, err)
	require.Equal(t, "\n"+event(4), sent, "what was withheld before the fork")
}
