package engine

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/gate"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// newRawServer answers each connection with a text after 512 bytes of the request, and then
// ends it.
func newRawServer(t *testing.T, answer string, end func(*net.TCPConn)) *Client {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.ReadAtLeast(conn, make([]byte, 512), 16)
				_, _ = io.WriteString(conn, answer)
				end(conn.(*net.TCPConn))
			}()
		}
	}()
	return New(Config{URL: "http://" + listener.Addr().String(), Logger: zerolog.Nop()})
}

func resetTCP(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

func plainJob(body string, atMostOnce bool) gate.Job {
	return gate.Job{Call: wire.Call{Service: "desk", Method: http.MethodPost, Path: "/orders", Body: []byte(body)}, AtMostOnce: atMostOnce}
}

// TestResetDuringUploadIsNotTheEndOfAnAnswer guards against an answer without a length that
// counts as complete although its connection was reset while the call was still being sent.
func TestResetDuringUploadIsNotTheEndOfAnAnswer(t *testing.T) {
	client := newRawServer(t, "HTTP/1.1 200 OK\r\n\r\npart", resetTCP)
	upload := strings.Repeat("x", 16<<20)
	for range 100 {
		outcome := client.Run(t.Context(), plainJob(upload, true), &recordingSink{})
		require.False(t, outcome.Complete)
		require.True(t, outcome.MayHaveRun)
	}
}

// TestAnswerThatEndsBeforeItsCall has a service end its side of the connection in order, and
// close it while the call is still being sent.
func TestAnswerThatEndsBeforeItsCall(t *testing.T) {
	client := newRawServer(t, "HTTP/1.1 200 OK\r\n\r\npart", func(conn *net.TCPConn) {
		_ = conn.CloseWrite()
		time.Sleep(5 * time.Millisecond)
		_ = conn.Close()
	})
	outcome := client.Run(t.Context(), plainJob(strings.Repeat("x", 16<<20), true), &recordingSink{})
	require.False(t, outcome.Complete)
}

// TestAnswerWithoutLengthIsComplete has a service end the connection after it has read the
// call.
func TestAnswerWithoutLengthIsComplete(t *testing.T) {
	for range 200 {
		client := newRawServer(t, "HTTP/1.1 200 OK\r\n\r\nwhole", func(conn *net.TCPConn) { _ = conn.CloseWrite() })
		sink := &recordingSink{}
		outcome := client.Run(t.Context(), plainJob("short", true), sink)
		require.True(t, outcome.Complete)
		require.Equal(t, []string{"whole"}, sink.events)
	}
}
