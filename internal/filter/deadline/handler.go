package deadline

import (
	"context"
	"strconv"
	"time"

	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/refusal"
)

// defaultTimeout is used if the fleet settings have no request timeout.
const defaultTimeout = 600 * time.Second

type handler struct {
	counters *counter.Set
}

// Handle sets the deadline of the context, counted from the arrival of the
// request. Every call made for the request carries the remaining time.
func (h *handler) Handle(ctx context.Context, r *filter.Request, next filter.Next) filter.Outcome {
	limit := defaultTimeout
	if s := r.Settings.Fleet.RequestTimeoutS; s > 0 {
		limit = time.Duration(s) * time.Second
	}
	if text := r.HTTP.Header.Get(filter.HeaderTimeoutMS); text != "" {
		ms, err := strconv.ParseInt(text, 10, 32)
		if err != nil || ms <= 0 {
			h.counters.Inc("bad_header")
			return filter.Refused(refusal.BadRequest, refusal.NotRun, filter.HeaderTimeoutMS+" must be a positive number of milliseconds.")
		}
		limit = min(limit, time.Duration(ms)*time.Millisecond)
	}
	ctx, cancel := context.WithDeadline(ctx, r.Received.Add(limit))
	defer cancel()
	return next(ctx, r)
}
