package budget

import (
	"context"
	"time"

	"github.com/camphorlever/camphorlever/internal/refusal"
)

// Limits of the wait for runs in progress.
const (
	// patience is how long a request waits for runs in progress to give back
	// what they reserved and did not use.
	patience = 10 * time.Second
	// firstRecheck and recheckFactor space the attempts meanwhile, up to
	// lastRecheck; tokens that come free in this router's hands are seen at
	// once.
	firstRecheck  = 50 * time.Millisecond
	recheckFactor = 3
	lastRecheck   = 2 * time.Second
	// maxWaiters bounds the requests of a team that wait at a router.
	maxWaiters = 256
)

// mayPass reports whether a refusal may be over soon.
func mayPass(code refusal.Code) bool {
	return code == refusal.BudgetExhausted || code == refusal.BudgetUnreachable
}

// wait tries again while runs in progress may give tokens back, and returns
// the last refusal when patience ends.
func (g *Grants) wait(ctx context.Context, h *hand, tokens int64, refused *refusal.Refusal) (Reservation, *refusal.Refusal) {
	if !h.enter() {
		g.counts.Inc("too_many_waiting")
		return Reservation{}, refused
	}
	defer h.leave()
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	for recheck := firstRecheck; ; recheck = min(recheck*recheckFactor, lastRecheck) {
		if g.sync(h).Outstanding == 0 {
			return Reservation{}, refused // no run in progress holds any
		}
		if r, ok := g.reserveWithin(ctx, h, tokens, recheck); ok {
			return r, nil
		}
		if ctx.Err() != nil {
			return Reservation{}, refused
		}
		var r Reservation
		if r, refused = g.Try(ctx, h.team, tokens); refused == nil || !mayPass(refused.Code) {
			return r, refused
		}
	}
}

// reserveWithin reserves from what comes free in hand for a while.
func (g *Grants) reserveWithin(ctx context.Context, h *hand, tokens int64, span time.Duration) (Reservation, bool) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	for {
		changed := h.watch()
		if r, outcome := g.Reserve(h.team, tokens); outcome == Reserved {
			return r, true
		}
		select {
		case <-changed:
		case <-timer.C:
			return Reservation{}, false
		case <-ctx.Done():
			return Reservation{}, false
		}
	}
}

// enter counts a waiting request unless there are too many.
func (h *hand) enter() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.waiters >= maxWaiters {
		return false
	}
	h.waiters++
	return true
}

func (h *hand) leave() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.waiters--
}

// watch returns a channel that is closed when tokens come free.
func (h *hand) watch() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}
