package side

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/intake"
)

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
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
	config := net.ListenConfig{Control: controlSocket}
	listener, err := config.Listen(ctx, "tcp", address)
	return listener, errors.Wrap(err, "bind the port of the internal listener")
}

// controlSocket limits the kernel's buffers of the connections that the listening
// socket accepts, and sets their timeout.
func controlSocket(network, address string, raw syscall.RawConn) error {
	if err := intake.SetSocketBuffers(network, address, raw); err != nil {
		return err
	}
	return setUserTimeout(network, address, raw)
}

// LimitListener returns a listener whose connections draw on a budget. It gets a
// share of the connections that the VM's limits allow.
func LimitListener(budget *intake.Budget, l net.Listener, limits intake.Limits, share float64) net.Listener {
	return budget.Listener(l, intake.Options{
		MaxConns: limits.Conns(share), MaxHeadBytes: func() int { return maxHeaderBytes }, WriteTimeout: writeTimeout,
	})
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
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	intake.Prepare(server)
	return server
}
