// Package pressure detects when a router receives more traffic than the network
// link of its VM carries. That happens when the balancer keeps the callers of
// large accounts on one small VM: their requests would all be late, while other
// routers have capacity.
package pressure

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

const (
	// fullThreshold is the utilization of the link from which requests are
	// delayed by it. It is below 1 because packets come in bursts.
	fullThreshold = 0.7
	// resumeThreshold is the utilization up to which the router has capacity
	// again for the callers that the balancer may send at once.
	resumeThreshold = 0.5
	// averagingWindow is the time over which the utilization is averaged. It
	// covers several requests at any load that can fill the link.
	averagingWindow = 500 * time.Millisecond
	// minShedding is how long callers are first sent to other routers. The
	// platform needs two seconds to notice, and callers another two to move.
	minShedding = 6 * time.Second
	// maxShedding bounds that time, which doubles each time the link fills again
	// within repeatWindow. It is bounded because the load may have ended.
	maxShedding  = 24 * time.Second
	repeatWindow = 10 * time.Second
)

// SampleInterval is the interval at which Sample must be called.
const SampleInterval = 100 * time.Millisecond

// Monitor measures the bytes between callers and the router. The traffic that is
// forwarded to servers is about the same, in the other direction of the link. It
// is safe for concurrent use.
type Monitor struct {
	linkRate   float64     // bytes per second in each direction; zero if not known
	mayShed    func() bool // whether other routers have capacity for the callers
	log        zerolog.Logger
	bytes      atomic.Int64 // since the last sample
	overloaded atomic.Bool

	mu          sync.Mutex // guards all below
	sampledAt   time.Time
	rate        float64       // bytes per second
	changedAt   time.Time     // when overloaded last changed
	minDuration time.Duration // for which overloaded stays set
}

// New returns a monitor for a link that carries linkRate bytes per second in each
// direction. It never starts to report overload if linkRate is zero or while
// mayShed returns false.
func New(linkRate float64, mayShed func() bool, log zerolog.Logger) *Monitor {
	return &Monitor{linkRate: linkRate, mayShed: mayShed, log: log.With().Str("part", "pressure").Logger()}
}

// Overloaded reports whether callers should be sent to other routers.
func (m *Monitor) Overloaded() bool { return m.overloaded.Load() }

// Sample updates the rate with the bytes counted since the last call.
func (m *Monitor) Sample(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	passed := float64(m.bytes.Swap(0))
	elapsed := now.Sub(m.sampledAt)
	first := m.sampledAt.IsZero()
	m.sampledAt = now
	if first || elapsed <= 0 || m.linkRate <= 0 {
		return
	}
	weight := min(elapsed.Seconds()/averagingWindow.Seconds(), 1)
	m.rate += weight * (passed/elapsed.Seconds() - m.rate)
	m.evaluate(now)
}

// evaluate sets or clears the overload by the current rate. The lock is held.
func (m *Monitor) evaluate(now time.Time) {
	use := m.rate / m.linkRate
	switch over := m.overloaded.Load(); {
	case !over && use >= fullThreshold && m.mayShed():
		m.markOverloaded(now)
		m.log.Warn().Float64("use", use).Float64("bytes_per_s", m.rate).Dur("at_least", m.minDuration).
			Msg("network link is full, callers are sent to other routers")
	case over && use <= resumeThreshold && now.Sub(m.changedAt) >= m.minDuration:
		m.overloaded.Store(false)
		m.log.Info().Float64("use", use).Dur("after", now.Sub(m.changedAt)).Msg("network link has capacity again")
		m.changedAt = now
	}
}

// markOverloaded starts an overload and sets its minimum duration. The lock is
// held.
func (m *Monitor) markOverloaded(now time.Time) {
	if m.minDuration == 0 || now.Sub(m.changedAt) > repeatWindow {
		m.minDuration = minShedding
	} else {
		m.minDuration = min(2*m.minDuration, maxShedding)
	}
	m.overloaded.Store(true)
	m.changedAt = now
}

// Listener returns a listener that counts the bytes of its connections.
func (m *Monitor) Listener(l net.Listener) net.Listener {
	return &listener{Listener: l, monitor: m}
}

type listener struct {
	net.Listener
	monitor *Monitor
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, monitor: l.monitor}, nil
}

type conn struct {
	net.Conn
	monitor *Monitor
}

// NetConn returns the connection whose bytes are counted.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.monitor.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.monitor.bytes.Add(int64(n))
	return n, err
}
