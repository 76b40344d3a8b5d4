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

// Handle runs the rest of the chain once per attempt. Nothing is retried after the
// first byte was sent to the caller.
func (h *handler) Handle(ctx context.Context, r *filter.Request, next filter.Next) filter.Outcome {
	h.budget.RecordRequest()
	backoff := retry.NewBackoff()
	for {
		r.Attempt++
		out := next(ctx, r)
		if out.Retry == "" || r.Writer.Started() {
			return finalOutcome(r, out)
		}
		if refused := h.allowRetry(ctx, r, backoff, out); refused != nil {
			return finalOutcome(r, filter.Outcome{Refusal: refused})
		}
		h.retries.Inc(string(out.Retry))
	}
}

// allowRetry waits for the backoff and returns nil if another attempt may be made,
// otherwise the refusal for the caller.
func (h *handler) allowRetry(ctx context.Context, r *filter.Request, backoff *retry.Backoff, out filter.Outcome) *refusal.Refusal {
	if r.Attempt >= maxAttempts {
		h.refusals.Inc("attempts_spent")
		return out.Refusal
	}
	if !h.budget.Allow() {
		h.refusals.Inc("budget_spent")
		return refusal.New(refusal.RetryBudgetSpent, out.Refusal.Ran, "Too many requests are being retried: "+out.Refusal.Message)
	}
	if !backoff.Wait(ctx) {
		h.refusals.Inc("deadline")
		return refusal.New(refusal.DeadlineExceeded, out.Refusal.Ran, "No time is left for another attempt: "+out.Refusal.Message)
	}
	return nil
}

// finalOutcome adjusts the last attempt's outcome so that it holds for all attempts:
// if an earlier one may have run, the refusal does not say that the request did not.
func finalOutcome(r *filter.Request, out filter.Outcome) filter.Outcome {
	out.Retry = ""
	if out.Refusal != nil && out.Refusal.Ran == refusal.NotRun && r.MayHaveRun {
		changed := *out.Refusal
		changed.Ran = refusal.MayHaveRun
		out.Refusal = &changed
	}
	return out
}
