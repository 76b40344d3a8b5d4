package place

import (
	"context"
	"time"

	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/prefix"
	"github.com/camphorlever/camphorlever/internal/refusal"
)

// retryAfter is sent to callers if no backend server is eligible.
const retryAfter = 2 * time.Second

type handler struct {
	placer   Placer
	counters *counter.Set
}

// Handle sets the target of the attempt and adds it to the tried gates.
func (h *handler) Handle(ctx context.Context, r *filter.Request, next filter.Next) filter.Outcome {
	if r.BlockHashes == nil {
		r.BlockHashes = prefix.BlockHashes(r.Contents)
	}
	choice, ok := h.placer.Pick(r)
	if !ok {
		h.counters.Inc("no_server")
		out := filter.Refused(refusal.NoServer, refusal.NotRun, "No backend server can take the request now.")
		out.Refusal.RetryAfter = retryAfter
		return out
	}
	defer choice.Done()
	r.AttemptObserver = choice
	r.Target = choice.Target()
	r.TriedGates = append(r.TriedGates, r.Target.Gate)
	return next(ctx, r)
}
