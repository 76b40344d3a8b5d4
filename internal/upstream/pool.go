package upstream

import (
	"context"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/intake"
	"github.com/camphorlever/camphorlever/internal/membership"
)

// Timeouts and limits of connections.
const (
	// dialTimeout is the time limit of connecting. Connecting within a region
	// takes a few milliseconds, so the limit costs a healthy server nothing
	// unless a SYN packet is lost.
	dialTimeout = 300 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged before the
	// connection fails. It allows several retransmissions within a region.
	unackedTimeout = 800 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is reused if its
	// server does not say when it closes it.
	defaultIdleTimeout = 4 * time.Second
	// maxFreshIdle is how long a connection may have been idle if the request
	// must not be sent twice.
	maxFreshIdle = 800 * time.Millisecond
	// closeMargin is subtracted from the keep-alive time that a server
	// announces, to allow for clock differences and network latency.
	closeMargin = 700 * time.Millisecond
	// maxIdlePerServer limits the idle connections to one incarnation of a
	// server.
	maxIdlePerServer = 64
)

// Pool holds the idle connections to all servers. It is safe for concurrent
// use.
type Pool struct {
	parser   ResponseParser
	observer Observer // nil if nobody is told
	events   *counter.Set

	mu   sync.Mutex                    // guards idle
	idle map[serverIncarnation][]*conn // most recently used last
}

// serverIncarnation identifies one incarnation of a server.
type serverIncarnation struct {
	id, address string
	startedMS   int64
}

func incarnationOf(s membership.Server) serverIncarnation {
	return serverIncarnation{id: s.ID, address: s.Address, startedMS: s.StartedMS}
}

// NewPool returns a pool without connections.
func NewPool(parser ResponseParser) *Pool {
	return &Pool{parser: parser, events: counter.NewSet("upstream"), idle: map[serverIncarnation][]*conn{}}
}

// Observe has the observer told what servers say. It must be called before the first
// request.
func (p *Pool) Observe(observer Observer) { p.observer = observer }

// notify tells the observer what a response says of the server. A late response to an
// earlier request on the connection may say that the server leaves, but its pause began at
// an unknown time.
func (p *Pool) notify(server membership.Server, info ResponseInfo, late bool) {
	if p.observer == nil || info.WrongServer {
		return
	}
	if info.Leaving {
		p.observer.ServerLeaving(server)
	}
	if info.Cold > 0 {
		p.observer.ServerCold(server, info.Cold) // a late response gives a longer period at worst
	}
	if info.Pause > 0 && !late {
		p.observer.ServerPaused(server, time.Now().Add(info.Pause))
	}
}

// acquire returns an idle connection for a request, or a new one if none can be reused.
// For a request that must not be sent twice it reuses only connections idle for at most
// maxFreshIdle.
func (p *Pool) acquire(ctx context.Context, req *Request) (*conn, error) {
	for {
		c := p.popIdle(req.Server)
		if c == nil {
			c, err := p.dial(ctx, req.Server)
			if err == nil {
				c.carry(req.Attempt)
			}
			return c, err
		}
		now := time.Now()
		stale := now.After(c.usableUntil) || (req.FreshConn && now.Sub(c.idleSince) > maxFreshIdle)
		if !stale && c.mayCarry(req.Attempt) && c.hasNoInput() {
			c.reused = true
			c.carry(req.Attempt)
			return c, nil
		}
		p.events.Inc("idle_closed")
		_ = c.netConn.Close() // no request is in progress on it
	}
}

// popIdle removes and returns the most recently used idle connection to a
// server, nil if there is none.
func (p *Pool) popIdle(server membership.Server) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := incarnationOf(server)
	conns := p.idle[key]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	p.idle[key] = conns[:len(conns)-1]
	return c
}

func (p *Pool) dial(ctx context.Context, server membership.Server) (*conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, Control: controlSocket}
	raw, err := dialer.DialContext(ctx, "tcp4", server.Address)
	if err != nil {
		p.events.Inc("dial_failed")
		return nil, errors.Wrap(err, "connect")
	}
	p.events.Inc("dialled")
	return newConn(raw, server), nil
}

// Probe connects to a server and closes the connection.
func (p *Pool) Probe(ctx context.Context, server membership.Server) error {
	c, err := p.dial(ctx, server)
	if err != nil {
		return err
	}
	return errors.Wrap(c.netConn.Close(), "close")
}

// controlSocket limits the kernel's buffers of a connection, which hold the
// responses to callers that read slowly, and sets its timeout.
func controlSocket(network, address string, raw syscall.RawConn) error {
	if err := intake.SetSocketBuffers(network, address, raw); err != nil {
		return err
	}
	return setUserTimeout(network, address, raw)
}

// setUserTimeout sets TCP_USER_TIMEOUT, so that a connection fails if sent
// bytes stay unacknowledged for unackedTimeout.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}

// release makes a connection available again after its response was read
// completely. keepAlive is the idle time that the server announced, zero if
// unknown.
func (p *Pool) release(c *conn, keepAlive time.Duration) {
	_ = c.netConn.SetDeadline(time.Time{}) // if the connection is closed, its next use fails
	c.idleSince = time.Now()
	idleTimeout := defaultIdleTimeout
	if keepAlive > 0 {
		idleTimeout = keepAlive - closeMargin
	}
	c.usableUntil = c.idleSince.Add(idleTimeout)
	if c.notReusable || idleTimeout <= 0 || c.reader.Buffered() > 0 {
		_ = c.netConn.Close()
		return
	}
	p.mu.Lock()
	key := incarnationOf(c.server)
	conns := append(p.idle[key], c)
	var evicted *conn
	if len(conns) > maxIdlePerServer {
		evicted, conns = conns[0], conns[1:]
	}
	p.idle[key] = conns
	p.mu.Unlock()
	if evicted != nil {
		_ = evicted.netConn.Close()
	}
}

// RetainServers closes the idle connections to all servers for which retain
// returns false, and those that have been idle for too long.
func (p *Pool) RetainServers(retain func(membership.Server) bool) {
	now := time.Now()
	p.mu.Lock()
	var closing []*conn
	for key, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now.After(c.usableUntil) || !retain(c.server) {
				closing = append(closing, c)
				continue
			}
			kept = append(kept, c)
		}
		p.idle[key] = kept
		if len(kept) == 0 {
			delete(p.idle, key)
		}
	}
	p.mu.Unlock()
	for _, c := range closing {
		_ = c.netConn.Close()
	}
}

func contentLength(n int) string {
	return "Content-Length: " + strconv.Itoa(n) + "\r\n"
}
