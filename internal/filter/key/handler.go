package key

import (
	"context"

	"github.com/sourcegraph/conc"

	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/refusal"
	"github.com/camphorlever/camphorlever/internal/wire"
)

type handler struct {
	homes    Owners
	gates    Gates
	claims   Claims
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
		out := next(ctx, r)
		_, claimed := h.claims.ClaimedGate(r.Caller.Team, r.Key)
		return h.doubt(out, claimed && !r.ClaimChecked)
	}
	r.Owners = h.homes.Owners(r)
	found, silent := h.find(ctx, r)
	for _, target := range found {
		out := h.read(ctx, r, target)
		if out.Retry == "" {
			return out
		}
	}
	return h.doubt(next(ctx, r), silent || len(found) > 0)
}

// doubt keeps a refusal from saying not_run of a key that an earlier request
// may have run.
func (h *handler) doubt(out filter.Outcome, mayHaveRun bool) filter.Outcome {
	if !mayHaveRun || out.Refusal == nil || out.Refusal.Ran != refusal.NotRun {
		return out
	}
	h.counters.Inc("doubted")
	doubted := *out.Refusal
	doubted.Ran = refusal.MayHaveRun
	out.Refusal = &doubted
	return out
}

// read serves the answer that a home knows. A retry reason in the outcome
// means that there is none to serve: the run failed there without output, or
// the gate has forgotten it.
func (h *handler) read(ctx context.Context, r *filter.Request, target filter.Target) filter.Outcome {
	h.counters.Inc("found")
	r.Target = target
	r.AttemptObserver = filter.NopObserver{}
	r.Attach = true
	out := h.attach(ctx, r)
	r.Attach = false
	if out.Retry != "" {
		h.counters.Inc("nothing_to_read")
		r.TriedGates = append(r.TriedGates, target.Gate)
	}
	return out
}

// find asks all homes at once. It returns those that know the key, and whether
// any did not answer.
func (h *handler) find(ctx context.Context, r *filter.Request) (found []filter.Target, silent bool) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	known := make([]bool, len(r.Owners))
	answered := make([]bool, len(r.Owners))
	var wg conc.WaitGroup
	for i, home := range r.Owners {
		wg.Go(func() { known[i], answered[i] = h.ask(ctx, home, r.Key) })
	}
	wg.Wait()
	for i, home := range r.Owners {
		if known[i] {
			found = append(found, home)
		}
		silent = silent || !answered[i]
	}
	return found, silent
}

func (h *handler) ask(ctx context.Context, home filter.Target, key ident.Key) (known, answered bool) {
	reply, err := h.gates.Lookup(ctx, home, key)
	if err != nil {
		// The request is repeatable: it may run again elsewhere, and the
		// ledger bills the key once.
		h.counters.Inc("no_reply")
		return false, false
	}
	return reply.State == wire.KeyRunning || reply.State == wire.KeyDone, true
}
