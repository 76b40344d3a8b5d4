package engine

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// watchdog cancels its context when no byte arrives for the timeout.
type watchdog struct {
	ctx     context.Context
	cancel  context.CancelFunc
	timer   *time.Timer
	timeout time.Duration
	expired atomic.Bool
}

func startWatchdog(ctx context.Context, limit time.Duration) *watchdog {
	w := &watchdog{timeout: limit}
	w.ctx, w.cancel = context.WithCancel(ctx)
	w.timer = time.AfterFunc(limit, func() {
		w.expired.Store(true)
		w.cancel()
	})
	return w
}

// reset restarts the timeout.
func (w *watchdog) reset() {
	w.timer.Reset(w.timeout)
}

func (w *watchdog) timedOut() bool {
	return w.expired.Load()
}

func (w *watchdog) stop() {
	w.timer.Stop()
	w.cancel()
}

// reader wraps r so that each read that returns data resets the watchdog.
func (w *watchdog) reader(r io.Reader) io.Reader {
	return &watchedReader{source: r, wd: w}
}

type watchedReader struct {
	source io.Reader
	wd     *watchdog
}

// Read implements io.Reader.
func (r *watchedReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if n > 0 {
		r.wd.reset()
	}
	return n, err
}

// isDialError reports whether a request failed because no connection could be
// made, so that no byte of it reached the server.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// isConnectionRefused reports whether the dial failed other than by a timeout,
// which means that nothing listens at the address.
func isConnectionRefused(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" && !op.Timeout()
}
