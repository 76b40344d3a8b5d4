package side

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	// unackedTimeout is how long sent data may stay unacknowledged before the
	// kernel ends the connection, so that a reader that went silent is
	// noticed although heartbeats still fit the send buffer.
	unackedTimeout = 10 * time.Second
	// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, in milliseconds.
	tcpUserTimeout = 18
)

// Listen binds the internal listener's port. The bound port is also the
// exclusion on the VM: a second side process cannot bind it, so that the
// engine has one source of orders at a time even if it checks no fences.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{Control: limitUnacked}
	listener, err := config.Listen(ctx, "tcp", address)
	return listener, errors.Wrap(err, "bind the internal listener")
}

// limitUnacked is inherited by accepted connections.
func limitUnacked(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// NewServer returns the HTTP server of the internal listener.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
	}
}
