package once

import (
	"context"

	"github.com/sourcegraph/conc"

	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/refusal"
	"github.com/camphorlever/camphorlever/internal/wire"
)

type handler struct {
	claims   Claims
	members  Members
	gates    Gates
	counters *counter.Set
}

// Handle goes on only with the gate that the first claim of the key names.
// That gate starts the key at most once, whichever router asks it.
func (h *handler) Handle(ctx context.Context, r *filter.Request, next filter.Next) filter.Outcome {
	if !r.Once {
		return next(ctx, r)
	}
	// A claim never changes its gate, so one that was read needs no log.
	if gate, known := h.claims.Known(r.Caller.Team, r.Key); known {
		return h.follow(ctx, r, gate, next)
	}
	bounded, cancel := context.WithTimeout(ctx, claimTimeout)
	claim, err := h.claims.Claim(bounded, r.Caller.Team, r.Key, r.Target.Gate)
	cancel()
	if err != nil {
		h.counters.Inc("log_unavailable")
		return h.unclaimed(ctx, r, next)
	}
	if claim.Won {
		h.counters.Inc("claimed")
		return h.conclude(ctx, r, next(ctx, r))
	}
	return h.follow(ctx, r, claim.Gate, next)
}

// follow asks the gate of an earlier claim: it starts the key if no earlier
// request reached it, or gives the answer of the run that it made.
func (h *handler) follow(ctx context.Context, r *filter.Request, gate ident.Incarnation, next filter.Next) filter.Outcome {
	target, ok := h.members.Gate(gate)
	if !ok {
		h.counters.Inc("gate_gone")
		return filter.Refused(refusal.OutcomeUnknown, refusal.Unknown,
			"An earlier request with this key was claimed for a backend server that is gone; it may have run.")
	}
	h.counters.Inc("claimed_before")
	if target.Gate != r.Target.Gate {
		r.Placed = filter.Unplaced{}
	}
	r.Target = target
	return h.conclude(ctx, r, next(ctx, r))
}

// conclude lets a request that its gate has not run be tried at another, if
// the gate withdraws its claim. Otherwise the claim names one gate for good.
func (h *handler) conclude(ctx context.Context, r *filter.Request, out filter.Outcome) filter.Outcome {
	notRun := out.Refusal != nil && out.Refusal.Ran == refusal.NotRun
	if out.Retry != "" && notRun && h.gates.Void(ctx, r.Target, r.Caller.Team, r.Key) {
		h.counters.Inc("voided")
		return out
	}
	return final(out)
}

// unclaimed serves a request whose claim has no verdict. This request has not
// run, since no gate was asked; an earlier one with the same key may have.
func (h *handler) unclaimed(ctx context.Context, r *filter.Request, next filter.Next) filter.Outcome {
	if !r.Keyed() {
		return notClaimed()
	}
	found, silent := h.ask(ctx, r)
	switch {
	case found != nil:
		return h.follow(ctx, r, found.Gate, next)
	case silent:
		h.counters.Inc("no_reply")
		return filter.Refused(refusal.OutcomeUnknown, refusal.Unknown,
			"The request cannot be claimed now, and a backend server that may have run it before does not answer.")
	default:
		return notClaimed()
	}
}

func notClaimed() filter.Outcome {
	return filter.Refused(refusal.LogUnavailable, refusal.NotRun,
		"The request must not be repeated and cannot be claimed now.")
}

// ask looks for the gate that has run the key, and tells whether any that may
// have did not answer.
func (h *handler) ask(ctx context.Context, r *filter.Request) (found *filter.Target, silent bool) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	targets := h.members.Gates(r)
	replies := make([]wire.LookupReply, len(targets))
	failed := make([]bool, len(targets))
	var wg conc.WaitGroup
	for i, target := range targets {
		wg.Go(func() {
			reply, err := h.gates.Lookup(ctx, target, r.Key)
			replies[i] = reply
			failed[i] = err != nil
		})
	}
	wg.Wait()
	for i := range targets {
		state := replies[i].State
		if state == wire.KeyRunning || state == wire.KeyDone {
			return &targets[i], false
		}
		silent = silent || failed[i]
	}
	return nil, silent
}

// final forbids another attempt: the claim names one gate only.
func final(out filter.Outcome) filter.Outcome {
	out.Retry = ""
	return out
}
