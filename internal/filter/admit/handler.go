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

func (h *handler) acquire(ctx context.Context, r *filter.Request) (filter.Reservation, *refusal.Refusal) {
	if r.Route.Service == "" {
		count := func(ctx context.Context) (int64, error) { return h.tokenizer.Count(ctx, r) }
		r.PromptBound = h.budget.Bound(ctx, r.Caller.Team, r.PromptBound, r.MaxOutput, count) - r.MaxOutput
	}
	return h.budget.Acquire(ctx, r.Caller.Team, r.Bound())
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
		reservation.Hold(r.Key, r.Target.Gate)
		panic(p)
	}
	reservation.Settle(0)
}
