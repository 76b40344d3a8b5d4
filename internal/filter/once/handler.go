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
	r.ClaimChecked = true
	// Only the gate that a claim names may run the key, so one that was read
	// needs no log.
	if gate, known := h.claims.ClaimedGate(r.Caller.Team, r.Key); known {
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
		return h.claimed(ctx, r, next)
	}
	return h.follow(ctx, r, claim.Gate, next)
}

// claimed asks the gate that this request has claimed. If it does not run the
// request and withdraws the claim, another gate may be tried.
func (h *handler) claimed(ctx context.Context, r *filter.Request, next filter.Next) filter.Outcome {
	out := next(ctx, r)
	if untried(out) && h.void(ctx, r) == Withdrawn {
		return out
	}
	return final(out)
}

// follow asks the gate of an earlier claim: it starts the key if no earlier
// request reached it, or gives the answer of the run that it made.
func (h *handler) follow(ctx context.Context, r *filter.Request, gate ident.Incarnation, next filter.Next) filter.Outcome {
	target, ok := h.members.Gate(gate)
	if !ok {
		h.counters.Inc("gate_gone")
		return unknown("An earlier request with this key was claimed for a backend server that is gone; it may have run.")
	}
	h.counters.Inc("claimed_before")
	if target.Gate != r.Target.Gate {
		r.AttemptObserver = filter.NopObserver{}
	}
	r.Target = target
	out := next(ctx, r)
	if !untried(out) {
		return final(out)
	}
	return h.denied(ctx, r, out)
}

// denied decides what a request hears whose earlier claim's gate has not run
// it now. An earlier request may have: only the gate's own word that it never
// started the key, and a claim that still names this gate or none, make it
// true that it has not run.
func (h *handler) denied(ctx context.Context, r *filter.Request, out filter.Outcome) filter.Outcome {
	switch h.void(ctx, r) {
	case Withdrawn:
		return out
	case NotStarted:
		if h.stands(ctx, r) {
			return final(out)
		}
	}
	return unknown("The backend server that an earlier request with this key was claimed for cannot be asked now; it may have run.")
}

// stands reports whether no other gate has claimed the key up to now.
func (h *handler) stands(ctx context.Context, r *filter.Request) bool {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	if h.claims.CatchUp(ctx, r.Caller.Team) != nil {
		return false
	}
	gate, known := h.claims.ClaimedGate(r.Caller.Team, r.Key)
	return !known || gate == r.Target.Gate
}

func (h *handler) void(ctx context.Context, r *filter.Request) Withdrawal {
	w := h.gates.WithdrawClaim(ctx, r.Target, r.Caller.Team, r.Key)
	if w == Withdrawn {
		h.counters.Inc("voided")
	}
	return w
}

// untried reports whether the gate has not run the request and another could.
func untried(out filter.Outcome) bool {
	return out.Retry != "" && out.Refusal != nil && out.Refusal.Ran == refusal.NotRun
}

func unknown(message string) filter.Outcome {
	return filter.Refused(refusal.OutcomeUnknown, refusal.MayHaveRun, message)
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
		return unknown("The request cannot be claimed now, and a backend server that may have run it before does not answer.")
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
	targets := h.members.CandidateGates(r)
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
