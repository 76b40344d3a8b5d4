package forward

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc/panics"

	"github.com/camphorlever/camphorlever/internal/sequence"
)

// Limits on hedges.
const (
	// maxHedges limits the hedges in flight. A frozen server makes all its requests silent at
	// the same time.
	maxHedges = 128
	// hedgeBytes is what a hedge takes until its response is used: the buffers of its
	// connection and of the beginning of the response.
	hedgeBytes = 32 << 10
)

var (
	errServerSilent = errors.New("server sent nothing within the silence timeout, and another one answered")
	errOvertaken    = errors.New("the response of another server is used")
	errNotResumable = errors.New("response does not go on with the stream that was begun")
)

// hedging asks other servers for a response while the server of an attempt is silent, and keeps
// the connection to that one open. The first that sends something which the caller can use goes
// on, and the others are cancelled. So no server is given up before another one has answered.
type hedging struct {
	run      *passthrough
	ctx      context.Context // of the request
	attempt  *attempt
	timer    *time.Timer // nil if the request may not be sent again
	panicked panics.Catcher
	writing  atomic.Bool // to the caller, so the server is not waited for

	mu        sync.Mutex // guards all below, and the run's events while hedges may be in flight
	changed   *sync.Cond // a hedge has won or ended
	limit     time.Duration
	remaining int                // number of hedges that may still be sent
	settled   bool               // the attempt's response is used, or none is wanted any more
	ended     bool               // the attempt has ended
	closed    bool               // no further hedge may start
	hedges    map[*hedge]bool    // in flight
	tried     []string           // servers that the request was sent to
	lost      []concludedAttempt // hedges whose response is not used
	winner    *attempt           // hedge whose response is used
}

// hedge is the search for one other server.
type hedge struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	events *sequence.Sequence // judges what the server sends; a copy
}

// concludedAttempt is an attempt with its result.
type concludedAttempt struct {
	attempt *attempt
	result  result
}

// startHedging starts the silence timer of an attempt, if its request may be sent again.
func (run *passthrough) startHedging(ctx context.Context, a *attempt) *hedging {
	p := run.passthrough
	h := &hedging{run: run, ctx: ctx, attempt: a, remaining: p.Route.MaxAttempts - p.Sends}
	if a.received == nil {
		h.remaining-- // it is yet to be sent itself
	}
	if !p.Route.AllowsRerun() || h.remaining <= 0 {
		return h
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changed, h.hedges = sync.NewCond(&h.mu), map[*hedge]bool{}
	h.tried = append(slices.Clone(run.tried), a.placed.Server.ID)
	h.limit = silenceTimeout(p.Route)
	h.timer = time.AfterFunc(h.limit, h.onSilence)
	return h
}

// startPart begins the part of the attempt's server in the sequence of the stream.
func (h *hedging) startPart() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.run.events.StartPart()
}

// accept has the sequence of the stream judge what the attempt's server has sent. If the caller
// can use any of it, the hedges in flight are cancelled. It fails with errServerSilent if one of
// them has been faster.
func (h *hedging) accept(received []byte) (sequence.Accepted, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.winner != nil {
		return sequence.Accepted{}, errServerSilent
	}
	accepted, err := h.run.events.Accept(received)
	if h.timer == nil || err != nil || !accepted.Progress {
		return accepted, err
	}
	h.limit = streamSilenceTimeout(h.run.passthrough.Route)
	h.timer.Reset(h.limit)
	if len(accepted.Send) > 0 {
		h.cancelHedges()
	}
	return accepted, nil
}

// endStream ends the sequence of the stream after the attempt's server has ended it, and has the
// response used. It returns what is still to be sent.
func (h *hedging) endStream() ([]byte, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.winner != nil {
		return nil, errServerSilent
	}
	withheld, err := h.run.events.End()
	if err == nil {
		h.settled = true
		h.cancelHedges()
	}
	return withheld, err
}

// settle has the attempt's response used. It returns false if a hedge has been faster.
func (h *hedging) settle() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.winner == nil {
		h.settled = true
		h.cancelHedges()
	}
	return h.settled
}

