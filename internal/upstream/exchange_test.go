package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/membership"
)

// testParser parses the response headers of the test servers.
type testParser struct{}

func (testParser) ParseResponse(status int, h http.Header) ResponseInfo {
	return ResponseInfo{
		Attempt:     h.Get("Attempt"),
		NotExecuted: h.Get("Not-Run") != "",
		FromServer:  h.Get("Seal") != "",
	}
}

// testServer responds to each request with the next step.
type testServer struct {
	address string
	conns   atomic.Int64
}

// serverStep is what a server does once it has read a complete request.
type serverStep func(conn net.Conn)

func reply(text string) serverStep {
	return func(conn net.Conn) { _, _ = io.WriteString(conn, text) }
}

func closeConn(conn net.Conn) { _ = conn.Close() }

func resetConn(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

func newTestServer(t *testing.T, steps ...serverStep) *testServer {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	s := &testServer{address: listener.Addr().String()}
	t.Cleanup(func() { _ = listener.Close() })
	var next atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			t.Cleanup(func() { _ = conn.Close() })
			go func() {
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if _, err = io.Copy(io.Discard, request.Body); err != nil {
						return
					}
					index := int(next.Add(1)) - 1
					if index >= len(steps) {
						return
					}
					steps[index](conn)
				}
			}()
		}
	}()
	return s
}

func (s *testServer) request(attempt string) *Request {
	return &Request{
		Server:  membership.Server{ID: "s1", Address: s.address},
		Method:  http.MethodPost,
		Target:  "/a/b?c=d",
		Host:    "maps.example",
		Header:  http.Header{"Attempt": {attempt}},
		Body:    []byte("body"),
		Attempt: attempt,
	}
}

const ownResponse = "HTTP/1.1 200 OK\r\nAttempt: r1\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok"

func TestDoClassifiesResponses(t *testing.T) {
	cases := []struct {
		name string
		step serverStep
		err  error  // expected from Do
		body string // expected if Do succeeds
		cut  bool   // reading the body must fail
	}{
		{name: "complete response", step: reply(ownResponse), body: "ok"},
		{name: "chunked response", step: reply("HTTP/1.1 200 OK\r\nAttempt: r1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"), body: "ok"},
		{name: "response without a length", step: func(c net.Conn) {
			reply("HTTP/1.1 200 OK\r\nAttempt: r1\r\n\r\nok")(c)
			closeConn(c)
		}, body: "ok"},
		{name: "truncated response", step: func(c net.Conn) {
			reply("HTTP/1.1 200 OK\r\nAttempt: r1\r\nContent-Length: 9\r\n\r\nok")(c)
			closeConn(c)
		}, body: "ok", cut: true},
		{name: "chunked response without the last chunk", step: func(c net.Conn) {
			reply("HTTP/1.1 200 OK\r\nAttempt: r1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n")(c)
			closeConn(c)
		}, body: "ok", cut: true},
		{name: "closed without a response", step: closeConn, err: ErrIncompleteResponse},
		{name: "reset", step: resetConn, err: ErrIncompleteResponse},
		{name: "not an HTTP response", step: reply("\x00\x01garbage\r\n\r\n"), err: ErrResponseMismatch},
		{name: "late response to another attempt comes first", step: reply("HTTP/1.1 200 OK\r\nAttempt: r0\r\nContent-Length: 5\r\n\r\nother" + ownResponse), body: "ok"},
		{name: "close-delimited response to another attempt", step: func(c net.Conn) {
			reply("HTTP/1.1 200 OK\r\nAttempt: r0\r\n\r\nother")(c)
			closeConn(c)
		}, err: ErrResponseMismatch},
		{name: "response that names no attempt", step: reply("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), err: ErrIncompleteResponse},
		{name: "interim response", step: reply("HTTP/1.1 102 Processing\r\n\r\n" + ownResponse), body: "ok"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newTestServer(t, c.step)
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			e, err := NewPool(testParser{}).Do(ctx, s.request("r1"))
			if c.err != nil {
				require.ErrorIs(t, err, c.err)
				require.NotErrorIs(t, err, ErrNotSent, "the request may have run")
				return
			}
			require.NoError(t, err)
			body, err := io.ReadAll(e)
			e.Close(err == nil)
			require.Equal(t, c.body, string(body))
			require.Equal(t, c.cut, err != nil)
		})
	}
}

func TestOnlyCleanConnectionsAreReused(t *testing.T) {
	cases := []struct {
		name      string
		first     serverStep
		wantReuse bool
	}{
		{"clean", reply(ownResponse), true},
		{"extra bytes after the response", reply(ownResponse + "HTTP/1.1 200 OK\r\nAttempt: r0\r\nContent-Length: 0\r\n\r\n"), false},
		{"server closes the connection", reply(strings.Replace(ownResponse, "Seal: s", "Connection: close", 1)), false},
		{"late response to another attempt comes first", reply("HTTP/1.1 200 OK\r\nAttempt: r0\r\nContent-Length: 0\r\n\r\n" + ownResponse), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newTestServer(t, c.first, reply(strings.Replace(ownResponse, "r1", "r2", 1)))
			pool := NewPool(testParser{})
			for _, attempt := range []string{"r1", "r2"} {
				e, err := pool.Do(context.Background(), s.request(attempt))
				require.NoError(t, err)
				_, err = io.ReadAll(e)
				e.Close(err == nil)
				require.NoError(t, err)
			}
			require.Equal(t, c.wantReuse, s.conns.Load() == 1)
		})
	}
}

