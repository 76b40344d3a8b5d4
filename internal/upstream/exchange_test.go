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

// headers reads the answer headers of the servers of these tests.
type headers struct{}

func (headers) ParseResponse(status int, h http.Header) ResponseInfo {
	return ResponseInfo{
		Attempt:     h.Get("Attempt"),
		NotExecuted: h.Get("Not-Run") != "",
		FromServer:  h.Get("Seal") != "",
	}
}

// server answers each request on a connection with the next of the scripts.
type server struct {
	address string
	conns   atomic.Int64
}

// step is what a server does once it has read a request whole.
type step func(conn net.Conn)

func say(text string) step {
	return func(conn net.Conn) { _, _ = io.WriteString(conn, text) }
}

func hangUp(conn net.Conn) { _ = conn.Close() }

func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

func newServer(t *testing.T, steps ...step) *server {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	s := &server{address: listener.Addr().String()}
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
					at := int(next.Add(1)) - 1
					if at >= len(steps) {
						return
					}
					steps[at](conn)
				}
			}()
		}
	}()
	return s
}

func (s *server) send(attempt string) *Request {
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

const own = "HTTP/1.1 200 OK\r\nAttempt: r1\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok"

func TestAnswersAreTakenApart(t *testing.T) {
	cases := []struct {
		name string
		step step
		err  error  // of Do
		body string // otherwise
		cut  bool   // the body breaks off
	}{
		{name: "whole answer", step: say(own), body: "ok"},
		{name: "chunks", step: say("HTTP/1.1 200 OK\r\nAttempt: r1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"), body: "ok"},
		{name: "answer without a length", step: func(c net.Conn) {
			say("HTTP/1.1 200 OK\r\nAttempt: r1\r\n\r\nok")(c)
			hangUp(c)
		}, body: "ok"},
		{name: "truncated", step: func(c net.Conn) {
			say("HTTP/1.1 200 OK\r\nAttempt: r1\r\nContent-Length: 9\r\n\r\nok")(c)
			hangUp(c)
		}, body: "ok", cut: true},
		{name: "chunks without their end", step: func(c net.Conn) {
			say("HTTP/1.1 200 OK\r\nAttempt: r1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n")(c)
			hangUp(c)
		}, body: "ok", cut: true},
		{name: "closed without an answer", step: hangUp, err: ErrIncompleteResponse},
		{name: "reset", step: reset, err: ErrIncompleteResponse},
		{name: "not an answer", step: say("\x00\x01garbage\r\n\r\n"), err: ErrResponseMismatch},
		{name: "late answer before the own one", step: say("HTTP/1.1 200 OK\r\nAttempt: r0\r\nContent-Length: 5\r\n\r\nother" + own), body: "ok"},
		{name: "foreign answer that ends with the connection", step: func(c net.Conn) {
			say("HTTP/1.1 200 OK\r\nAttempt: r0\r\n\r\nother")(c)
			hangUp(c)
		}, err: ErrResponseMismatch},
		{name: "answer that names nobody", step: say("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), err: ErrIncompleteResponse},
		{name: "interim answer", step: say("HTTP/1.1 102 Processing\r\n\r\n" + own), body: "ok"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newServer(t, c.step)
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			e, err := NewPool(headers{}).Do(ctx, s.send("r1"))
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

func TestConnectionsAreUsedAgainOnlyWhenClean(t *testing.T) {
	cases := []struct {
		name  string
		first step
		again bool
	}{
		{"clean", say(own), true},
		{"extra bytes came with the answer", say(own + "HTTP/1.1 200 OK\r\nAttempt: r0\r\nContent-Length: 0\r\n\r\n"), false},
		{"the server closes", say(strings.Replace(own, "Seal: s", "Connection: close", 1)), false},
		{"a late answer came before", say("HTTP/1.1 200 OK\r\nAttempt: r0\r\nContent-Length: 0\r\n\r\n" + own), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newServer(t, c.first, say(own))
			pool := NewPool(headers{})
			for range 2 {
				e, err := pool.Do(context.Background(), s.send("r1"))
				require.NoError(t, err)
				_, err = io.ReadAll(e)
				e.Close(err == nil)
				require.NoError(t, err)
			}
			require.Equal(t, c.again, s.conns.Load() == 1)
		})
	}
}

func TestBytesOnAnIdleConnectionEndIt(t *testing.T) {
	extra := make(chan struct{})
	sent := make(chan struct{})
	s := newServer(t, func(c net.Conn) {
		say(own)(c)
		go func() {
			<-extra
			say("HTTP/1.1 200 OK\r\nAttempt: r1\r\nContent-Length: 4\r\n\r\nevil")(c)
			close(sent)
		}()
	}, say(own))
	pool := NewPool(headers{})
	e, err := pool.Do(context.Background(), s.send("r1"))
	require.NoError(t, err)
	_, err = io.ReadAll(e)
	require.NoError(t, err)
	e.Close(true)
	close(extra)
	<-sent
	require.Eventually(t, func() bool {
		c := pool.take(s.send("r1").Server)
		if c == nil {
			return true
		}
		quiet := c.quiet()
		pool.put(c, 0)
		return !quiet
	}, time.Second, time.Millisecond)
	e, err = pool.Do(context.Background(), s.send("r1"))
	require.NoError(t, err)
	body, err := io.ReadAll(e)
	require.NoError(t, err)
	require.Equal(t, "ok", string(body))
	require.EqualValues(t, 2, s.conns.Load())
}

func TestNobodyListensIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	_, err = NewPool(headers{}).Do(context.Background(), (&server{address: address}).send("r1"))
	require.ErrorIs(t, err, ErrNotSent)
}

func TestEndOfTheContextClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	s := newServer(t, func(c net.Conn) {
		_, _ = c.Read(make([]byte, 1)) // until the router hangs up
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := NewPool(headers{}).Do(ctx, s.send("r1"))
	require.ErrorIs(t, err, ErrIncompleteResponse)
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Fatal("the server still works")
	}
}

func TestRequestIsSentAsItCame(t *testing.T) {
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
		say(own)(conn)
	}()
	e, err := NewPool(headers{}).Do(context.Background(), (&server{address: listener.Addr().String()}).send("r1"))
	require.NoError(t, err)
	e.Close(false)
	require.Equal(t, "POST /a/b?c=d HTTP/1.1\r\nHost: maps.example\r\nAttempt: r1\r\nContent-Length: 4\r\n\r\nbody", <-got)
}

func TestLongBodyIsWrittenBesideAnEarlyAnswer(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 512)) // a part of the request
		say("HTTP/1.1 400 Bad Request\r\nAttempt: r1\r\nContent-Length: 2\r\n\r\nno")(conn)
	}()
	send := (&server{address: listener.Addr().String()}).send("r1")
	send.Body = make([]byte, 16<<20)
	pool := NewPool(headers{})
	e, err := pool.Do(context.Background(), send)
	require.NoError(t, err)
	body, err := io.ReadAll(e)
	require.NoError(t, err)
	require.Equal(t, "no", string(body))
	e.Close(true)
	require.Nil(t, pool.take(send.Server), "the rest of the body is still due on that connection")
}
