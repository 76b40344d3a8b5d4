// Package serving is the filter that refuses requests while the router is starting
// or stopping.
package serving

import (
	"context"

	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/refusal"
)

// State reports whether the router accepts requests.
type State interface {
	// Refusal returns the refusal for new requests, nil while they are accepted.
	Refusal() *refusal.Refusal
}

// New returns the filter.
func New(state State) filter.Filter {
	return &handler{state: state, counters: filter.Counters("serving")}
}

type handler struct {
	state    State
	counters *counter.Set
}

// Handle refuses the request while the router is starting or stopping.
func (h *handler) Handle(ctx context.Context, r *filter.Request, next filter.Next) filter.Outcome {
	if refused := h.state.Refusal(); refused != nil {
		h.counters.Inc(string(refused.Code))
		return filter.Outcome{Refusal: refused}
	}
	return next(ctx, r)
}
