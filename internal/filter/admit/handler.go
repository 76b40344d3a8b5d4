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

// Handle calls next only with a reservation. It releases the reservation if no
// later filter has taken ownership of it.
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

// acquire tries to reserve the token bound. If the budget does not cover it, it
// replaces the prompt's part by the exact count and waits for that smaller bound
// only.
func (h *handler) acquire(ctx context.Context, r *filter.Request) (filter.Reservation, *refusal.Refusal) {
	reservation, refused := h.budget.Try(ctx, r.Caller.Team, r.TokenBound())
	if refused == nil || refused.Ran != refusal.NotRun {
		return reservation, refused
	}
	h.useExactCount(ctx, r)
	return h.budget.Acquire(ctx, r.Caller.Team, r.TokenBound())
}

// useExactCount replaces the prompt bound by the exact count, if a count is
// available and smaller.
func (h *handler) useExactCount(ctx context.Context, r *filter.Request) {
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

// release runs when the rest of the chain has returned or panicked. After a panic
// the tokens stay reserved, since a run may have begun.
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
