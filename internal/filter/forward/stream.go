package forward

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/eventstream"
	"github.com/camphorlever/camphorlever/internal/upstream"
)

var errOutOfOrder = errors.New("events are out of order")

// stream hands the events of a stream on as they come. It calls began with the
// first of them.
func (run *passage) stream(ctx context.Context, e *upstream.Exchange, silence silence, began func()) result {
	if !e.Tells.Sealed || e.Tells.Encoded {
		e.Close(false)
		return run.unusable(ctx, errUnsealed)
	}
	scanner := eventstream.NewScanner(e)
	for first := true; ; first = false {
		events, err := scanner.Next()
		if errors.Is(err, io.EOF) {
			e.Close(true)
			return run.finish(e)
		}
		if err != nil {
			e.Close(false)
			return run.unusable(ctx, err)
		}
		if first {
			began()
		}
		silence.heard(gapLimit(run.passage.Route))
		fresh, err := run.fresh(events)
		if err != nil {
			e.Close(false)
			return run.unusable(ctx, err)
		}
		if len(fresh) == 0 {
			continue
		}
		if err := run.pass(e, fresh); err != nil {
			e.Close(false)
			return result{verdict: cutOff, cause: errCallerGone}
		}
	}
}

// fresh checks the order of events and leaves out those that the caller has.
func (run *passage) fresh(events []byte) ([]byte, error) {
	skip, passed, disorder := 0, false, false
	eventstream.Split(events, func(event []byte) bool {
		id := eventstream.ID(event)
		switch at := order(run.lastEvent, id); {
		case at == seen && !passed:
			skip += len(event)
			return true
		case at != follows:
			disorder = true
			return false
		}
		passed = true
		if id != "" {
			run.lastEvent = id
		}
		run.passage.EventsDelivered++
		return true
	})
	if disorder {
		return nil, errOutOfOrder
	}
	return events[skip:], nil
}

// place tells how an event follows the last one.
type place uint8

const (
	follows place = iota
	seen
	gap
)

// order compares the ids of two events. Ids that are not numbers tell nothing.
func order(last, id string) place {
	if last == "" || id == "" {
		return follows
	}
	a, errA := strconv.ParseInt(last, 10, 64)
	b, errB := strconv.ParseInt(id, 10, 64)
	switch {
	case errA != nil || errB != nil:
		return follows
	case b <= a:
		return seen
	case b > a+1:
		return gap
	default:
		return follows
	}
}

// pass writes events to the caller.
func (run *passage) pass(e *upstream.Exchange, events []byte) error {
	w := run.request.Writer
	if !w.Started() {
		run.passage.TimeToFirstEvent = time.Since(run.request.Received)
		run.header(e.Header)
		w.Start(http.StatusOK)
	}
	if _, err := w.Write(events); err != nil {
		return err
	}
	return w.Flush()
}

// finish ends a stream that the server ended.
func (run *passage) finish(e *upstream.Exchange) result {
	w := run.request.Writer
	if !w.Started() {
		run.header(e.Header)
		w.Start(http.StatusOK)
	}
	return result{verdict: delivered}
}
