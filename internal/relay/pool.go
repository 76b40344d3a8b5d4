package relay

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Limits of the connections to one gate.
const (
	maxIdleConns = 64
	idleTimeout  = 90 * time.Second
	dialTimeout  = 2 * time.Second
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// link holds the pooled connections to one peer.
type link struct {
	dial DialFunc

	mu        sync.Mutex // guards transport: a replaced one takes no new request
	transport *http.Transport
}

func newTransport(dial DialFunc) *http.Transport {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

func (l *link) current() *http.Transport {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.transport
}

// distrust puts the pool to which a silent connection belonged out of use:
// what silenced one connection has probably silenced the idle ones beside
// it. Streams that still get frames through it go on; their connections are
// closed when they have been idle for idleTimeout.
func (l *link) distrust(silent *http.Transport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.transport != silent {
		return
	}
	l.transport = newTransport(l.dial)
	silent.CloseIdleConnections()
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.transport.CloseIdleConnections()
}
