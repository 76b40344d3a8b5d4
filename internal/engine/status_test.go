package engine

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/gate"
	"github.com/camphorlever/camphorlever/internal/wire"
)

var invalidStatuses = []int{0, 7, 99, 101, 600, 999}

// TestInvalidStatusIsNoAnswer guards against callers that get a status which the protocol does not
// have. The call may have run, also if the service sends a valid head after it.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range invalidStatuses {
		for name, rest := range map[string]string{
			"body":            "Content-Length: 2\r\n\r\nno",
			"second response": "\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno",
		} {
			t.Run(fmt.Sprintf("%03d, %s", status, name), func(t *testing.T) {
				text := fmt.Sprintf("HTTP/1.1 %03d X\r\n", status) + rest
				for _, atMostOnce := range []bool{true, false} {
					client := newRawServer(t, text, func(conn *net.TCPConn) { _ = conn.Close() })
					sink := &recordingSink{}
					outcome := client.Run(t.Context(), plainJob("order", atMostOnce), sink)
					require.False(t, outcome.Complete)
					require.True(t, outcome.MayHaveRun)
					require.Equal(t, http.StatusBadGateway, outcome.Result.Status)
					require.Empty(t, sink.events)
					require.Zero(t, sink.result.Status)
				}
			})
		}
	}
}

// TestInvalidStatusOfAStream has an engine answer a chat request with such a status, and end the
// stream after it is resumed.
func TestInvalidStatusOfAStream(t *testing.T) {
	_, client, stop := newFakeEngine(t, withShortCalls(func(n int, w http.ResponseWriter, _ *http.Request) {
		if n == 0 {
			w.WriteHeader(999) // the lowest and the highest statuses are refused alike
			return
		}
		writeTokens(w, chatID, 0, 5)
		writeEnd(w, chatID, 9, 5)
	}))
	defer stop()
	sink := &recordingSink{}
	outcome := client.Run(t.Context(), chatJob(), sink)
	require.True(t, outcome.Complete)
	require.EqualValues(t, 5, sink.tokens)
	require.Equal(t, http.StatusOK, sink.result.Status)

	failed := newRawServer(t, "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n", func(conn *net.TCPConn) { _ = conn.Close() })
	const short = 100 * time.Millisecond
	impatient := New(Config{URL: failed.base, Logger: zerolog.Nop(), SilenceTimeout: short, LivenessTimeout: short, CallTimeout: short})
	sink = &recordingSink{}
	outcome = impatient.Run(t.Context(), chatJob(), sink)
	require.Equal(t, gate.Outcome{MayHaveRun: true, Result: wire.Result{Status: http.StatusBadGateway, Message: "engine is silent"}}, outcome)
	require.Empty(t, sink.events)
}
