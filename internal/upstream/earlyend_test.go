package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/membership"
)

const unframedHead = "HTTP/1.1 200 OK\r\nAttempt: r1\r\nSeal: s\r\n\r\n"

// newEarlyServer answers each connection after 512 bytes of the request.
func newEarlyServer(t *testing.T, answer serverStep) *testServer {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	s := &testServer{address: listener.Addr().String()}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			t.Cleanup(func() { _ = conn.Close() })
			go func() {
				_, _ = io.ReadFull(conn, make([]byte, 512))
				answer(conn)
			}()
		}
	}()
	return s
}

// upload sends a request with a long body and reads the whole answer.
func upload(ctx context.Context, server *testServer) (string, error) {
	e, err := NewPool(testParser{}).Do(ctx, &Request{
		Server: membership.Server{ID: "s1", Address: server.address}, Method: "POST", Target: "/", Host: "h",
		Body: make([]byte, 16<<20), Attempt: "r1",
	})
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(e)
	e.Close(err == nil)
	return string(body), err
}

// TestResetDuringUploadIsNoEndOfTheBody guards against a body without a length that counts as
// complete although the connection was reset: the error of the reset goes to the write of the
// request, and the read gets a plain end.
func TestResetDuringUploadIsNoEndOfTheBody(t *testing.T) {
	for _, pause := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond} {
		t.Run(fmt.Sprint(pause), func(t *testing.T) {
			server := newEarlyServer(t, func(conn net.Conn) {
				reply(unframedHead + "part")(conn)
				time.Sleep(pause)
				resetConn(conn)
			})
			for range 100 {
				body, err := upload(t.Context(), server)
				require.Error(t, err, "body %q", body)
				require.NotErrorIs(t, err, ErrNotSent, "the request may have run")
			}
		})
	}
}

// TestEndOfAnswerBeforeTheEndOfTheRequest has the server end its side of the connection in
// order, after an answer without a length.
func TestEndOfAnswerBeforeTheEndOfTheRequest(t *testing.T) {
	end := func(conn net.Conn) {
		reply(unframedHead + "body")(conn)
		_ = conn.(*net.TCPConn).CloseWrite()
	}
	t.Run("request is read on", func(t *testing.T) {
		var read atomic.Int64
		body, err := upload(t.Context(), newEarlyServer(t, func(conn net.Conn) {
			end(conn)
			n, _ := io.Copy(io.Discard, conn)
			read.Store(n)
		}))
		require.NoError(t, err)
		require.Equal(t, "body", body)
		require.Eventually(t, func() bool { return read.Load() > 15<<20 }, 5*time.Second, time.Millisecond, "all of the request was written")
	})
	t.Run("request is not read on", func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		_, err := upload(ctx, newEarlyServer(t, end))
		require.Error(t, err)
	})
	t.Run("connection is closed then", func(t *testing.T) {
		_, err := upload(t.Context(), newEarlyServer(t, func(conn net.Conn) {
			end(conn)
			time.Sleep(5 * time.Millisecond)
			closeConn(conn)
		}))
		require.Error(t, err)
	})
}

// TestFramedEarlyAnswerIsComplete has a server refuse a long request early, with an answer
// that says where it ends.
func TestFramedEarlyAnswerIsComplete(t *testing.T) {
	for name, rest := range map[string]string{"length": "Content-Length: 2\r\n\r\nno", "chunks": "Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			body, err := upload(t.Context(), newEarlyServer(t, func(conn net.Conn) {
				reply("HTTP/1.1 413 Too Large\r\nAttempt: r1\r\n" + rest)(conn)
				time.Sleep(50 * time.Millisecond) // for the answer to be read before the reset discards it
				resetConn(conn)
			}))
			require.NoError(t, err)
			require.Equal(t, "no", body)
		})
	}
}
