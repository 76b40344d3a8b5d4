package router

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/refusal"
)

// headerReplyTimeout bounds the write of the refusal of a slow header.
const headerReplyTimeout = time.Second

// headerListener answers callers whose request header does not arrive in
// time. The HTTP server itself closes their connections without a word.
type headerListener struct {
	net.Listener
	refusals *counter.Set
}

// Accept implements net.Listener.
func (l headerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &headerConn{Conn: conn, refusals: l.refusals}, nil
}

// headerConn is one caller's connection.
type headerConn struct {
	net.Conn
	refusals *counter.Set
	serving  atomic.Bool // a handler has the request
	partly   atomic.Bool // some of a header has arrived
}

// Read implements net.Conn.
func (c *headerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.serving.Load() {
		return n, err
	}
	if n > 0 {
		c.partly.Store(true)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.partly.CompareAndSwap(true, false) {
		c.refuse()
	}
	return n, err
}

// refuse writes the refusal by hand, since the server will not.
func (c *headerConn) refuse() {
	c.refusals.Inc("slow_header")
	refused := refusal.New(refusal.BadRequest, refusal.NotRun, "The request's header did not arrive in time.")
	refused.RequestID = uuid.NewString()
	body, err := json.Marshal(errorEvent{Error: refused})
	if err != nil {
		return // a refusal is always encodable
	}
	// The caller may be gone; there is nobody else to tell.
	_ = c.SetWriteDeadline(time.Now().Add(headerReplyTimeout))
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		http.StatusRequestTimeout, http.StatusText(http.StatusRequestTimeout), len(body), body)
}

type headerConnKey struct{}

// withHeaderConn is the ConnContext of a server behind a headerListener.
func withHeaderConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, headerConnKey{}, conn)
}

// markServing tells the connection while a handler has the request.
func markServing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := r.Context().Value(headerConnKey{}).(*headerConn)
		if ok {
			conn.serving.Store(true)
			defer func() {
				conn.partly.Store(false)
				conn.serving.Store(false)
			}()
		}
		next.ServeHTTP(w, r)
	})
}
