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

// headerReplyTimeout bounds the write of the refusal after a header timeout.
const headerReplyTimeout = time.Second

// headerListener sends a refusal to callers whose request header does not arrive
// in time. The HTTP server would close their connections without a response.
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

// headerConn detects a read timeout within a request header on a caller's
// connection.
type headerConn struct {
	net.Conn
	refusals      *counter.Set
	serving       atomic.Bool // a handler is processing a request
	partialHeader atomic.Bool // part of a header has arrived
}

// NetConn returns the connection whose reads are observed.
func (c *headerConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn. The HTTP server sets the read deadline. A deadline
// that passes on an idle connection, before any byte of the next header, is not
// refused.
func (c *headerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.serving.Load() {
		return n, err
	}
	if n > 0 {
		c.partialHeader.Store(true)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.partialHeader.CompareAndSwap(true, false) {
		c.writeRefusal()
	}
	return n, err
}

// writeRefusal writes a complete HTTP response to the connection, since no
// handler is called for an incomplete request.
func (c *headerConn) writeRefusal() {
	c.refusals.Inc("slow_header")
	refused := refusal.New(refusal.BadRequest, refusal.NotRun, "The request's header did not arrive in time.")
	refused.RequestID = uuid.NewString()
	body, err := json.Marshal(errorEvent{Error: refused})
	if err != nil {
		return // cannot happen: a refusal can always be encoded
	}
	// A write error means that the caller has disconnected.
	_ = c.SetWriteDeadline(time.Now().Add(headerReplyTimeout))
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		http.StatusRequestTimeout, http.StatusText(http.StatusRequestTimeout), len(body), body)
}

type headerConnKey struct{}

// withHeaderConn is the http.Server.ConnContext for a headerListener. It makes
// the connection available to markServing.
func withHeaderConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, headerConnKey{}, conn)
}

// markServing marks the connection while a handler processes a request, so that
// timeouts of body reads are not mistaken for header timeouts.
func markServing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := r.Context().Value(headerConnKey{}).(*headerConn)
		if ok {
			conn.serving.Store(true)
			defer func() {
				conn.partialHeader.Store(false)
				conn.serving.Store(false)
			}()
		}
		next.ServeHTTP(w, r)
	})
}
