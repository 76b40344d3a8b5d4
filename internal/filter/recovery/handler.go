package recovery

import (
	"context"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc/panics"

	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/refusal"
)

type handler struct {
	log      zerolog.Logger
	counters *counter.Set
}

// Handle answers a panic with an internal refusal. Whether the request ran
// cannot be known then, and a reservation stays held.
func (h *handler) Handle(ctx context.Context, r *filter.Request, next filter.Next) (out filter.Outcome) {
	var catcher panics.Catcher
	catcher.Try(func() { out = next(ctx, r) })
	caught := catcher.Recovered()
	if caught == nil {
		return out
	}
	h.counters.Inc("panic")
	h.log.Error().Str("request", r.ID.String()).Str("panic", caught.String()).Msg("request panicked")
	return filter.Refused(refusal.Internal, refusal.MayHaveRun, "The router failed inside.")
}
