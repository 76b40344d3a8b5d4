package parse

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/refusal"
	"github.com/camphorlever/camphorlever/internal/settings"
)

// listener has one connection in memory.
type listener struct {
	conn chan net.Conn
	done chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conn:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}
func (l *listener) Close() error   { close(l.done); return nil }
func (l *listener) Addr() net.Addr { return &net.UnixAddr{Name: "router"} }

// TestBodyTimeoutBoundsTheBodyOnly sends a body that stops, and one that is
// whole and is answered long after the time that a body may take.
func TestBodyTimeoutBoundsTheBodyOnly(t *testing.T) {
	const body = `{"model":"maps","messages":[{"role":"user","content":"x"}]}`
	for _, whole := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			f := New()
			outcome := make(chan filter.Outcome, 1)
			handle := func(w http.ResponseWriter, r *http.Request) {
				request := &filter.Request{HTTP: r, Writer: filter.NewWriter(w, time.Second), Settings: settings.Empty()}
				outcome <- f.Handle(r.Context(), request, func(ctx context.Context, _ *filter.Request) filter.Outcome {
					select {
					case <-ctx.Done():
						return filter.Refused(refusal.Internal, refusal.Unknown, "the caller seems gone")
					case <-time.After(10 * bodyTimeout):
						return filter.Answered()
					}
				})
			}
			near, far := net.Pipe()
			l := &listener{conn: make(chan net.Conn, 1), done: make(chan struct{})}
			l.conn <- far
			server := &http.Server{Handler: http.HandlerFunc(handle)}
			served := make(chan struct{})
			go func() { _ = server.Serve(l); close(served) }()
			sent := body
			if !whole {
				sent = body[:20]
			}
			_, err := io.WriteString(near, fmt.Sprintf("POST / HTTP/1.1\r\nHost: r\r\nContent-Length: %d\r\n\r\n%s", len(body), sent))
			require.NoError(t, err)
			go func() { _, _ = io.Copy(io.Discard, bufio.NewReader(near)) }()
			start := time.Now()
			out := <-outcome
			if whole {
				require.Nil(t, out.Refusal)
			} else {
				require.Equal(t, refusal.BadRequest, out.Refusal.Code)
				require.Equal(t, bodyTimeout, time.Since(start))
			}
			require.NoError(t, server.Close())
			<-served
			near.Close()
		})
	}
}
