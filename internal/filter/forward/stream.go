package forward

import (
	"context"
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

// forwardStream forwards the events of a stream to the caller as they arrive. It
// calls onFirstEvent when the first of them arrives.
func (run *passthrough) forwardStream(ctx context.Context, e *upstream.Exchange, silenceTimer silenceTimer, onFirstEvent func()) result {
	if !e.Info.FromServer || e.Info.Encoded {
		e.Close(false)
		return run.unusableResponse(ctx, errNotFromServer)
	}
	scanner, firstAt := eventstream.NewScanner(e), time.Time{}
	run.events.StartPart()
	for {
		received, err := scanner.Next()
		if errors.Is(err, io.EOF) {
			return run.finishStream(ctx, e)
		}
		if err != nil {
			e.Close(false)
			return run.unusableResponse(ctx, err)
		}
		accepted, failed := run.events.Accept(received)
		run.passthrough.EventsDelivered = run.events.Events()
		// Comments keep no stream alive: a stalled server may go on sending them.
		if accepted.Progress {
			if firstAt.IsZero() {
				onFirstEvent()
				firstAt = time.Now()
				run.quarantine.Began()
			}
			silenceTimer.reset(streamSilenceTimeout(run.passthrough.Route))
			if time.Since(firstAt) >= provingPeriod {
				run.quarantine.Answered()
			}
		}
		if err := run.writeEvents(e, accepted.Send); err != nil {
			e.Close(false)
			return result{outcome: cutOff, cause: errCallerDisconnected}
		}
		if failed != nil {
			run.handler.counters.Inc("stream_unsound")
			e.Close(false)
			return run.unusableResponse(ctx, failed)
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
func (run *passthrough) finishStream(ctx context.Context, e *upstream.Exchange) result {
	e.Close(true)
	if run.events.IsEmpty() && e.CloseDelimited {
		return run.unusableResponse(ctx, errEmptyStream)
	}
	withheld, err := run.events.End()
	if err != nil {
		return run.unusableResponse(ctx, err)
	}
	run.passthrough.EventsDelivered = run.events.Events()
	if !e.CloseDelimited {
		run.quarantine.Answered()
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
