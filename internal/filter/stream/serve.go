package stream

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/refusal"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// cancelTimeout bounds the call that ends the run of a caller that left.
const cancelTimeout = 5 * time.Second

// delivery is the way of one answer to the caller.
type delivery struct {
	*attempt
	stream Stream
	sink   sink
	ours   bool  // this request's reservation pays for the run
	gone   bool  // the caller takes no more
	events int64 // received
}

// serve brings the answer to the caller until its end.
func (a *attempt) serve(s Stream, ours bool) filter.Outcome {
	header := a.r.Writer.Header()
	header.Set(filter.HeaderRun, s.BeginFrame().Run.String())
	if !ours {
		header.Set(filter.HeaderReplayed, "true")
	}
	d := &delivery{attempt: a, stream: s, sink: newSink(a.r), ours: ours}
	stop := context.AfterFunc(a.caller, d.callerEnded)
	defer stop()
	for {
		frame, err := s.Next()
		if err != nil {
			return d.broken(err)
		}
		switch frame.Kind {
		case wire.FrameEvent:
			if d.events == 0 && ours {
				a.r.AttemptObserver.FirstToken()
			}
			d.events++
			d.deliver(frame.Data)
		case wire.FrameEnd:
			return d.end(frame)
		case wire.FrameFailed:
			return d.failed(frame)
		}
	}
}

// callerEnded cancels the run of a caller that cannot come back for it. A
// keyed run goes on: its caller may repeat the request.
func (d *delivery) callerEnded() {
	if d.r.Keyed() || d.r.Once || !d.ours {
		return
	}
	ctx, cancel := context.WithTimeout(d.run, cancelTimeout)
	defer cancel()
	d.outcomes.Inc("cancelled")
	if err := d.Gates.Cancel(ctx, d.r.Target, d.r.Key); err != nil {
		d.outcomes.Inc("cancel_failed")
	}
}

// deliver hands one event to the caller. A caller that is gone or too slow
// gets nothing more; the run is still read to its end for its usage.
func (d *delivery) deliver(data []byte) {
	if d.gone {
		return
	}
	if err := d.sink.event(data); err != nil {
		d.leave()
	}
}

func (d *delivery) leave() {
	d.gone = true
	d.outcomes.Inc("caller_gone")
	if d.caller.Err() == nil {
		d.callerEnded()
	}
}

func (d *delivery) end(frame wire.Frame) filter.Outcome {
	d.settle(frame)
	if d.gone {
		return filter.Answered()
	}
	err := d.sink.end(frame.Result)
	if refused := asRefusal(err); refused != nil {
		return filter.Outcome{Refusal: refused}
	}
	if err != nil {
		d.outcomes.Inc("caller_gone")
	}
	return filter.Answered()
}

// failed ends a run that the backend server broke off. Its key is over at
// this gate, so a repeatable request without output may run elsewhere.
func (d *delivery) failed(frame wire.Frame) filter.Outcome {
	d.settle(frame)
	d.outcomes.Inc("backend_failed")
	if d.ours {
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
	return again(retryFailed, refusal.BackendFailed, ran, message)
}

// broken ends an attempt whose stream cannot be resumed.
func (d *delivery) broken(err error) filter.Outcome {
	d.outcomes.Inc("lost")
	if d.ours {
		d.r.AttemptObserver.Failed()
	}
	if d.events == 0 && d.run.Err() == nil {
		return d.unreadable(d.ours)
	}
	if d.ours {
		d.hold()
	}
	if d.run.Err() != nil {
		return filter.Refused(refusal.DeadlineExceeded, refusal.DidRun, "The request's time is over.")
	}
	return filter.Refused(refusal.BackendFailed, refusal.DidRun, "The rest of the answer is lost: "+err.Error()+".")
}

// settle frees what the run did not use.
func (d *delivery) settle(frame wire.Frame) {
	if !d.ours {
		return
	}
	d.Settler.Finish(d.copied, d.stream.BeginFrame().Run, frame.Usage)
	d.release(frame.Usage.Total())
}

func asRefusal(err error) *refusal.Refusal {
	var refused *refusal.Refusal
	if errors.As(err, &refused) {
		return refused
	}
	return nil
}
