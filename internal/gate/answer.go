package gate

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// ErrEventsDropped means that the events which the reader needs next are no
// longer retained, because it was too slow.
var ErrEventsDropped = errors.New("answer is no longer retained")

// AnswerReader returns the answer of a run as frames, for one request and
// attempt. It must be used from one goroutine.
type AnswerReader struct {
	run           *run // nil if there is nothing to read
	id            ident.RunID
	request       ident.RequestID
	attempt       uint32
	outcome       wire.BeginOutcome
	nextOffset    uint64        // offset of the next event; guarded by run.mu
	beginReturned bool          // Next has returned the begin frame
	endReturned   bool          // Next has returned the end frame
	wakeup        chan struct{} // signals new events, dropped events or the end of the run
	timer         *time.Timer   // next heartbeat
}

// newNotRetainedReader returns a reader that only reports BeginNotRetained: the
// answer of the run is no longer retained.
func newNotRetainedReader(request ident.RequestID, attempt uint32, id ident.RunID) *AnswerReader {
	return &AnswerReader{id: id, request: request, attempt: attempt, outcome: wire.BeginNotRetained}
}

// Next returns the next frame: first the begin frame with the outcome, then
// the events, and at last the end frame. It returns a heartbeat frame whenever
// wire.HeartbeatInterval passes without an event. After the end frame it
// returns io.EOF. It returns ErrEventsDropped if the next event is no longer
// retained, and a wrapped context error if ctx ends.
func (a *AnswerReader) Next(ctx context.Context) (wire.Frame, error) {
	if !a.beginReturned {
		a.beginReturned = true
		return a.beginFrame(), nil
	}
	if a.run == nil || a.endReturned {
		return wire.Frame{}, io.EOF
	}
	for {
		frame, ok, err := a.poll()
		if ok || err != nil {
			return frame, err
		}
		select {
		case <-a.wakeup:
		case <-a.heartbeat():
			return a.frame(wire.FrameHeartbeat), nil
		case <-ctx.Done():
			return wire.Frame{}, errors.Wrap(ctx.Err(), "read answer")
		}
	}
}

// Ready reports whether the next event or the end frame is available without
// waiting.
func (a *AnswerReader) Ready() bool {
	if a.run == nil {
		return false
	}
	a.run.mu.Lock()
	defer a.run.mu.Unlock()
	return a.run.ended || a.nextOffset < a.run.firstOffset+uint64(len(a.run.events))
}

// Close detaches the reader from its run. A run without readers is stopped
// after ReaderGrace unless its call must not be repeated.
func (a *AnswerReader) Close() {
	if a.timer != nil {
		a.timer.Stop()
	}
	if a.run != nil {
		a.run.detach(a)
	}
}

func (a *AnswerReader) heartbeat() <-chan time.Time {
	if a.timer == nil {
		a.timer = time.NewTimer(wire.HeartbeatInterval)
	} else {
		a.timer.Reset(wire.HeartbeatInterval)
	}
	return a.timer.C
}

// poll returns the next event or the end frame if one is available.
func (a *AnswerReader) poll() (wire.Frame, bool, error) {
	r := a.run
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.nextOffset < r.firstOffset || r.dropped {
		r.gate.counts.Inc("reader_behind")
		return wire.Frame{}, false, ErrEventsDropped
	}
	if index := a.nextOffset - r.firstOffset; index < uint64(len(r.events)) {
		frame := a.frame(wire.FrameEvent)
		frame.Offset = a.nextOffset
		frame.Tokens = r.events[index].tokens
		frame.Data = r.events[index].data
		a.nextOffset++
		return frame, true, nil
	}
	if !r.ended {
		return wire.Frame{}, false, nil
	}
	a.endReturned = true
	return a.endFrame(), true, nil
}

// endFrame requires run.mu.
func (a *AnswerReader) endFrame() wire.Frame {
	kind := wire.FrameEnd
	if a.run.failed {
		kind = wire.FrameFailed
	}
	frame := a.frame(kind)
	frame.Offset = a.run.firstOffset + uint64(len(a.run.events))
	frame.Usage = a.run.usage
	frame.Result = a.run.result
	return frame
}

// beginFrame returns the outcome, with the result if it is known already.
func (a *AnswerReader) beginFrame() wire.Frame {
	frame := a.frame(wire.FrameBegin)
	frame.Outcome = a.outcome
	if a.run == nil {
		return frame
	}
	a.run.mu.Lock()
	defer a.run.mu.Unlock()
	if a.run.resultKnown {
		frame.Result = a.run.result
	}
	return frame
}

func (a *AnswerReader) frame(kind wire.FrameKind) wire.Frame {
	id := a.id
	if a.run != nil {
		id = a.run.id
	}
	return wire.Frame{Kind: kind, Request: a.request, Attempt: a.attempt, Run: id}
}
