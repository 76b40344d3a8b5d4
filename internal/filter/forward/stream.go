package forward

import (
	"io"
	"mime"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/eventstream"
	"github.com/camphorlever/camphorlever/internal/upstream"
)

var errEmptyStream = errors.New("connection ended before the first event of the stream")

const eventStreamType = "text/event-stream"

// isEventStream reports whether a response is an event stream by its header. A response
// without a type is taken for one.
func isEventStream(h http.Header) bool {
	contentType := h.Get("Content-Type")
	mediaType, _, err := mime.ParseMediaType(contentType)
	return contentType == "" || (err == nil && mediaType == eventStreamType)
}

// provingPeriod is how long a server must have written events to show that the prompt does
// not crash it, unless the whole answer takes less. A server may crash while it writes the
// first ones.
const provingPeriod = 500 * time.Millisecond

// isStream reports whether a response is a stream whose events are forwarded as they arrive.
func (run *passthrough) isStream(e *upstream.Exchange) bool {
	return run.passthrough.Route.IsStream() && e.Status == http.StatusOK && isEventStream(e.Header)
}

// startStream returns a stream that is yet to be read. It returns the result of the attempt if
// the stream cannot be used.
func (run *passthrough) startStream(a *attempt, e *upstream.Exchange) (*received, result) {
	if !e.Info.FromServer || e.Info.Encoded {
		e.Close(false)
		return nil, a.failed(errNotFromServer)
	}
	return &received{exchange: e, scanner: eventstream.NewScanner(e)}, result{}
}

// forwardStream forwards the events of a stream to the caller as they arrive, unless a hedge has
// been faster.
func (run *passthrough) forwardStream(a *attempt, h *hedging) result {
	e, scanner, events := a.received.exchange, a.received.scanner, a.received.events
	firstAt := time.Time{}
	h.startPart()
	for {
		if len(events) == 0 {
			var err error
			events, err = scanner.Next()
			if errors.Is(err, io.EOF) {
				return run.finishStream(a, h)
			}
			if err != nil {
				e.Close(false)
				return a.failed(err)
			}
		}
		accepted, failed := h.accept(events)
		events = nil
		run.passthrough.EventsDelivered = run.events.Events()
		// Comments keep no stream alive: a stalled server may go on sending them.
		if accepted.Progress {
			if firstAt.IsZero() {
				firstAt = time.Now()
				a.recordFirstResponse(run.passthrough.Route)
				a.quarantine.Began()
			}
			if time.Since(firstAt) >= provingPeriod {
				a.quarantine.Answered()
			}
		}
		h.writing.Store(true)
		err := run.writeEvents(e, accepted.Send)
		h.writing.Store(false)
		if err != nil {
			e.Close(false)
			return result{outcome: cutOff, cause: errCallerDisconnected}
		}
		if failed != nil {
			if !errors.Is(failed, errServerSilent) {
				run.handler.counters.Inc("stream_unsound")
			}
			e.Close(false)
			return a.failed(failed)
		}
	}
}

// writeEvents sends events to the caller, preceded by the header of the response
// if nothing was sent yet.
func (run *passthrough) writeEvents(e *upstream.Exchange, events []byte) error {
	if len(events) == 0 {
		return nil
	}
	w := run.request.Writer
	if !w.Started() {
		run.passthrough.TimeToFirstEvent = time.Since(run.request.Received)
		run.copyHeader(e.Header)
		w.Start(http.StatusOK)
	}
	if _, err := w.Write(events); err != nil {
		return err
	}
	return w.Flush()
}

// finishStream completes the response after the server has ended its stream. The
// header is sent here if the stream had no events.
func (run *passthrough) finishStream(a *attempt, h *hedging) result {
	e := a.received.exchange
	e.Close(true)
	if run.events.IsEmpty() && e.CloseDelimited {
		return a.failed(errEmptyStream)
	}
	withheld, err := h.endStream()
	if err != nil {
		return a.failed(err)
	}
	run.passthrough.EventsDelivered = run.events.Events()
	if !e.CloseDelimited {
		a.quarantine.Answered()
	}
	if err := run.writeEvents(e, withheld); err != nil {
		return result{outcome: cutOff, cause: errCallerDisconnected}
	}
	w := run.request.Writer
	if !w.Started() {
		run.copyHeader(e.Header)
		w.Start(http.StatusOK)
	}
	return result{outcome: delivered, unframed: e.CloseDelimited}
}
