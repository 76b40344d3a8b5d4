package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// proxy stands between a client and a server on loopback and harms what passes.
type proxy struct {
	listener net.Listener

	mu     sync.Mutex // guards all below
	target string
	silent map[string]bool // direction "up" (to the server) or "down": what comes is held
	delay  time.Duration   // of each piece
	pairs  map[net.Conn]net.Conn
	freed  chan struct{} // closed and renewed when silence ends
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "proxy")
	}
	p := &proxy{listener: listener, target: target, silent: map[string]bool{}, pairs: map[net.Conn]net.Conn{}, freed: make(chan struct{})}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.connect(client)
	}
}

func (p *proxy) connect(client net.Conn) {
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	server, err := net.DialTimeout("tcp4", target, time.Second)
	if err != nil {
		hardClose(client)
		return
	}
	p.mu.Lock()
	p.pairs[client] = server
	p.mu.Unlock()
	go p.pass("up", client, server)
	p.pass("down", server, client)
	p.mu.Lock()
	delete(p.pairs, client)
	p.mu.Unlock()
}

// pass copies one direction until an end is closed.
func (p *proxy) pass(way string, from, to net.Conn) {
	defer func() { _, _ = from.Close(), to.Close() }()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.hold(way)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			p.hold(way) // the end of a connection is not seen through a cut either
			if !errors.Is(err, io.EOF) {
				hardClose(to) // a reset is passed on as one
			}
			return
		}
	}
}

// hold waits while the direction is silent.
func (p *proxy) hold(way string) {
	for {
		p.mu.Lock()
		silent, delay, freed := p.silent[way], p.delay, p.freed
		p.mu.Unlock()
		if !silent {
			time.Sleep(delay)
			return
		}
		<-freed
	}
}

// cut makes a direction, or both, silent until the returned call.
func (p *proxy) cut(way string) (end func()) {
	set := func(silent bool) {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, w := range []string{"up", "down"} {
			if way == w || way == "both" {
				p.silent[w] = silent
			}
		}
		close(p.freed)
		p.freed = make(chan struct{})
	}
	set(true)
	return func() { set(false) }
}

func (p *proxy) slow(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = delay
}

// turn sends new connections to another target.
func (p *proxy) turn(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// reset breaks all connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for client, server := range p.pairs {
		hardClose(client)
		hardClose(server)
	}
}

func (p *proxy) close() {
	_ = p.listener.Close() // the run is over
	p.reset()
}

// hardClose resets a connection instead of ending it in order.
func hardClose(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // without it the close is in order, which is a fault too
	}
	_ = conn.Close()
}
