package relay

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/camphorlever/camphorlever/internal/httpclient"
)

// Limits of the connection pool of one gate.
const (
	maxIdleConns = 64
	idleTimeout  = 90 * time.Second
	dialTimeout  = 2 * time.Second
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// pool is the connection pool of one peer.
type pool struct {
	dial DialFunc

	mu        sync.Mutex // guards transport; a replaced transport gets no new requests
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

		MaxResponseHeaderBytes: httpclient.MaxHeadBytes,
	}
}

func (p *pool) current() *http.Transport {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.transport
}

// replaceTransport replaces the transport of a connection that timed out, unless
// that has already been done. The fault that stalled one connection has probably
// stalled the idle connections of the same transport too, so those are closed.
// Streams that still receive frames through the old transport continue; their
// connections are closed after they have been idle for idleTimeout.
func (p *pool) replaceTransport(failed *http.Transport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.transport != failed {
		return
	}
	p.transport = newTransport(p.dial)
	failed.CloseIdleConnections()
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.transport.CloseIdleConnections()
}
