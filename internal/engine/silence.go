package engine

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// silenceWatch ends a context when no byte has arrived for a while.
type silenceWatch struct {
	ctx     context.Context
	cancel  context.CancelFunc
	timer   *time.Timer
	limit   time.Duration
	expired atomic.Bool
}

func watchSilence(ctx context.Context, limit time.Duration) *silenceWatch {
	w := &silenceWatch{limit: limit}
	w.ctx, w.cancel = context.WithCancel(ctx)
	w.timer = time.AfterFunc(limit, func() {
		w.expired.Store(true)
		w.cancel()
	})
	return w
}

// sign notes a sign of life.
func (w *silenceWatch) sign() {
	w.timer.Reset(w.limit)
}

func (w *silenceWatch) silent() bool {
	return w.expired.Load()
}

func (w *silenceWatch) stop() {
	w.timer.Stop()
	w.cancel()
}

// reader returns a reader that notes each read byte as a sign of life.
func (w *silenceWatch) reader(r io.Reader) io.Reader {
	return &watchedReader{from: r, watch: w}
}

type watchedReader struct {
	from  io.Reader
	watch *silenceWatch
}

// Read implements io.Reader.
func (r *watchedReader) Read(p []byte) (int, error) {
	n, err := r.from.Read(p)
	if n > 0 {
		r.watch.sign()
	}
	return n, err
}

// notSent reports whether a request failed before a byte of it could reach
// the server: its connection was never made.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// refused reports whether nothing listens at the address, as against a dial
// that got no answer.
func refused(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" && !op.Timeout()
}
