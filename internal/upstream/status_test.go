package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestInvalidStatusIsNoResponse guards against statuses that the protocol does not have, or that
// answer nothing that was asked: neither they nor a second head after them are the response.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	rests := map[string]string{
		"body":            "Attempt: r1\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok",
		"second response": "Attempt: r1\r\nSeal: s\r\n\r\n" + ownResponse,
		"not executed":    "Attempt: r1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"no attempt":      "Content-Length: 0\r\n\r\n" + ownResponse,
		"other attempt":   "Attempt: r0\r\nContent-Length: 0\r\n\r\n" + ownResponse,
	}
	for _, status := range []int{0, 7, 99, 101, 600, 999} {
		for name, rest := range rests {
			t.Run(fmt.Sprintf("%03d, %s", status, name), func(t *testing.T) {
				s := newTestServer(t, reply(fmt.Sprintf("HTTP/1.1 %03d X\r\n", status)+rest))
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				_, err := NewPool(testParser{}).Do(ctx, s.request("r1"))
				require.ErrorIs(t, err, ErrResponseMismatch)
				require.NotErrorIs(t, err, ErrNotSent, "the request may have run")
			})
		}
	}
}

// TestValidStatuses has the first and last status of each class that can answer a request, and
// interim responses before it.
func TestValidStatuses(t *testing.T) {
	for _, status := range []int{200, 299, 300, 399, 400, 499, 500, 599} {
		for _, interim := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 199 X\r\nLink: a\r\n\r\n"} {
			s := newTestServer(t, reply(interim+strings.Replace(ownResponse, "200 OK", fmt.Sprintf("%d X", status), 1)))
			e, err := NewPool(testParser{}).Do(t.Context(), s.request("r1"))
			require.NoError(t, err)
			require.Equal(t, status, e.Status)
			e.Close(false)
		}
	}
}

// TestBytesAfterABodilessResponse: 204 and 304 have no body, so bytes after their head belong to
// no request. The next one goes over another connection.
func TestBytesAfterABodilessResponse(t *testing.T) {
	for _, status := range []int{204, 304} {
		for name, head := range map[string]string{"plain": "\r\n", "length": "Content-Length: 2\r\n\r\n", "chunks": "Transfer-Encoding: chunked\r\n\r\n"} {
			t.Run(fmt.Sprintf("%d, %s", status, name), func(t *testing.T) {
				s := newTestServer(t,
					func(conn net.Conn) {
						reply(fmt.Sprintf("HTTP/1.1 %d X\r\nAttempt: r1\r\nSeal: s\r\n", status) + head + "ok")(conn)
					},
					reply(strings.Replace(ownResponse, "r1", "r2", 1)))
				pool := NewPool(testParser{})
				for _, attempt := range []string{"r1", "r2"} {
					e, err := pool.Do(t.Context(), s.request(attempt))
					require.NoError(t, err)
					body, err := io.ReadAll(e)
					e.Close(err == nil)
					require.NoError(t, err)
					require.Equal(t, map[string]string{"r1": "", "r2": "ok"}[attempt], string(body))
				}
				require.EqualValues(t, 2, s.conns.Load())
			})
		}
	}
}
