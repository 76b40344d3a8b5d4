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

// Handle calls next only with the gate named by the key's first claim as the
// target. That gate starts the key at most once, whichever router asks it.
func (h *handler) Handle(ctx context.Context, r *filter.Request, next filter.Next) filter.Outcome {
	if !r.Once {
		return next(ctx, r)
	}
	r.ClaimChecked = true
	// Only the gate that a claim names may run the key, so a claim that has
	// already been read can be used without asking the log.
	if gate, known := h.claims.ClaimedGate(r.Caller.Team, r.Key); known {
		return h.runAtClaimedGate(ctx, r, gate, next)
	}
	bounded, cancel := context.WithTimeout(ctx, claimTimeout)
	claim, err := h.claims.Claim(bounded, r.Caller.Team, r.Key, r.Target.Gate)
	cancel()
	if err != nil {
		h.counters.Inc("log_unavailable")
		return h.handleLogUnavailable(ctx, r, next)
	}
	if claim.Won {
		h.counters.Inc("claimed")
		return h.runClaimed(ctx, r, next)
	}
	return h.runAtClaimedGate(ctx, r, claim.Gate, next)
}

// runClaimed sends the request to the gate that this request has claimed. If the
// gate does not run it and withdraws the claim, another gate may be tried.
func (h *handler) runClaimed(ctx context.Context, r *filter.Request, next filter.Next) filter.Outcome {
	out := next(ctx, r)
	if notRunAndRetryable(out) && h.withdrawClaim(ctx, r) == Withdrawn {
		return out
	}
	return withoutRetry(out)
}

// runAtClaimedGate sends the request to the gate of an earlier claim. The gate
// starts the key if no earlier request reached it; otherwise it returns the
// answer of the existing run.
func (h *handler) runAtClaimedGate(ctx context.Context, r *filter.Request, gate ident.Incarnation, next filter.Next) filter.Outcome {
	target, ok := h.members.Gate(gate)
	if !ok {
		h.counters.Inc("gate_gone")
		return outcomeUnknown("An earlier request with this key was claimed for a backend server that is gone; it may have run.")
	}
	h.counters.Inc("claimed_before")
	if target.Gate != r.Target.Gate {
		r.AttemptObserver = filter.NopObserver{}
	}
	r.Target = target
	out := next(ctx, r)
	if !notRunAndRetryable(out) {
		return withoutRetry(out)
	}
	return h.checkNotRun(ctx, r, out)
}

// checkNotRun returns the outcome of a request that the gate of an earlier claim
// has not run. An earlier request with the key may have run. It is certain that
// none has only if the gate confirms that it never started the key and no claim
// names another gate.
func (h *handler) checkNotRun(ctx context.Context, r *filter.Request, out filter.Outcome) filter.Outcome {
	switch h.withdrawClaim(ctx, r) {
	case Withdrawn:
		return out
	case NotStarted:
		if h.claimUnchanged(ctx, r) {
			return withoutRetry(out)
		}
	}
	return outcomeUnknown("The backend server that an earlier request with this key was claimed for cannot be asked now; it may have run.")
}

// claimUnchanged reads the log to its end and reports whether no claim of the
// key names another gate.
func (h *handler) claimUnchanged(ctx context.Context, r *filter.Request) bool {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	if h.claims.CatchUp(ctx, r.Caller.Team) != nil {
		return false
	}
	gate, known := h.claims.ClaimedGate(r.Caller.Team, r.Key)
	return !known || gate == r.Target.Gate
}

func (h *handler) withdrawClaim(ctx context.Context, r *filter.Request) Withdrawal {
	withdrawal := h.gates.WithdrawClaim(ctx, r.Target, r.Caller.Team, r.Key)
	if withdrawal == Withdrawn {
		h.counters.Inc("voided")
	}
	return withdrawal
}

// notRunAndRetryable reports whether the gate has not run the request and
// another gate may run it.
func notRunAndRetryable(out filter.Outcome) bool {
	return out.Retry != "" && out.Refusal != nil && out.Refusal.Ran == refusal.NotRun
}

func outcomeUnknown(message string) filter.Outcome {
	return filter.Refused(refusal.OutcomeUnknown, refusal.MayHaveRun, message)
}

// handleLogUnavailable handles a request whose claim has no verdict because the
// log is unavailable. This request has not run, since no gate was asked; an
// earlier request with the same key may have run.
func (h *handler) handleLogUnavailable(ctx context.Context, r *filter.Request, next filter.Next) filter.Outcome {
	if !r.Keyed() {
		return claimUnavailable()
	}
	found, noReply := h.findRun(ctx, r)
	switch {
	case found != nil:
		return h.runAtClaimedGate(ctx, r, found.Gate, next)
	case noReply:
		h.counters.Inc("no_reply")
		return outcomeUnknown("The request cannot be claimed now, and a backend server that may have run it before does not answer.")
	default:
		return claimUnavailable()
	}
}

func claimUnavailable() filter.Outcome {
	return filter.Refused(refusal.LogUnavailable, refusal.NotRun,
		"The request must not be repeated and cannot be claimed now.")
}

// findRun looks up the key at all candidate gates in parallel. It returns the
// gate that runs or has run the key, and whether a gate did not reply.
func (h *handler) findRun(ctx context.Context, r *filter.Request) (found *filter.Target, noReply bool) {
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
		noReply = noReply || failed[i]
	}
	return nil, noReply
}

// withoutRetry makes an outcome final: the claim names one gate only, so no
// other gate may be tried.
func withoutRetry(out filter.Outcome) filter.Outcome {
	out.Retry = ""
	return out
}
