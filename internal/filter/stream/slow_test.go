package stream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/pipetest"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// sendRequest sends a request and returns the connection from which to read the
// answer.
func sendRequest(t *testing.T, l *pipetest.Listener) net.Conn {
	conn, err := l.Dial(t.Context(), "", "")
	require.NoError(t, err)
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: router\r\n\r\n")
	require.NoError(t, err)
	return conn
}

// TestSlowCallerIsCutOffWithoutDelayingOthers guards against a caller that stops
// reading in the middle of a long answer: it is cut off after the write timeout, its
// run is settled, and another caller is served in the meantime.
func TestSlowCallerIsCutOffWithoutDelayingOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const writeTimeout, events = 30 * time.Second, 100
		ended := make(chan *fixture, 2)
		handler := func(w http.ResponseWriter, _ *http.Request) {
			long := &fakeStream{outcome: wire.BeginStarted}
			for range events {
				long.frames = append(long.frames, event(strings.Repeat("x", 1024)))
			}
			long.frames = append(long.frames, end())
			f := &fixture{t: t, begin: long, cancelled: make(chan struct{})}
			r, _ := newRequest(f)
			r.Writer = filter.NewWriter(w, writeTimeout)
			New(Deps{Relay: f, Gates: f, Settler: f, RouterInfo: f}).Handle(context.Background(), r, nil)
			ended <- f
		}
		p := pipetest.New()
		server := &http.Server{Handler: http.HandlerFunc(handler)}
		served := make(chan struct{})
		go func() { _ = server.Serve(p); close(served) }()

		start := time.Now()
		slow := sendRequest(t, p)
		_, err := bufio.NewReaderSize(slow, 64).ReadString('\n') // then stops reading
		require.NoError(t, err)

		quick := sendRequest(t, p)
		response, err := http.ReadResponse(bufio.NewReader(quick), nil)
		require.NoError(t, err)
		raw, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Equal(t, events+1, strings.Count(string(raw), "data: "))
		require.Equal(t, start, time.Now(), "the slow caller must not delay others")
		require.Equal(t, []int64{6}, (<-ended).settled)

		cut := <-ended
		require.LessOrEqual(t, time.Since(start), writeTimeout+time.Second)
		require.Equal(t, []int64{6}, cut.settled, "the run is read to its end and settled")
		<-cut.cancelled
		slow.Close()
		quick.Close()
		require.NoError(t, server.Close())
		<-served
	})
}
