package budget

import (
	"context"
	"time"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/refusal"
)

// Limits of the wait for runs in progress.
const (
	// patience is how long a request waits for runs in progress to give back
	// what they reserved and did not use.
	patience = 10 * time.Second
	// unreachablePatience is the same while the ledger cannot be asked and no
	// run in reach could give anything back.
	unreachablePatience = time.Second
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
	began := g.config.Now()
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	for recheck := firstRecheck; ; recheck = min(recheck*recheckFactor, lastRecheck) {
		if !g.ShouldWait(h.team, refused, g.config.Now().Sub(began)) {
			return Reservation{}, refused
		}
		if r, ok := g.reserveWithin(ctx, h, tokens, recheck); ok {
			return r, nil
		}
		if ctx.Err() != nil {
			return Reservation{}, refused
		}
		var r Reservation
		if r, refused = g.TryAcquire(ctx, h.team, tokens); refused == nil || !mayPass(refused.Code) {
			return r, refused
		}
	}
}

// ShouldWait reports whether a request that was refused some time ago may still
// be admitted soon: runs in progress hold tokens, and their end would be seen
// here.
func (g *Grants) ShouldWait(team ident.TeamID, refused *refusal.Refusal, waited time.Duration) bool {
	h := g.hand(team)
	if waited >= patience || g.sync(h).Outstanding == 0 {
		return false
	}
	if refused.Code == refusal.BudgetExhausted || h.inUse() > 0 {
		return true
	}
	return waited < unreachablePatience
}

// inUse returns the tokens in use by runs in progress, here and at the lenders
// that answered.
func (h *hand) inUse() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	total := h.own.reserved + h.peersUse
	for _, s := range h.loans {
		if !s.revoked {
			total += s.reserved
		}
	}
	return total
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
