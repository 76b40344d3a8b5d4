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

// call sends a request and returns the connection to read the answer from.
func call(t *testing.T, l *pipetest.Listener) net.Conn {
	near, err := l.Dial(t.Context(), "", "")
	require.NoError(t, err)
	_, err = io.WriteString(near, "GET / HTTP/1.1\r\nHost: router\r\n\r\n")
	require.NoError(t, err)
	return near
}

// TestSlowCallerIsCutOffAndStallsNobody has one caller that stops reading in
// the middle of a long answer while another reads its own.
func TestSlowCallerIsCutOffAndStallsNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const writeTimeout, events = 30 * time.Second, 100
		ended := make(chan *world, 2)
		handler := func(w http.ResponseWriter, _ *http.Request) {
			long := &fakeStream{outcome: wire.BeginStarted}
			for range events {
				long.frames = append(long.frames, event(strings.Repeat("x", 1024)))
			}
			long.frames = append(long.frames, end())
			fakes := &world{t: t, begin: long, cancelled: make(chan struct{})}
			r, _ := newRequest(fakes)
			r.Writer = filter.NewWriter(w, writeTimeout)
			New(Deps{Relay: fakes, Gates: fakes, Settler: fakes, Router: fakes}).Handle(context.Background(), r, nil)
			ended <- fakes
		}
		p := pipetest.New()
		server := &http.Server{Handler: http.HandlerFunc(handler)}
		served := make(chan struct{})
		go func() { _ = server.Serve(p); close(served) }()

		start := time.Now()
		slow := call(t, p)
		_, err := bufio.NewReaderSize(slow, 64).ReadString('\n') // and no more
		require.NoError(t, err)

		quick := call(t, p)
		response, err := http.ReadResponse(bufio.NewReader(quick), nil)
		require.NoError(t, err)
		raw, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Equal(t, events+1, strings.Count(string(raw), "data: "))
		require.Equal(t, start, time.Now(), "nobody waited for the slow caller")
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
