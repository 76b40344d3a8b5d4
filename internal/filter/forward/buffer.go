package forward

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/upstream"
)

// Limits on the memory of responses that are buffered.
const (
	// unreservedBytes is how much of each response is buffered in any case.
	unreservedBytes = 16 << 10
	// maxLongBuffers is how many longer responses are buffered at the same time.
	maxLongBuffers = 16
	// copyBytes is the size of the pieces in which other long responses are
	// forwarded.
	copyBytes = 16 << 10
)

var errNoBuffer = errors.New("response is long, and there is no memory to buffer it")

// reservations limits how many of something that takes memory exist at the same time.
type reservations struct {
	max    int64
	bytes  int64 // of each
	memory Memory
	held   atomic.Int64
}

// Memory is the budget on which buffered responses and hedges draw.
type Memory interface {
	TryReserve(n int64) bool
	Release(n int64)
}

// reserve reports whether there may be one more. If so, release must follow.
func (r *reservations) reserve() bool {
	if r.held.Add(1) <= r.max && (r.memory == nil || r.memory.TryReserve(r.bytes)) {
		return true
	}
	r.held.Add(-1)
	return false
}

func (r *reservations) release() {
	r.held.Add(-1)
	if r.memory != nil {
		r.memory.Release(r.bytes)
	}
}

// readOn reads the rest of a response, up to one byte more than maxBufferedBytes.
func readOn(e *upstream.Exchange, begun []byte) ([]byte, error) {
	rest, err := io.ReadAll(io.LimitReader(e, int64(maxBufferedBytes+1-len(begun))))
	return append(begun, rest...), err
}

// forwardLongResponse forwards a response of which a part was read, as it arrives. It cuts
// the response off if it breaks off, or does not end within maxBufferedBytes.
func (run *passthrough) forwardLongResponse(a *attempt, h *hedging) result {
	w, e, begun := run.request.Writer, a.received.exchange, a.received.body
	if !a.received.canForward() {
		e.Close(false)
		return a.failed(errNoBuffer)
	}
	if !h.settle() {
		e.Close(false)
		return a.failed(errServerSilent)
	}
	run.handler.counters.Inc("long_response_unbuffered")
	run.copyHeader(e.Header)
	if e.ContentLength() >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(e.ContentLength(), 10))
	}
	w.Start(e.Status)
	rest := io.LimitReader(e, int64(maxBufferedBytes+1-len(begun)))
	forwarded, err := io.CopyBuffer(onlyWriter{w}, io.MultiReader(bytes.NewReader(begun), rest), make([]byte, copyBytes))
	if err == nil && forwarded > maxBufferedBytes {
		err = errResponseTooLong
	}
	e.Close(err == nil)
	if err != nil {
		return a.failed(err)
	}
	if e.Status < http.StatusMultipleChoices && !e.CloseDelimited {
		a.quarantine.Answered()
	}
	return result{outcome: delivered, unframed: e.CloseDelimited}
}

// onlyWriter hides the other methods of a writer, so that data is copied with a buffer of
// known size.
type onlyWriter struct{ io.Writer }
