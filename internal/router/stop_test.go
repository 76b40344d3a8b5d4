package router

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// slowListener accepts connections whose requests are read with a delay, as in a process that
// gets little processor time.
type slowListener struct {
	net.Listener
	delay time.Duration
}

// Accept implements net.Listener.
func (l *slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &slowConn{Conn: conn, delay: l.delay}, nil
}

type slowConn struct {
	net.Conn
	delay time.Duration
}

// Read implements net.Conn.
func (c *slowConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		time.Sleep(c.delay)
	}
	return n, err
}

// TestRequestsThatAreReadLateAtTheEndOfAStopGetAnAnswer guards against connections that a
// stopping router closes although requests wait on them.
func TestRequestsThatAreReadLateAtTheEndOfAStopGetAnAnswer(t *testing.T) {
	const (
		readDelay = 25 * time.Millisecond
		interval  = 5 * time.Millisecond
	)
	f := newFixture(t)
	r := f.startRouter("a")
	f.configureFleet(r)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = r.callerServer.Serve(&slowListener{Listener: listener, delay: readDelay}) }() // ends with the router
	var conns []net.Conn
	for range 2 * unreadyDelay / interval {
		conn, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		conns = append(conns, conn)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- r.Stop(f.testContext()) }()
	sent := 0
	for refusing := false; !refusing && sent < len(conns); {
		time.Sleep(interval)
		_, err := fmt.Fprintf(conns[sent], "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nContent-Length: 0\r\n\r\n", callerKey)
		require.NoError(t, err)
		sent++
		select {
		case <-r.refusing:
			refusing = true
		default:
		}
	}
	for _, unused := range conns[sent:] {
		require.NoError(t, unused.Close()) // else the HTTP server waits for their requests
	}
	for i, conn := range conns[:sent] {
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(testTimeout)))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err, "request %d of %d has no answer", i, sent)
		require.NoError(t, response.Body.Close())
	}
	require.NoError(t, <-stopped)
}
