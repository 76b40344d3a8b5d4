package once

import (
	"context"
	"time"

	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/refusal"
)

// claimTimeout bounds the wait for the ledger's verdict.
const claimTimeout = 5 * time.Second

type handler struct {
	claims   Claims
	members  Members
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
		// Nobody has asked a gate to begin, so this request cannot have run,
		// whether or not the claim is written.
		h.counters.Inc("log_unavailable")
		return filter.Refused(refusal.LogUnavailable, refusal.NotRun,
			"The request must not be repeated and cannot be claimed now.")
	}
	if claim.Won {
		h.counters.Inc("claimed")
		return final(next(ctx, r))
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
	return final(next(ctx, r))
}

// final forbids another attempt: the claim names one gate only.
func final(out filter.Outcome) filter.Outcome {
	out.Retry = ""
	return out
}
