package accesslog

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/filter"
)

type handler struct {
	log      zerolog.Logger
	requests *counter.Set
	refusals *counter.Set
}

// Handle counts the request, counts a refusal by its code, and logs the end of the
// request: refusals at level info, other requests at level debug.
func (h *handler) Handle(ctx context.Context, r *filter.Request, next filter.Next) filter.Outcome {
	out := next(ctx, r)
	h.requests.Inc("requests")
	event := h.log.Debug()
	if out.Refusal != nil {
		h.refusals.Inc(string(out.Refusal.Code))
		event = h.log.Info().Str("code", string(out.Refusal.Code)).Str("ran", string(out.Refusal.Ran))
	}
	event.Str("request", r.ID.String()).
		Str("team", string(r.Caller.Team)).
		Str("account", string(r.Caller.Account)).
		Str("model", string(r.Call.Model)).
		Str("service", string(r.Route.Service)).
		Str("server", string(r.Target.Server)).
		Uint32("attempts", r.Attempt).
		Dur("took", time.Since(r.Received)).
		Msg("request ended")
	return out
}
