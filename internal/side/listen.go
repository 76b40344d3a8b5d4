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
	// kernel closes the connection. Without it an unreachable reader would go
	// unnoticed as long as heartbeats still fit into the send buffer.
	unackedTimeout = 10 * time.Second
	// tcpUserTimeoutOption is TCP_USER_TIMEOUT of Linux; its value is in
	// milliseconds.
	tcpUserTimeoutOption = 18
)

// Listen binds the internal listener's port. The port also serves as a lock on
// the VM: a second side process cannot bind it, so that the engine receives
// orders from one process at a time even if it checks no fencing tokens.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{Control: setUserTimeout}
	listener, err := config.Listen(ctx, "tcp", address)
	return listener, errors.Wrap(err, "bind the port of the internal listener")
}

// setUserTimeout sets TCP_USER_TIMEOUT on the listening socket. Accepted
// connections inherit it.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockoptErr error
	err := raw.Control(func(fd uintptr) {
		sockoptErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeoutOption, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockoptErr
}

// NewServer returns the HTTP server of the internal listener.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
	}
}
