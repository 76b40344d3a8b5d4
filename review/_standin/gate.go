package main

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// gate is the way to a worker. While it is dark, its connections stay open and silent, and
// new ones hang, as those to a machine without power do.
type gate struct {
	target   string
	listener *net.TCPListener

	mu    sync.Mutex // guards all below
	light *sync.Cond // signalled when dark is cleared
	dark  bool
	conns map[*net.TCPConn]bool
}

func newGate(target string) (*gate, error) {
	listener, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	g := &gate{target: target, listener: listener, conns: map[*net.TCPConn]bool{}}
	g.light = sync.NewCond(&g.mu)
	go g.accept()
	return g, nil
}

func (g *gate) address() string { return g.listener.Addr().String() }

func (g *gate) accept() {
	for {
		conn, err := g.listener.AcceptTCP()
		if err != nil {
			return
		}
		if g.awaitLight() {
			reset(conn)
			continue
		}
		go g.forward(conn)
	}
}

// awaitLight waits until the gate is not dark, and reports whether it was.
func (g *gate) awaitLight() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	was := g.dark
	for g.dark {
		g.light.Wait()
	}
	return was
}

func (g *gate) forward(conn *net.TCPConn) {
	raw, err := net.DialTimeout("tcp4", g.target, time.Second)
	if err != nil {
		reset(conn)
		return
	}
	worker := raw.(*net.TCPConn)
	g.mu.Lock()
	g.conns[conn] = true
	g.mu.Unlock()
	done := make(chan struct{}, 2)
	for _, way := range [][2]*net.TCPConn{{conn, worker}, {worker, conn}} {
		go func() {
			g.copy(way[0], way[1])
			done <- struct{}{}
		}()
	}
	<-done
	reset(conn)
	reset(worker)
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, conn)
}

// copy forwards bytes until a side ends or the gate was dark.
func (g *gate) copy(from, to *net.TCPConn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if g.awaitLight() || err != nil {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// maxFill is how many connections are tried to fill the queue of a listener. If none of
// them hangs, later ones are accepted and stay silent.
const maxFill = 8

// goDark silences the connections and lets new ones hang: it fills the queue of the
// listener, from which none is accepted.
func (g *gate) goDark() {
	g.mu.Lock()
	g.dark = true
	g.mu.Unlock()
	g.setQueue(0)
	for range maxFill {
		if _, err := net.DialTimeout("tcp4", g.address(), 30*time.Millisecond); err != nil {
			return
		}
	}
}

// goLight ends the darkness: all connections from before are reset.
func (g *gate) goLight() {
	g.setQueue(128)
	g.mu.Lock()
	defer g.mu.Unlock()
	for conn := range g.conns {
		reset(conn)
	}
	g.dark = false
	g.light.Broadcast()
}

func (g *gate) setQueue(length int) {
	control, err := g.listener.SyscallConn()
	if err == nil {
		_ = control.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), length) }) // see maxFill
	}
}

func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0) // a connection that is closed already stays so
	_ = conn.Close()
}
