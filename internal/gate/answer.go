package gate

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// ErrEventsDropped means that the reader was so slow that the events it wants next
// were dropped.
var ErrEventsDropped = errors.New("answer is no longer retained")

// AnswerReader reads the answer of a run as frames, for one request and attempt.
// Its methods are called from one goroutine.
type AnswerReader struct {
	run     *run // nil if there is nothing to read
	id      ident.RunID
	request ident.RequestID
	attempt uint32
	outcome wire.BeginOutcome
	next    uint64 // offset of the next event; guarded by run.mu
	begun   bool   // the first frame was returned
	ended   bool   // the last frame was returned
	changed chan struct{}
	timer   *time.Timer
}

func goneAnswer(request ident.RequestID, attempt uint32, id ident.RunID) *AnswerReader {
	return &AnswerReader{id: id, request: request, attempt: attempt, outcome: wire.BeginNotRetained}
}

// Next returns the next frame: the outcome first, then events and, while there
// are none, heartbeats, and at last the end. It returns io.EOF after that, and
// ErrGone if the reader has fallen behind what is retained.
func (a *AnswerReader) Next(ctx context.Context) (wire.Frame, error) {
	if !a.begun {
		a.begun = true
		return a.beginFrame(), nil
	}
	if a.run == nil || a.ended {
		return wire.Frame{}, io.EOF
	}
	for {
		frame, ok, err := a.poll()
		if ok || err != nil {
			return frame, err
		}
		select {
		case <-a.changed:
		case <-a.heartbeat():
			return a.frame(wire.FrameHeartbeat), nil
		case <-ctx.Done():
			return wire.Frame{}, errors.Wrap(ctx.Err(), "read answer")
		}
	}
}

// Ready reports whether Next would return without waiting.
func (a *AnswerReader) Ready() bool {
	if a.run == nil {
		return false
	}
	a.run.mu.Lock()
	defer a.run.mu.Unlock()
	return a.run.ended || a.next < a.run.first+uint64(len(a.run.events))
}

// Close detaches the reader.
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

// poll returns the next event or the end, if it is there.
func (a *AnswerReader) poll() (wire.Frame, bool, error) {
	r := a.run
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.next < r.first || r.dropped {
		r.gate.counts.Inc("reader_behind")
		return wire.Frame{}, false, ErrEventsDropped
	}
	if index := a.next - r.first; index < uint64(len(r.events)) {
		frame := a.frame(wire.FrameEvent)
		frame.Offset = a.next
		frame.Tokens = r.events[index].tokens
		frame.Data = r.events[index].data
		a.next++
		return frame, true, nil
	}
	if !r.ended {
		return wire.Frame{}, false, nil
	}
	a.ended = true
	return a.endFrame(), true, nil
}

// endFrame is called under the run's lock.
func (a *AnswerReader) endFrame() wire.Frame {
	kind := wire.FrameEnd
	if a.run.failed {
		kind = wire.FrameFailed
	}
	frame := a.frame(kind)
	frame.Offset = a.run.first + uint64(len(a.run.events))
	frame.Usage = a.run.usage
	frame.Result = a.run.result
	return frame
}

func (a *AnswerReader) beginFrame() wire.Frame {
	frame := a.frame(wire.FrameBegin)
	frame.Outcome = a.outcome
	if a.run == nil {
		return frame
	}
	a.run.mu.Lock()
	defer a.run.mu.Unlock()
	if a.run.known {
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
