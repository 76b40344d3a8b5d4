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
	"github.com/camphorlever/camphorlever/internal/membership"
)

// Times of connections.
const (
	// dialTimeout is above one lost opening packet within a region would cost
	// a healthy server: round trips take some milliseconds.
	dialTimeout = 300 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged before the
	// connection is given up: several retransmissions within a region.
	unackedTimeout = 800 * time.Millisecond
	// defaultIdle is how long an idle connection is used again if its server
	// does not tell when it closes it.
	defaultIdle = 4 * time.Second
	// freshIdle is the same for requests that must not be sent twice.
	freshIdle = 800 * time.Millisecond
	// closeMargin is taken off the time that a server tells, for clocks and
	// the way.
	closeMargin = 700 * time.Millisecond
	// maxIdle bounds the idle connections to one server.
	maxIdle = 64
)

// Pool holds the connections to all servers. It is safe for concurrent use.
type Pool struct {
	reader ResponseParser
	events *counter.Set

	mu   sync.Mutex // guards the map and the lists
	idle map[life][]*conn
}

// life names one life of a server.
type life struct {
	id, address string
	born        int64
}

func lifeOf(s membership.Server) life {
	return life{id: s.ID, address: s.Address, born: s.StartedMS}
}

// NewPool returns a pool without connections.
func NewPool(reader ResponseParser) *Pool {
	return &Pool{reader: reader, events: counter.NewSet("upstream"), idle: map[life][]*conn{}}
}

// get returns a connection to a server: an idle one, or a new one.
func (p *Pool) get(ctx context.Context, server membership.Server, fresh bool) (*conn, error) {
	for {
		c := p.take(server)
		if c == nil {
			return p.dial(ctx, server)
		}
		now := time.Now()
		stale := now.After(c.until) || (fresh && now.Sub(c.idle) > freshIdle)
		if !stale && c.quiet() {
			c.reused = true
			return c, nil
		}
		p.events.Inc("idle_closed")
		_ = c.net.Close() // it carries no request
	}
}

// take removes the connection that was used last.
func (p *Pool) take(server membership.Server) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := lifeOf(server)
	list := p.idle[key]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[key] = list[:len(list)-1]
	return c
}

func (p *Pool) dial(ctx context.Context, server membership.Server) (*conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, Control: limitUnacked}
	raw, err := dialer.DialContext(ctx, "tcp4", server.Address)
	if err != nil {
		p.events.Inc("dial_failed")
		return nil, errors.Wrap(err, "connect")
	}
	p.events.Inc("dialled")
	return newConn(raw, server), nil
}

// limitUnacked makes a connection fail when what was sent stays unacknowledged.
func limitUnacked(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// put gives a connection back after its answer was read whole.
func (p *Pool) put(c *conn, keepAlive time.Duration) {
	_ = c.net.SetDeadline(time.Time{}) // a closed connection shows at its next use
	c.idle = time.Now()
	life := defaultIdle
	if keepAlive > 0 {
		life = keepAlive - closeMargin
	}
	c.until = c.idle.Add(life)
	if c.spoilt || life <= 0 || c.reader.Buffered() > 0 {
		_ = c.net.Close()
		return
	}
	p.mu.Lock()
	key := lifeOf(c.server)
	list := append(p.idle[key], c)
	var drop *conn
	if len(list) > maxIdle {
		drop, list = list[0], list[1:]
	}
	p.idle[key] = list
	p.mu.Unlock()
	if drop != nil {
		_ = drop.net.Close()
	}
}

// RetainServers closes the idle connections to all lives of servers but those given,
// and those that have been idle for too long.
func (p *Pool) RetainServers(servers func(membership.Server) bool) {
	now := time.Now()
	p.mu.Lock()
	var drop []*conn
	for key, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.After(c.until) || !servers(c.server) {
				drop = append(drop, c)
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
	for _, c := range drop {
		_ = c.net.Close()
	}
}

func contentLength(n int) string {
	return "Content-Length: " + strconv.Itoa(n) + "\r\n"
}
