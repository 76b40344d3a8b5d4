package stream

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/refusal"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// cancelTimeout limits the call that cancels the run of a disconnected caller.
const cancelTimeout = 5 * time.Second

// delivery forwards one answer to the caller.
type delivery struct {
	*attempt
	stream       Stream
	sink         sink
	ownsRun      bool  // this request began the run and pays for it
	disconnected bool  // nothing more can be sent to the caller
	events       int64 // received
}

// serve forwards the answer to the caller and returns when it has ended.
func (a *attempt) serve(s Stream, ownsRun bool) filter.Outcome {
	header := a.r.Writer.Header()
	header.Set(filter.HeaderRun, s.BeginFrame().Run.String())
	if !ownsRun {
		header.Set(filter.HeaderReplayed, "true")
	}
	d := &delivery{attempt: a, stream: s, sink: newSink(a.r), ownsRun: ownsRun}
	stop := context.AfterFunc(a.caller, d.cancelAbandonedRun)
	defer stop()
	for {
		frame, err := s.Next()
		if err != nil {
			return d.streamLost(err)
		}
		switch frame.Kind {
		case wire.FrameEvent:
			if d.events == 0 && ownsRun {
				a.r.AttemptObserver.FirstToken()
			}
			d.events++
			d.deliverEvent(frame.Data)
		case wire.FrameEnd:
			return d.finish(frame)
		case wire.FrameFailed:
			return d.runFailed(frame)
		}
	}
}

// cancelAbandonedRun cancels the run of a disconnected caller. A run with an
// idempotency key or a claim continues: its caller may repeat the request and get the
// answer. So does a run that another request began.
func (d *delivery) cancelAbandonedRun() {
	if d.r.Keyed() || d.r.Once || !d.ownsRun {
		return
	}
	ctx, cancel := context.WithTimeout(d.run, cancelTimeout)
	defer cancel()
	d.outcomes.Inc("cancelled")
	if err := d.Gates.Cancel(ctx, d.r.Target, d.r.Key); err != nil {
		d.outcomes.Inc("cancel_failed")
	}
}

// deliverEvent sends one event to the caller. After a failed write (the caller
// disconnected or reads too slowly) nothing more is sent, but the run is still read
// to its end for its usage.
func (d *delivery) deliverEvent(data []byte) {
	if d.disconnected {
		return
	}
	if err := d.sink.event(data); err != nil {
		d.callerDisconnected()
	}
}

func (d *delivery) callerDisconnected() {
	d.disconnected = true
	d.outcomes.Inc("caller_gone")
	if d.caller.Err() == nil {
		d.cancelAbandonedRun()
	}
}

func (d *delivery) finish(frame wire.Frame) filter.Outcome {
	d.settleRun(frame)
	if d.disconnected {
		return filter.Answered()
	}
	err := d.sink.finish(frame.Result)
	if refused := asRefusal(err); refused != nil {
		return filter.Outcome{Refusal: refused}
	}
	if err != nil {
		d.outcomes.Inc("caller_gone")
	}
	return filter.Answered()
}

// runFailed ends an attempt whose run the backend server aborted. The run has ended
// at this gate, so a repeatable request without output may run on another server.
func (d *delivery) runFailed(frame wire.Frame) filter.Outcome {
	d.settleRun(frame)
	d.outcomes.Inc("backend_failed")
	if d.ownsRun {
		d.r.AttemptObserver.Failed()
	}
	ran := refusal.DidRun
	if d.events == 0 && frame.Usage.Total() == 0 {
		ran = refusal.MayHaveRun
	}
	message := "The backend server broke the run off: " + frame.Result.Message
	if errors.Is(d.caller.Err(), context.DeadlineExceeded) {
		return filter.Refused(refusal.DeadlineExceeded, ran, "The request's time is over.")
	}
	if d.events > 0 || d.r.Once {
		return filter.Refused(refusal.BackendFailed, ran, message)
	}
	d.r.MayHaveRun = true
	return retryable(retryFailed, refusal.BackendFailed, ran, message)
}

// streamLost ends an attempt whose stream broke off and cannot be resumed.
func (d *delivery) streamLost(err error) filter.Outcome {
	d.outcomes.Inc("lost")
	if d.ownsRun {
		d.r.AttemptObserver.Failed()
	}
	if d.events == 0 && d.run.Err() == nil {
		return d.answerUnreadable(d.ownsRun)
	}
	if d.ownsRun {
		d.keepReservation()
	}
	if d.run.Err() != nil {
		return filter.Refused(refusal.DeadlineExceeded, refusal.DidRun, "The request's time is over.")
	}
	return filter.Refused(refusal.BackendFailed, refusal.DidRun, "The rest of the answer is lost: "+err.Error()+".")
}

// settleRun records the usage of the run and releases the tokens that it did not use.
func (d *delivery) settleRun(frame wire.Frame) {
	if !d.ownsRun {
		return
	}
	d.Settler.Finish(d.record, d.stream.BeginFrame().Run, frame.Usage)
	d.settleReservation(frame.Usage.Total())
}

func asRefusal(err error) *refusal.Refusal {
	var refused *refusal.Refusal
	if errors.As(err, &refused) {
		return refused
	}
	return nil
}
