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

// Handle turns a panic into an internal refusal. It is then unknown whether the
// request ran, so a reservation is not released.
func (h *handler) Handle(ctx context.Context, r *filter.Request, next filter.Next) (out filter.Outcome) {
	var catcher panics.Catcher
	catcher.Try(func() { out = next(ctx, r) })
	recovered := catcher.Recovered()
	if recovered == nil {
		return out
	}
	h.counters.Inc("panic")
	h.log.Error().Str("request", r.ID.String()).Str("panic", recovered.String()).Msg("request handler panicked")
	return filter.Refused(refusal.Internal, refusal.MayHaveRun, "The router failed inside.")
}
