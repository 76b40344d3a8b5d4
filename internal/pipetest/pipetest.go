// Package pipetest is an in-memory network for tests: servers and clients that
// talk over it can run in a synctest bubble.
package pipetest

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Listener accepts in-memory connections.
type Listener struct {
	conns  chan net.Conn
	done   chan struct{}
	refuse atomic.Bool
}

// New returns a listener.
func New() *Listener {
	return &Listener{conns: make(chan net.Conn), done: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. It may be called once.
func (l *Listener) Close() error {
	close(l.done)
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr {
	return &net.TCPAddr{}
}

// Refuse makes later dials fail, or work again.
func (l *Listener) Refuse(refuse bool) {
	l.refuse.Store(refuse)
}

// Dial connects to the listener, whatever the address.
func (l *Listener) Dial(ctx context.Context, _, _ string) (net.Conn, error) {
	refused := &net.OpError{Op: "dial", Net: "tcp", Err: errors.New("connection refused")}
	if l.refuse.Load() {
		return nil, refused
	}
	ours, theirs := net.Pipe()
	select {
	case l.conns <- theirs:
		return ours, nil
	case <-l.done:
		return nil, refused
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
	}
}

// Transport returns a transport that dials the listener and uses each
// connection once.
func (l *Listener) Transport() *http.Transport {
	return &http.Transport{DialContext: l.Dial, DisableKeepAlives: true, DisableCompression: true}
}
