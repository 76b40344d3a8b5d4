package queue

import (
	"context"
	"sync"

	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/refusal"
)

// schedulerKey identifies requests that compete for the same backend servers.
type schedulerKey struct {
	model   ident.ModelID
	adapter ident.AdapterID
	service ident.ServiceID
}

type handler struct {
	limit    ConcurrencyLimit
	counters *counter.Set

	mu         sync.Mutex // guards the map; each scheduler has its own lock
	schedulers map[schedulerKey]*Scheduler
}

// Handle continues with the chain once the request has a slot, or refuses it.
func (h *handler) Handle(ctx context.Context, r *filter.Request, next filter.Next) filter.Outcome {
	scheduler := h.scheduler(r)
	limit := func() int { return h.limit.ConcurrencyLimit(r) }
	slot, shed := scheduler.Acquire(ctx, Job{
		Team:     r.Caller.Team,
		Weight:   float64(max(1, r.Team.Weight)),
		Priority: r.Priority,
		Cost:     float64(max(1, r.TokenBound())),
	}, limit)
	if slot == nil {
		return h.refuse(ctx, shed)
	}
	defer slot.Release()
	return next(ctx, r)
}

func (h *handler) refuse(ctx context.Context, shed Shed) filter.Outcome {
	if ctx.Err() != nil {
		h.counters.Inc("deadline")
		return filter.Refused(refusal.DeadlineExceeded, refusal.NotRun, "The request's time was over before its turn came.")
	}
	h.counters.Inc(shed.Reason)
	out := filter.Refused(refusal.Overloaded, refusal.NotRun, "Too many requests wait for the backend servers.")
	out.Refusal.RetryAfter = shed.RetryAfter
	return out
}

func (h *handler) scheduler(r *filter.Request) *Scheduler {
	key := schedulerKey{model: r.Call.Model, adapter: r.Call.Adapter, service: r.Route.Service}
	h.mu.Lock()
	defer h.mu.Unlock()
	scheduler, ok := h.schedulers[key]
	if !ok {
		scheduler = NewScheduler(nil)
		h.schedulers[key] = scheduler
	}
	return scheduler
}
