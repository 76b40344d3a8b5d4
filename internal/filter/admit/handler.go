package admit

import (
	"context"

	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/refusal"
)

type handler struct {
	budget    Budget
	tokenizer Tokenizer
	counters  *counter.Set
}

// Handle goes on only with a reservation, and frees it if no later filter
// has taken it over.
func (h *handler) Handle(ctx context.Context, r *filter.Request, next filter.Next) filter.Outcome {
	if r.Reservation != nil {
		return next(ctx, r)
	}
	reservation, refused := h.acquire(ctx, r)
	if refused != nil {
		h.counters.Inc(string(refused.Code))
		return filter.Outcome{Refusal: refused}
	}
	r.Reservation = reservation
	defer h.release(r)
	return next(ctx, r)
}

// acquire tries the bound, and if the budget does not cover it, the exact
// count. Only the smallest bound is worth waiting for.
func (h *handler) acquire(ctx context.Context, r *filter.Request) (filter.Reservation, *refusal.Refusal) {
	reservation, refused := h.budget.Try(ctx, r.Caller.Team, r.TokenBound())
	if refused == nil || refused.Ran != refusal.NotRun {
		return reservation, refused
	}
	h.tighten(ctx, r)
	return h.budget.Acquire(ctx, r.Caller.Team, r.TokenBound())
}

// tighten replaces the bound of a prompt by its exact count, if it can be had.
func (h *handler) tighten(ctx context.Context, r *filter.Request) {
	if r.Route.Service != "" {
		return
	}
	exact, ok := h.tokenizer.Count(ctx, r)
	if !ok || exact >= r.PromptBound {
		return
	}
	h.counters.Inc("counted")
	r.PromptBound = exact
}

// release runs when the rest of the chain is over, also after a panic. A
// panic leaves the reservation held, since a run may have begun.
func (h *handler) release(r *filter.Request) {
	if r.Reservation == nil {
		return
	}
	reservation := r.Reservation
	r.Reservation = nil
	if p := recover(); p != nil {
		reservation.KeepReserved(r.Key, r.Target.Gate)
		panic(p)
	}
	reservation.Settle(0)
}
