package intake

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// fieldBytes is what a field of a request head takes in memory beyond its
	// bytes: an entry of a map that grows, two strings and a slice. 116 bytes were
	// measured for complete heads.
	fieldBytes = 192
	// trailerBytes is what a name in the Trailer field takes beyond its bytes, until the
	// request ends: an entry of a map and a string. 105 bytes were measured.
	trailerBytes = 128
	// listItemBytes is what an item of another list in a head may take beyond its bytes once
	// it is parsed: two strings and a number.
	listItemBytes = 64
	// headSlack is how many bytes beyond the limit of a head may be read: what
	// net/http reads ahead, and the line of the request.
	headSlack = 8 << 10
	// socketBuffer is the size of the kernel's buffers of a connection in each
	// direction; the kernel uses twice as much. It suffices for 60 MB/s at a round
	// trip of 1 ms.
	socketBuffer = 64 << 10
	// discardTimeout bounds how long a client may send the rest of a body that
	// is not wanted.
	discardTimeout = 5 * time.Second
	// writeExtension is the least time between two changes of a write deadline.
	writeExtension = time.Second
)

// errHeadTooLong ends the reading of a request head.
var errHeadTooLong = errors.New("request head is too long")

// Options describe a listener.
type Options struct {
	MaxConns     int
	MaxHeadBytes func() int // limit of a request head; zero if not known
	// WriteTimeout bounds the writing of each part of a response.
	WriteTimeout time.Duration
}

// Listener limits the connections of a listener and the bytes that they hold.
type Listener struct {
	net.Listener
	budget  *Budget
	options Options
	open    atomic.Int64
}

// Listen listens on a TCP address with socketBuffer for each connection.
func Listen(network, address string) (net.Listener, error) {
	config := net.ListenConfig{Control: SetSocketBuffers}
	return config.Listen(context.Background(), network, address)
}

// SetSocketBuffers limits the kernel's buffers of a socket, or of those that a
// listening socket accepts. It is a Control function of package net.
func SetSocketBuffers(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		if failure = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, socketBuffer); failure == nil {
			failure = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, socketBuffer)
		}
	})
	if err != nil {
		return err
	}
	return failure
}

// Listener returns a listener whose connections draw on the budget.
func (b *Budget) Listener(l net.Listener, options Options) *Listener {
	return &Listener{Listener: l, budget: b, options: options}
}

// Accept implements net.Listener. If there are too many connections, one whose
// request is not complete is closed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: accepted, listener: l}
		c.holder = l.budget.open(remoteHost(accepted), l, c.giveUp)
		c.holder.closeConn, c.holder.queuedBytes = c.Close, c.queuedBytes
		if l.open.Add(1) <= int64(l.options.MaxConns) {
			return c, nil
		}
		if victim := l.budget.abandonConn(l, c.holder); victim != nil {
			_ = victim.closeConn() // it may have ended meanwhile
			return c, nil
		}
		_ = c.Close() // nothing was read from it
	}
}

// abandonConn returns a connection to close in favour of another one, nil if there
// is none.
func (b *Budget) abandonConn(l *Listener, except *Holder) *Holder {
	b.mu.Lock()
	defer b.mu.Unlock()
	victim := b.connVictim(l, except)
	if victim == nil {
		b.countGivenUp("refused_connection")
		return nil
	}
	b.abandon(victim, "gave_up_connection")
	return victim
}

// remoteHost returns the address of the other side without its port.
func remoteHost(c net.Conn) string {
	host, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		return c.RemoteAddr().String()
	}
	return host
}

// conn is a connection that draws on a budget. Its methods are called as
// net/http does: Read by one goroutine at a time.
type conn struct {
	net.Conn
	listener *Listener
	holder   *Holder
	closed   atomic.Bool

	handling  atomic.Bool // a handler runs; else the bytes read belong to a head
	headBytes int         // of the current head
	listItems int         // in that head; each comma counts

	writeDeadlineAt time.Time // when WriteTimeout was last applied
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if !c.closed.Swap(true) {
		c.listener.open.Add(-1)
		c.holder.close()
	}
	return c.Conn.Close()
}

// giveUp ends the reading of a request that is given up. A handler that reads its
// body gets an error and can still refuse the request.
func (c *conn) giveUp() {
	if c.handling.Load() {
		_ = c.SetReadDeadline(time.Unix(1, 0)) // fails only if the connection is closed
		return
	}
	_ = c.Close() // it may be closed already
}

// Read implements net.Conn. It reserves the memory of request heads.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || c.handling.Load() {
		return n, err
	}
	if c.headBytes == 0 {
		c.holder.setPhase(receiving)
	}
	c.headBytes += n
	limit := c.listener.options.MaxHeadBytes()
	if limit > 0 && c.headBytes > limit+headSlack {
		c.listener.budget.countGivenUp("head_too_long")
		return 0, errHeadTooLong
	}
	// Any list may be one of trailers until the head is parsed.
	items := bytes.Count(p[:n], comma)
	c.listItems += items
	if full := c.holder.Reserve(int64(n + fieldBytes*bytes.Count(p[:n], newline) + trailerBytes*items)); full != nil {
		return 0, full
	}
	return n, err
}

var newline, comma = []byte{'\n'}, []byte{','}

// headParsed returns what was reserved for trailers if the lists are others.
func (c *conn) headParsed(trailers int) {
	c.holder.Shrink(int64((trailerBytes - listItemBytes) * max(c.listItems-trailers, 0)))
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	now := time.Now()
	if timeout := c.listener.options.WriteTimeout; timeout > 0 && now.Sub(c.writeDeadlineAt) >= writeExtension {
		c.writeDeadlineAt = now
		_ = c.SetWriteDeadline(now.Add(timeout)) // fails only if the connection is closed
	}
	c.holder.writing.Store(now.UnixNano())
	defer c.holder.writing.Store(0)
	return c.Conn.Write(p)
}

// Unwrap returns the connection that a connection of a Listener wraps, and others
// unchanged.
func Unwrap(nc net.Conn) net.Conn {
	if c, ok := nc.(*conn); ok {
		return c.Conn
	}
	return nc
}

type connKey struct{}

// ConnContext makes the connection available to Handler. It is a field of
// http.Server.
func ConnContext(ctx context.Context, nc net.Conn) context.Context {
	if c, ok := nc.(*conn); ok {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// FromContext returns the holder of the connection of a request, nil if it has
// none.
func FromContext(ctx context.Context) *Holder {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return nil
	}
	return c.holder
}

// Handler tells which bytes of a connection belong to heads, and returns the
// bytes that a request holds after its end.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		c.handling.Store(true)
		c.headParsed(len(r.Trailer))
		if r.ContentLength == 0 {
			c.holder.setPhase(complete)
		}
		defer func() {
			// net/http keeps the request until the connection is closed.
			r.Header, r.Trailer = nil, nil
			if !c.holder.endHandling() {
				// net/http discards the rest of the body next.
				_ = c.SetReadDeadline(time.Now().Add(discardTimeout)) // fails only if the connection is closed
			}
		}()
		next.ServeHTTP(w, r)
	})
}

// ConnState tells when a connection waits for its next request. It is a field of
// http.Server.
func ConnState(nc net.Conn, state http.ConnState) {
	if c, ok := nc.(*conn); ok && state == http.StateIdle {
		c.headBytes, c.listItems = 0, 0
		c.holder.endRequest()
		c.handling.Store(false)
	}
}

// Prepare prepares a server for listeners of a budget.
func Prepare(server *http.Server) {
	server.Handler = Handler(server.Handler)
	server.ConnContext = ConnContext
	server.ConnState = ConnState
}
