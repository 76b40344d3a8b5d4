package upstream

import (
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// endless returns a step that sends a beginning and then repeats a text until the
// connection is closed, and the number of bytes that it has sent.
func endless(beginning, repeated string) (serverStep, *atomic.Int64) {
	sent := &atomic.Int64{}
	return func(conn net.Conn) {
		_, _ = io.WriteString(conn, beginning)
		block := strings.Repeat(repeated, 1+8192/len(repeated))
		for {
			n, err := io.WriteString(conn, block)
			sent.Add(int64(n))
			if err != nil {
				return
			}
		}
	}, sent
}

// socketBuffers is an upper bound of what the two sockets of a loopback connection
// hold, in bytes.
const socketBuffers = 12 << 20

// TestEndlessHeadIsAbandoned: a faulty server sends bytes without end where the head
// of a response is due. The exchange fails soon, long before its deadline, and after
// a bounded number of bytes.
func TestEndlessHeadIsAbandoned(t *testing.T) {
	cases := map[string]struct{ beginning, repeated string }{
		"status line":              {"HTTP/1.1 200 ", "O"},
		"no protocol at all":       {"", "\x00"},
		"empty lines":              {"", "\r\n"},
		"one header":               {"HTTP/1.1 200 OK\r\nA: ", "x"},
		"headers":                  {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"continued header":         {"HTTP/1.1 200 OK\r\nA: b\r\n", " c\r\n"},
		"interim responses":        {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"interim with headers":     {"", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"},
		"body of another response": {"HTTP/1.1 200 OK\r\nAttempt: r0\r\nContent-Length: 1000000000\r\n\r\n", "x"},
		"chunks of another response": {
			"HTTP/1.1 200 OK\r\nAttempt: r0\r\nTransfer-Encoding: chunked\r\n\r\n", "10\r\n0123456789abcdef\r\n",
		},
		"further responses": {"", "HTTP/1.1 200 OK\r\nAttempt: r0\r\nContent-Length: 0\r\n\r\n"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			step, sent := endless(c.beginning, c.repeated)
			s := newTestServer(t, step)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			begun := time.Now()
			_, err := NewPool(testParser{}).Do(ctx, s.request("r1"))
			require.Error(t, err)
			require.NotErrorIs(t, err, ErrNotSent, "the request may have run")
			require.Less(t, time.Since(begun), 5*time.Second)
			require.Less(t, sent.Load(), int64(maxHeadBytes+maxDiscardedBytes+socketBuffers))
		})
	}
}

// TestEndlessFramingIsAbandoned: a response begins, and then its chunk headers or
// trailers have no end. Reading its body fails.
func TestEndlessFramingIsAbandoned(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nAttempt: r1\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n"
	cases := map[string]struct{ beginning, repeated string }{
		"chunk size":           {head, "0"},
		"chunk extension":      {head + "2;", "x"},
		"extensions of chunks": {head, "1;" + strings.Repeat("x", 2000) + "\r\na\r\n"},
		"trailer":              {head + "2\r\nok\r\n0\r\nA: ", "x"},
		"trailers":             {head + "2\r\nok\r\n0\r\n", "A: b\r\n"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			step, sent := endless(c.beginning, c.repeated)
			s := newTestServer(t, step)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			begun := time.Now()
			e, err := NewPool(testParser{}).Do(ctx, s.request("r1"))
			require.NoError(t, err)
			body, err := io.ReadAll(e)
			e.Close(err == nil)
			require.Error(t, err)
			require.Less(t, len(body), 1<<20)
			require.Less(t, time.Since(begun), 5*time.Second)
			require.Less(t, sent.Load(), int64(1<<20+socketBuffers))
		})
	}
}

// TestBytesAfterTheResponseAreNotRead: a server goes on sending after a complete
// response. The response is used, the connection is not.
func TestBytesAfterTheResponseAreNotRead(t *testing.T) {
	step, sent := endless(ownResponse, "x")
	s := newTestServer(t, step, reply(strings.Replace(ownResponse, "r1", "r2", 1)))
	pool := NewPool(testParser{})
	for _, attempt := range []string{"r1", "r2"} {
		e, err := pool.Do(context.Background(), s.request(attempt))
		require.NoError(t, err)
		body, err := io.ReadAll(e)
		e.Close(err == nil)
		require.NoError(t, err)
		require.Equal(t, "ok", string(body))
		require.Eventually(t, func() bool { return sent.Load() > 0 }, time.Second, time.Millisecond)
	}
	require.EqualValues(t, 2, s.conns.Load())
	require.Less(t, sent.Load(), int64(socketBuffers))
}

// TestLateSecondCopyIsNeverAnotherRequestsResponse: a server sends a second copy of
// its response on a connection that is in use again, split at each byte around the
// moment at which the next request is written. The next caller gets its own response
// or an error.
func TestLateSecondCopyIsNeverAnotherRequestsResponse(t *testing.T) {
	copies := map[string]string{
		"with the id":    ownResponse,
		"without an id":  strings.Replace(ownResponse, "Attempt: r1\r\n", "", 1),
		"not executed":   "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"without length": "HTTP/1.1 200 OK\r\nAttempt: r1\r\nSeal: s\r\n\r\nok",
		"chunked":        "HTTP/1.1 200 OK\r\nAttempt: r1\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	}
	own := strings.NewReplacer("r1", "r2", "\r\n\r\nok", "\r\n\r\nme").Replace(ownResponse)
	for name, second := range copies {
		t.Run(name, func(t *testing.T) {
			for split := 0; split <= len(second); split += 1 + split/16 {
				checkLateCopy(t, second, split, own)
			}
		})
	}
}

// checkLateCopy sends the first part of a second copy right after the response, and
// the rest once the next request has arrived.
func checkLateCopy(t *testing.T, second string, split int, own string) {
	s := newTestServer(t,
		reply(ownResponse+second[:split]),
		reply(second[split:]+own),
		reply(own), // on a new connection, if the first part was noticed
	)
	pool := NewPool(testParser{})
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	e, err := pool.Do(ctx, s.request("r1"))
	require.NoError(t, err)
	_, err = io.ReadAll(e)
	e.Close(err == nil)
	require.NoError(t, err)
	e, err = pool.Do(ctx, s.request("r2"))
	if err != nil {
		require.NotErrorIs(t, err, ErrNotSent, "the request may have run")
		return
	}
	require.Equal(t, "r2", e.Info.Attempt, "split at %d", split)
	body, err := io.ReadAll(e)
	e.Close(err == nil)
	if err == nil {
		require.Equal(t, "me", string(body), "split at %d", split)
	}
}

// TestRepeatedRefusalIsNeverAnotherRequestsResponse: a server writes an earlier refusal
// once more on a connection that is in use again. Requests without an id, and requests that
// share one, must not take it for their own.
func TestRepeatedRefusalIsNeverAnotherRequestsResponse(t *testing.T) {
	const refusalWithoutID = "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	refusal := func(attempt string) string {
		return strings.Replace(refusalWithoutID, "Not-Run", "Attempt: "+attempt+"\r\nNot-Run", 1)
	}
	cases := map[string]struct{ first, second, refusal string }{
		"other id":          {"r1", "r2", refusal("r1")},
		"same id":           {"r1", "r1", refusal("r1")},
		"no id":             {"", "", refusalWithoutID},
		"second without id": {"r1", "", refusalWithoutID},
		"first without id":  {"", "r2", refusalWithoutID},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			own := strings.Replace(ownResponse, "Attempt: r1\r\n", "Attempt: "+c.second+"\r\n", 1)
			for split := 0; split <= len(c.refusal); split += 1 + split/16 {
				var firstConn net.Conn
				s := newTestServer(t, func(conn net.Conn) {
					firstConn = conn
					reply(c.refusal + c.refusal[:split])(conn)
				}, func(conn net.Conn) {
					if conn == firstConn {
						reply(c.refusal[split:])(conn)
					}
					reply(own)(conn)
				})
				pool := NewPool(testParser{})
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				e, err := pool.Do(ctx, s.request(c.first))
				require.NoError(t, err)
				require.True(t, e.Info.NotExecuted)
				_, err = io.ReadAll(e)
				e.Close(err == nil)
				e, err = pool.Do(ctx, s.request(c.second))
				if err == nil {
					require.False(t, e.Info.NotExecuted, "split at %d", split)
					e.Close(false)
				} else {
					require.NotErrorIs(t, err, ErrNotSent, "split at %d: the request may have run", split)
				}
				cancel()
			}
		})
	}
}
