package key

import (
	"context"

	"github.com/sourcegraph/conc"

	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/wire"
)

type handler struct {
	homes    Homes
	gates    Gates
	attach   filter.Next
	counters *counter.Set
}

// Handle sets the request's key. A keyed request runs only at its homes and
// is looked up there first. For a request that must not be repeated, the
// claim in the ledger is what finds the first attempt.
func (h *handler) Handle(ctx context.Context, r *filter.Request, next filter.Next) filter.Outcome {
	r.BodyHash = filter.HashCall(&r.Call)
	if !r.Keyed() {
		r.Key = ident.HashKey(r.Caller.Team, r.ID.String())
		return next(ctx, r)
	}
	r.Key = ident.HashKey(r.Caller.Team, r.CallerKey)
	if r.Once {
		return next(ctx, r)
	}
	r.Homes = h.homes.Homes(r)
	for _, target := range h.find(ctx, r) {
		out := h.read(ctx, r, target)
		if out.Retry == "" {
			return out
		}
	}
	return next(ctx, r)
}

// read serves the answer that a home knows. A retry reason in the outcome
// means that there is none to serve: the run failed there without output, or
// the gate has forgotten it.
func (h *handler) read(ctx context.Context, r *filter.Request, target filter.Target) filter.Outcome {
	h.counters.Inc("found")
	r.Target = target
	r.Placed = filter.Unplaced{}
	r.Attach = true
	out := h.attach(ctx, r)
	r.Attach = false
	if out.Retry != "" {
		h.counters.Inc("nothing_to_read")
		r.Tried = append(r.Tried, target.Gate)
	}
	return out
}

// find asks all homes at once and returns those that know the key.
func (h *handler) find(ctx context.Context, r *filter.Request) []filter.Target {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	known := make([]bool, len(r.Homes))
	var wg conc.WaitGroup
	for i, home := range r.Homes {
		wg.Go(func() { known[i] = h.ask(ctx, home, r.Key) })
	}
	wg.Wait()
	var found []filter.Target
	for i, home := range r.Homes {
		if known[i] {
			found = append(found, home)
		}
	}
	return found
}

func (h *handler) ask(ctx context.Context, home filter.Target, key ident.Key) bool {
	reply, err := h.gates.Lookup(ctx, home, key)
	if err != nil {
		// The request is repeatable: it may run again elsewhere, and the
		// ledger bills the key once.
		h.counters.Inc("no_reply")
		return false
	}
	return reply.State == wire.KeyRunning || reply.State == wire.KeyDone
}
