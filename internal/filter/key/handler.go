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
	owners Owners
	gates  Gates
	claims Claims
	// serveAnswer attaches to the run that the gate already has and serves its answer.
	serveAnswer filter.Next
	counters    *counter.Set
}

// Handle sets the request's key. A keyed request runs only at its owner gates, so
// the key is looked up there first. For a request that must not be repeated, the
// claim in the ledger identifies the earlier attempt instead.
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
		return h.withMayHaveRun(out, claimed && !r.ClaimChecked)
	}
	r.Owners = h.owners.Owners(r)
	found, noReply := h.findOwnersWithKey(ctx, r)
	for _, target := range found {
		out := h.serveExisting(ctx, r, target)
		if out.Retry == "" {
			return out
		}
	}
	return h.withMayHaveRun(next(ctx, r), noReply || len(found) > 0)
}

// withMayHaveRun changes not_run to unknown in a refusal if an earlier request
// with the key may have run.
func (h *handler) withMayHaveRun(out filter.Outcome, mayHaveRun bool) filter.Outcome {
	if !mayHaveRun || out.Refusal == nil || out.Refusal.Ran != refusal.NotRun {
		return out
	}
	h.counters.Inc("doubted")
	refused := *out.Refusal
	refused.Ran = refusal.MayHaveRun
	out.Refusal = &refused
	return out
}

// serveExisting serves the answer that an owner gate has. A retry reason in the
// outcome means that there is no answer: the run failed there without output, or
// the gate no longer keeps it.
func (h *handler) serveExisting(ctx context.Context, r *filter.Request, target filter.Target) filter.Outcome {
	h.counters.Inc("found")
	r.Target = target
	r.AttemptObserver = filter.NopObserver{}
	r.Attach = true
	out := h.serveAnswer(ctx, r)
	r.Attach = false
	if out.Retry != "" {
		h.counters.Inc("nothing_to_read")
		r.TriedGates = append(r.TriedGates, target.Gate)
	}
	return out
}

// findOwnersWithKey looks up the key at all owner gates in parallel. It returns
// the gates that have run or are running the key, and whether a gate did not reply.
func (h *handler) findOwnersWithKey(ctx context.Context, r *filter.Request) (found []filter.Target, noReply bool) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	known := make([]bool, len(r.Owners))
	answered := make([]bool, len(r.Owners))
	var wg conc.WaitGroup
	for i, owner := range r.Owners {
		wg.Go(func() { known[i], answered[i] = h.lookup(ctx, owner, r.Key) })
	}
	wg.Wait()
	for i, owner := range r.Owners {
		if known[i] {
			found = append(found, owner)
		}
		noReply = noReply || !answered[i]
	}
	return found, noReply
}

func (h *handler) lookup(ctx context.Context, owner filter.Target, key ident.Key) (known, answered bool) {
	reply, err := h.gates.Lookup(ctx, owner, key)
	if err != nil {
		// The request is repeatable: it may run again at another gate, and the
		// ledger bills the key once.
		h.counters.Inc("no_reply")
		return false, false
	}
	return reply.State == wire.KeyRunning || reply.State == wire.KeyDone, true
}
