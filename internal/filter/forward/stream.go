package forward

import (
	"context"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/eventstream"
	"github.com/camphorlever/camphorlever/internal/upstream"
)

var (
	errOutOfOrder    = errors.New("events are out of order")
	errTooManyEvents = errors.New("stream has more events than the request allows tokens")
	errEmptyStream   = errors.New("connection ended before the first event of the stream")
)

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
	scanner, received, firstAt := eventstream.NewScanner(e), 0, time.Time{}
	for first := true; ; {
		events, err := scanner.Next()
		if errors.Is(err, io.EOF) {
			e.Close(true)
			if received == 0 && e.CloseDelimited {
				return run.unusableResponse(ctx, errEmptyStream)
			}
			if !e.CloseDelimited {
				run.quarantine.Answered()
			}
			return run.finishStream(e)
		}
		if err != nil {
			e.Close(false)
			return run.unusableResponse(ctx, err)
		}
		// Comments keep no stream alive: a stalled server may go on sending them.
		if eventstream.CountEvents(events) > 0 {
			if first {
				onFirstEvent()
				first, firstAt = false, time.Now()
				run.quarantine.Began()
			}
			silenceTimer.reset(streamSilenceTimeout(run.passthrough.Route))
		}
		if received == 0 && !run.continues(events) {
			e.Close(false)
			return run.unusableResponse(ctx, errOutOfOrder)
		}
		received += eventstream.CountEvents(events)
		if !firstAt.IsZero() && time.Since(firstAt) >= provingPeriod {
			run.quarantine.Answered()
		}
		unsentEvents, err := run.unsentEvents(events)
		if err != nil {
			e.Close(false)
			return run.unusableResponse(ctx, err)
		}
		if len(unsentEvents) == 0 {
			continue
		}
		if err := run.writeEvents(e, unsentEvents); err != nil {
			e.Close(false)
			return result{outcome: cutOff, cause: errCallerDisconnected}
		}
	}
}

// continues reports whether events begin with one that can follow those sent to the caller
// in earlier attempts. Numbered events are followed by numbered ones.
func (run *passthrough) continues(events []byte) bool {
	if !run.request.Writer.Started() || run.lastEventID == "" {
		return true
	}
	numbered := true
	eventstream.Split(events, func(event []byte) bool {
		if eventstream.IsComment(event) {
			return true
		}
		numbered = eventstream.ID(event) != ""
		return false
	})
	return numbered
}

// unsentEvents checks the order and the number of events and drops leading ones that
// were already sent to the caller, as happens when a stream is resumed.
func (run *passthrough) unsentEvents(events []byte) ([]byte, error) {
	skip, anyUnsent, outOfOrder := 0, false, false
	eventstream.Split(events, func(event []byte) bool {
		if eventstream.IsComment(event) {
			return true
		}
		id := eventstream.ID(event)
		switch position := compareEventIDs(run.lastEventID, id); {
		case position == alreadySent && !anyUnsent:
			skip += len(event)
			return true
		case position != inSequence:
			outOfOrder = true
			return false
		}
		anyUnsent = true
		if id != "" {
			run.lastEventID = id
		} else {
			run.unnumbered++
			run.handler.counters.Inc("event_unnumbered")
		}
		run.passthrough.EventsDelivered++
		return true
	})
	switch limit := run.passthrough.Call.MaxOutput; {
	case outOfOrder:
		return nil, errOutOfOrder
	case limit > 0 && run.passthrough.EventsDelivered > limit+finalEvents:
		return nil, errTooManyEvents
	}
	return events[skip:], nil
}

// finalEvents is how many events of a stream may have no token, such as one that
// marks its end.
const finalEvents = 1

// eventPosition is the position of an event relative to the last one sent.
type eventPosition uint8

const (
	inSequence    eventPosition = iota // the next event
	alreadySent                        // at or before the last event sent
	eventsMissing                      // at least one event in between is missing
)

// compareEventIDs compares the IDs of two events. IDs that are empty or not numeric
// cannot be ordered and count as in sequence.
func compareEventIDs(last, id string) eventPosition {
	if last == "" || id == "" {
		return inSequence
	}
	a, errA := strconv.ParseInt(last, 10, 64)
	b, errB := strconv.ParseInt(id, 10, 64)
	switch {
	case errA != nil || errB != nil:
		return inSequence
	case b <= a:
		return alreadySent
	case b > a+1:
		return eventsMissing
	default:
		return inSequence
	}
}

// writeEvents sends events to the caller, preceded by the header of the response
// if nothing was sent yet.
func (run *passthrough) writeEvents(e *upstream.Exchange, events []byte) error {
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

// finishStream completes the response after the server ended its stream. The
// header is sent here if the stream had no events.
func (run *passthrough) finishStream(e *upstream.Exchange) result {
	w := run.request.Writer
	if !w.Started() {
		run.copyHeader(e.Header)
		w.Start(http.StatusOK)
	}
	return result{outcome: delivered, unframed: e.CloseDelimited}
}
