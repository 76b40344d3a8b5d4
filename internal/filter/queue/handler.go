package queue

import (
	"context"
	"sync"

	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/refusal"
)

// poolKey is the kind of requests that compete for the same servers.
type poolKey struct {
	model   ident.ModelID
	adapter ident.AdapterID
	service ident.ServiceID
}

type handler struct {
	room     Limiter
	counters *counter.Set

	mu    sync.Mutex // guards pools; each has its own lock
	pools map[poolKey]*Scheduler
}

// Handle goes on when the request's turn has come.
func (h *handler) Handle(ctx context.Context, r *filter.Request, next filter.Next) filter.Outcome {
	pool := h.pool(r)
	room := func() int { return h.room.ConcurrencyLimit(r) }
	turn, wait := pool.Acquire(ctx, Job{
		Team:     r.Caller.Team,
		Weight:   float64(max(1, r.Team.Weight)),
		Priority: r.Priority,
		Cost:     float64(max(1, r.TokenBound())),
	}, room)
	if turn == nil {
		return h.refuse(ctx, wait)
	}
	defer turn.Release()
	return next(ctx, r)
}

func (h *handler) refuse(ctx context.Context, wait Shed) filter.Outcome {
	if ctx.Err() != nil {
		h.counters.Inc("deadline")
		return filter.Refused(refusal.DeadlineExceeded, refusal.NotRun, "The request's time was over before its turn came.")
	}
	h.counters.Inc(wait.Reason)
	out := filter.Refused(refusal.Overloaded, refusal.NotRun, "Too many requests wait for the backend servers.")
	out.Refusal.RetryAfter = wait.RetryAfter
	return out
}

func (h *handler) pool(r *filter.Request) *Scheduler {
	key := poolKey{model: r.Call.Model, adapter: r.Call.Adapter, service: r.Route.Service}
	h.mu.Lock()
	defer h.mu.Unlock()
	pool, ok := h.pools[key]
	if !ok {
		pool = NewScheduler(nil)
		h.pools[key] = pool
	}
	return pool
}
