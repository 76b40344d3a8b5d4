package pipetest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// SocketBuffers is an upper bound of what the two sockets of a loopback connection hold, in
// bytes.
const SocketBuffers = 12 << 20

// EndlessServer listens on loopback until the test ends. On each connection it writes a
// beginning once and then a text again and again until the connection is closed. It returns
// its address and the number of bytes that it has written.
func EndlessServer(t *testing.T, beginning, repeated string) (string, *atomic.Int64) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	written := &atomic.Int64{}
	block := strings.Repeat(repeated, 1+8192/len(repeated))
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = io.WriteString(conn, beginning) // the next write tells
				for {
					n, err := io.WriteString(conn, block)
					written.Add(int64(n))
					if err != nil {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String(), written
}

// HeaderServer listens on loopback until the test ends. It answers each connection with a
// response whose header has a given size in bytes.
func HeaderServer(t *testing.T, size int) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nA: "+strings.Repeat("x", size)+"\r\n\r\n") // the client may not read all
			}()
		}
	}()
	return listener.Addr().String()
}