func TestIdleConnectionWithUnreadBytesIsClosed(t *testing.T) {
	extra := make(chan struct{})
	sent := make(chan struct{})
	s := newTestServer(t, func(c net.Conn) {
		reply(ownResponse)(c)
		go func() {
			<-extra
			reply("HTTP/1.1 200 OK\r\nAttempt: r2\r\nContent-Length: 4\r\n\r\nevil")(c)
			close(sent)
		}()
	}, reply(strings.Replace(ownResponse, "r1", "r2", 1)))
	pool := NewPool(testParser{})
	e, err := pool.Do(context.Background(), s.request("r1"))
	require.NoError(t, err)
	_, err = io.ReadAll(e)
	require.NoError(t, err)
	e.Close(true)
	close(extra)
	<-sent
	require.Eventually(t, func() bool {
		c := pool.popIdle(s.request("r1").Server)
		if c == nil {
			return true
		}
		quiet := c.hasNoInput()
		pool.release(c, 0)
		return !quiet
	}, time.Second, time.Millisecond)
	e, err = pool.Do(context.Background(), s.request("r2"))
	require.NoError(t, err)
	body, err := io.ReadAll(e)
	require.NoError(t, err)
	require.Equal(t, "ok", string(body))
	require.EqualValues(t, 2, s.conns.Load())
}

func TestRefusedConnectionIsErrNotSent(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	_, err = NewPool(testParser{}).Do(context.Background(), (&testServer{address: address}).request("r1"))
	require.ErrorIs(t, err, ErrNotSent)
}

func TestContextEndClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	s := newTestServer(t, func(c net.Conn) {
		_, _ = c.Read(make([]byte, 1)) // until the client closes the connection
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := NewPool(testParser{}).Do(ctx, s.request("r1"))
	require.ErrorIs(t, err, ErrIncompleteResponse)
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Fatal("the server's connection was not closed")
	}
}

func TestRequestIsWrittenUnchanged(t *testing.T) {
	got := make(chan string, 1)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		raw := make([]byte, 4096)
		n, _ := conn.Read(raw)
		got <- string(raw[:n])
		reply(ownResponse)(conn)
	}()
	e, err := NewPool(testParser{}).Do(context.Background(), (&testServer{address: listener.Addr().String()}).request("r1"))
	require.NoError(t, err)
	e.Close(false)
	require.Equal(t, "POST /a/b?c=d HTTP/1.1\r\nHost: maps.example\r\nAttempt: r1\r\nContent-Length: 4\r\n\r\nbody", <-got)
}

func TestEarlyResponseWhileBodyIsWritten(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 512)) // part of the request
		reply("HTTP/1.1 400 Bad Request\r\nAttempt: r1\r\nContent-Length: 2\r\n\r\nno")(conn)
	}()
	request := (&testServer{address: listener.Addr().String()}).request("r1")
	request.Body = make([]byte, 16<<20)
	pool := NewPool(testParser{})
	e, err := pool.Do(context.Background(), request)
	require.NoError(t, err)
	body, err := io.ReadAll(e)
	require.NoError(t, err)
	require.Equal(t, "no", string(body))
	e.Close(true)
	require.Nil(t, pool.popIdle(request.Server), "the body was not written completely, so the connection must not be reused")
}
