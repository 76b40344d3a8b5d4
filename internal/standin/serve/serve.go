// Package serve runs the HTTP server of a stand-in until it is told to stop.
package serve

import (
	"context"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
)

// Limits of the server.
const (
	headerTimeout = 10 * time.Second
	stopTimeout   = 2 * time.Second // for calls in progress
)

// Until serves a handler on an address until SIGTERM or SIGINT. Calls that
// are still held when the time to stop is over are cut off.
func Until(address string, handler http.Handler, logger zerolog.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	logger.Info().Str("address", listener.Addr().String()).Msg("serving")
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	var failed error
	var group conc.WaitGroup
	group.Go(func() {
		defer stop()
		if err := server.Serve(listener); err != http.ErrServerClosed {
			failed = err
		}
	})
	<-ctx.Done()
	shutdown(server)
	group.Wait()
	logger.Info().Msg("stopped")
	return failed
}

// shutdown lets calls in progress end within a bound.
func shutdown(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		// Held calls are cut off on purpose; there is nothing to report.
		_ = server.Close()
	}
}
