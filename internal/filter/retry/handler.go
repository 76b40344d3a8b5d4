package retry

import (
	"context"

	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/refusal"
	"github.com/camphorlever/camphorlever/internal/retry"
)

type handler struct {
	budget   *retry.Budget
	retries  *counter.Set // by reason
	refusals *counter.Set
}

// Handle runs the rest of the chain once per attempt.
func (h *handler) Handle(ctx context.Context, r *filter.Request, next filter.Next) filter.Outcome {
	h.budget.RecordRequest()
	pauses := retry.NewBackoff()
	for {
		r.Attempt++
		out := next(ctx, r)
		if out.Retry == "" || r.Writer.Started() {
			return settle(r, out)
		}
		if refused := h.allow(ctx, r, pauses, out); refused != nil {
			return settle(r, filter.Outcome{Refusal: refused})
		}
		h.retries.Inc(string(out.Retry))
	}
}

// allow returns nil if another attempt may be made now.
func (h *handler) allow(ctx context.Context, r *filter.Request, pauses *retry.Backoff, out filter.Outcome) *refusal.Refusal {
	if r.Attempt >= maxAttempts {
		h.refusals.Inc("attempts_spent")
		return out.Refusal
	}
	if !h.budget.Allow() {
		h.refusals.Inc("budget_spent")
		return refusal.New(refusal.RetryBudgetSpent, out.Refusal.Ran, "Too many requests are being retried: "+out.Refusal.Message)
	}
	if !pauses.Wait(ctx) {
		h.refusals.Inc("deadline")
		return refusal.New(refusal.DeadlineExceeded, out.Refusal.Ran, "No time is left for another attempt: "+out.Refusal.Message)
	}
	return nil
}

// settle makes the final outcome true for all attempts together.
func settle(r *filter.Request, out filter.Outcome) filter.Outcome {
	out.Retry = ""
	if out.Refusal != nil && out.Refusal.Ran == refusal.NotRun && r.MayHaveRun {
		changed := *out.Refusal
		changed.Ran = refusal.MayHaveRun
		out.Refusal = &changed
	}
	return out
}