// end ends the hedging after its attempt has ended. Unless the response is settled, it waits for
// the hedges in flight. It returns the attempt that goes on, nil if there is none, and those
// whose response is not used.
func (h *hedging) end(r result) (winner *attempt, lost []concludedAttempt) {
	if h.timer == nil {
		return nil, nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended = true
	h.settled = h.settled || r.outcome == delivered || errors.Is(r.cause, errCallerDisconnected)
	for len(h.hedges) > 0 && !h.settled && h.winner == nil {
		h.changed.Wait()
	}
	h.closed = true
	h.timer.Stop()
	h.cancelHedges()
	for len(h.hedges) > 0 {
		h.changed.Wait()
	}
	h.panicked.Repanic()
	if h.winner != nil && h.settled { // the caller has left since it won
		h.winner.received.discard()
		h.conclude(h.winner, result{outcome: failed, cause: errCallerDisconnected})
		h.winner = nil
	}
	return h.winner, h.lost
}

// cancelHedges cancels the hedges in flight. The caller holds h.mu.
func (h *hedging) cancelHedges() {
	for other := range h.hedges {
		other.cancel(errOvertaken)
	}
}

// onSilence sends a hedge.
func (h *hedging) onSilence() {
	other := h.start()
	if other == nil {
		return
	}
	h.panicked.Try(func() { h.send(other) })
	h.finish(other)
}

// start registers a hedge, nil if none may be sent now. finish must follow.
func (h *hedging) start() *hedge {
	h.mu.Lock()
	defer h.mu.Unlock()
	events := h.run.events
	if h.closed || h.settled || h.winner != nil || h.remaining <= 0 || (events.Started() && !events.CanResume()) {
		return nil
	}
	if h.writing.Load() {
		h.timer.Reset(h.limit)
		return nil
	}
	other := &hedge{events: events.Fork()}
	other.ctx, other.cancel = context.WithCancelCause(h.ctx)
	h.hedges[other] = true
	h.remaining--
	h.timer.Reset(h.limit)
	return other
}

// finish ends a hedge that has won or failed.
func (h *hedging) finish(other *hedge) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.hedges[other] {
		other.cancel(nil)
		delete(h.hedges, other)
	}
	h.changed.Broadcast()
}

// send sends a hedge to the first of the other servers that it reaches, within the limits.
func (h *hedging) send(other *hedge) {
	handler, service := h.run.handler, h.run.passthrough.Service.Name
	if time.Until(h.run.passthrough.Deadline) < minTimeLeft {
		h.endure("deadline")
		return
	}
	if !handler.Placer.Availability(h.run.servers(), h.triedServers()).Available {
		h.endure("no_other_server")
		return
	}
	if !handler.hedges.reserve() {
		h.endure("no_room")
		return
	}
	defer handler.hedges.release()
	retry, ok := handler.retryBudget(service).Reserve()
	if !ok {
		h.endure("retry_budget_spent")
		return
	}
	for range maxUnsentAttempts {
		handler.Gate.Refresh(other.ctx)
		a, verdict, ok := h.run.begin(other.ctx, h.triedServers(), h.attempt.quarantine)
		if !ok || verdict.Blocked {
			break
		}
		if h.ask(other, a) != notSent {
			return
		}
		if other.ctx.Err() != nil {
			break
		}
	}
	retry.Cancel()
	h.endure("not_sent")
}

// ask sends a hedge to a server and returns how that ended, delivered if its response is used.
func (h *hedging) ask(other *hedge, a *attempt) outcome {
	h.mu.Lock()
	h.tried = append(h.tried, a.placed.Server.ID)
	if !h.ended {
		h.attempt.avoidServer()
	}
	h.mu.Unlock()
	handler, silent, hedged := h.run.handler, h.attempt.placed.Server, a.placed.Server
	handler.counters.Inc("hedge_begun")
	handler.Log.Info().Str("server", silent.ID).Str("address", silent.Address).Str("request", h.run.passthrough.Call.Attempt).
		Str("other", hedged.ID).Msg("backend server is silent, another one is asked")
	h.run.notePlacement(a, "hedge begun")
	received, r := h.run.receive(a, other.events)
	if received != nil {
		err := h.win(other, a, received)
		if err == nil {
			return delivered
		}
		received.discard()
		r = a.failed(err)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.conclude(a, r)
	return r.outcome
}

// win has the response of a hedge used, and the attempt cancelled whose server is silent. It
// fails if that one has gone on, or if the response does not continue what was sent.
func (h *hedging) win(other *hedge, a *attempt, received *received) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.settled || h.closed || h.winner != nil || a.ctx.Err() != nil {
		return errOvertaken
	}
	if events := h.run.events; events.Started() && (received.scanner == nil || !events.CanResume()) {
		return errNotResumable
	}
	a.received = received
	h.winner = a
	delete(h.hedges, other) // the others are cancelled at the end
	h.attempt.cancel(errServerSilent)
	h.run.handler.counters.Inc("hedge_won")
	return nil
}

// conclude records a hedge whose response is not used. The caller holds h.mu.
func (h *hedging) conclude(a *attempt, r result) {
	if errors.Is(r.cause, errOvertaken) && r.outcome == failed {
		r.outcome = overtaken
	}
	avoidFor := h.run.conclude(h.ctx, a, r, delivery{})
	h.lost = append(h.lost, concludedAttempt{a, r})
	h.run.request.Note("hedge ended", func(e *zerolog.Event) {
		e.Str("server", a.placed.Server.ID).Str("outcome", outcomeNames[r.outcome]).AnErr("cause", r.cause).Dur("avoided", avoidFor)
	})
}

// triedServers returns the servers that the request was sent to.
func (h *hedging) triedServers() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.tried)
}

// endure records that the silent server is waited for, since the request was sent to no other
// one. That is tried again after the silence timeout.
func (h *hedging) endure(why string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.remaining++
	h.run.handler.counters.Inc("silence_endured")
	h.run.request.Note("silent backend server is waited for", func(e *zerolog.Event) { e.Str("reason", why) })
}
