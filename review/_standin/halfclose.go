package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/camphorlever/camphorlever/platform/standin"
)

// ownFailure has a server run requests that must not be repeated and fail them with a 503
// of its own, which doesn't say that they were not executed.
func ownFailure(w *world) (bool, error) {
	server, err := standin.NewBackendServer("i-1", "127.0.0.1:0", func(conn net.Conn, r *http.Request, _ int) {
		attempt := r.Header.Get("X-Camphorlever-Attempt-Id")
		w.add("server runs %s", attempt)
		status := http.StatusOK
		if w.trouble {
			status = http.StatusServiceUnavailable
		}
		_, _ = io.WriteString(conn, standin.CompleteResponse(attempt, status, "done"))
	})
	if err != nil {
		return false, err
	}
	w.register(server, "orders", standin.Ready)
	w.publish(orderSettings())
	r, err := w.startRouter(w.store.Address())
	if err != nil {
		return false, err
	}
	if err := r.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	broken := false
	for i := range 5 {
		c, err := r.dial()
		if err != nil {
			return false, err
		}
		attempt := fmt.Sprint("caller", i)
		fmt.Fprintf(c.conn, "POST /o/1 HTTP/1.1\r\nHost: %s\r\nX-Camphorlever-Attempt-Id: %s\r\nX-Camphorlever-Deadline-Ms: 1000\r\nAuthorization: Token k\r\nContent-Length: 2\r\n\r\nab",
			standin.Host, attempt)
		reply, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			return false, err
		}
		w.add("%s: status %d, seal %q", attempt, reply.StatusCode, reply.Header.Get("X-Camphorlever-Server-Seal"))
		broken = broken || reply.StatusCode == http.StatusServiceUnavailable
		_ = c.conn.Close() // the answer is known
	}
	return broken, nil
}

// halfClose has callers end their side of the connection while a server works on their
// request, and read what still comes.
func halfClose(w *world) (bool, error) {
	server, err := standin.NewBackendServer("i-1", "127.0.0.1:0", func(conn net.Conn, r *http.Request, _ int) {
		attempt := r.Header.Get("X-Camphorlever-Attempt-Id")
		w.add("server runs %s", attempt)
		time.Sleep(300 * time.Millisecond)
		_, _ = io.WriteString(conn, standin.CompleteResponse(attempt, 200, "done"))
	})
	if err != nil {
		return false, err
	}
	w.register(server, "orders", standin.Ready)
	w.publish(orderSettings())
	r, err := w.startRouter(w.store.Address())
	if err != nil {
		return false, err
	}
	if err := r.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	broken := false
	for i := range 5 {
		c, err := r.dial()
		if err != nil {
			return false, err
		}
		attempt := fmt.Sprint("caller", i)
		w.add("caller sends %s", attempt)
		fmt.Fprintf(c.conn, "POST /o/1 HTTP/1.1\r\nHost: %s\r\nX-Camphorlever-Attempt-Id: %s\r\nX-Camphorlever-Deadline-Ms: 1000\r\nAuthorization: Token k\r\nContent-Length: 2\r\n\r\nab",
			standin.Host, attempt)
		time.Sleep(100 * time.Millisecond)
		if w.trouble {
			_ = c.conn.(*net.TCPConn).CloseWrite()
		}
		_ = c.conn.SetReadDeadline(time.Now().Add(3 * time.Second))
		reply, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			w.add("%s: no answer: %v", attempt, err)
			continue
		}
		raw, err := io.ReadAll(reply.Body)
		seal := reply.Header.Get("X-Camphorlever-Server-Seal")
		w.add("%s: status %d, seal %q, body %q, error %v", attempt, reply.StatusCode, seal, raw, err)
		broken = broken || (reply.StatusCode < 300 && seal == "")
	}
	return broken, nil
}
