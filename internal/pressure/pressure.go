// Package pressure tells whether a router is sent more than its VM's link
// carries. It answers a load in which the balancer keeps the callers of large
// accounts on one small VM: their requests would all be late there, while other
// routers have room.
package pressure

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

const (
	// fullShare of the link is where requests begin to wait for it: packets
	// come in bursts.
	fullShare = 0.7
	// easyShare of the link is where the router has room again for what the
	// balancer may send at once.
	easyShare = 0.5
	// span is over what time the use of the link is averaged: some requests at
	// any load that can fill it.
	span = 500 * time.Millisecond
	// shortest is for how long callers are sent elsewhere at first: the
	// platform needs two seconds to notice, and callers as long to move.
	shortest = 6 * time.Second
	// longest bounds that time, which doubles when the link fills again within
	// soon: the load may have gone for good.
	longest = 24 * time.Second
	soon    = 10 * time.Second
)

// SampleInterval is how often Sample is to be called.
const SampleInterval = 100 * time.Millisecond

// Monitor follows the bytes between callers and the router. What is passed on to
// servers is as much again, in the other direction of the link.
type Monitor struct {
	link  float64     // bytes a second, each way; zero if not known
	may   func() bool // whether other routers can take the callers
	log   zerolog.Logger
	bytes atomic.Int64 // since the last sample
	over  atomic.Bool

	mu      sync.Mutex // guards all below
	sampled time.Time
	rate    float64       // bytes a second
	changed time.Time     // when over was set last
	least   time.Duration // for which it stays set
}

// New returns a gauge for a link of some bytes a second in each direction. With
// zero it never tells of pressure, nor while may is false.
func New(link float64, may func() bool, log zerolog.Logger) *Monitor {
	return &Monitor{link: link, may: may, log: log.With().Str("part", "pressure").Logger()}
}

// Overloaded reports whether callers should be sent to other routers.
func (g *Monitor) Overloaded() bool { return g.over.Load() }

// Sample takes in what has passed since the last call.
func (g *Monitor) Sample(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	passed := float64(g.bytes.Swap(0))
	elapsed := now.Sub(g.sampled)
	first := g.sampled.IsZero()
	g.sampled = now
	if first || elapsed <= 0 || g.link <= 0 {
		return
	}
	weight := min(elapsed.Seconds()/span.Seconds(), 1)
	g.rate += weight * (passed/elapsed.Seconds() - g.rate)
	g.judge(now)
}

// judge decides by the rate. The lock is held.
func (g *Monitor) judge(now time.Time) {
	use := g.rate / g.link
	switch over := g.over.Load(); {
	case !over && use >= fullShare && g.may():
		g.fill(now)
		g.log.Warn().Float64("use", use).Float64("bytes_per_s", g.rate).Dur("at_least", g.least).
			Msg("link is full, callers are sent to other routers")
	case over && use <= easyShare && now.Sub(g.changed) >= g.least:
		g.over.Store(false)
		g.log.Info().Float64("use", use).Dur("after", now.Sub(g.changed)).Msg("link has room again")
		g.changed = now
	}
}

// fill begins a time of pressure. The lock is held.
func (g *Monitor) fill(now time.Time) {
	if g.least == 0 || now.Sub(g.changed) > soon {
		g.least = shortest
	} else {
		g.least = min(2*g.least, longest)
	}
	g.over.Store(true)
	g.changed = now
}

// Listener counts what passes through a listener's connections.
func (g *Monitor) Listener(l net.Listener) net.Listener {
	return &listener{Listener: l, gauge: g}
}

type listener struct {
	net.Listener
	gauge *Monitor
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, gauge: l.gauge}, nil
}

type conn struct {
	net.Conn
	gauge *Monitor
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.gauge.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.gauge.bytes.Add(int64(n))
	return n, err
}
