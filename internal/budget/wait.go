package budget

import (
	"context"
	"time"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/refusal"
)

// Limits of the wait for runs in progress.
const (
	// maxWait is how long a request waits for runs in progress to release what
	// they reserved and did not use.
	maxWait = 10 * time.Second
	// maxUnreachableWait replaces maxWait while the ledger cannot be reached
	// and no reachable run could release tokens.
	maxUnreachableWait = time.Second
	// Attempts during the wait start at minRecheckInterval and slow down by
	// recheckFactor up to maxRecheckInterval. Tokens that become free in the
	// local balance are noticed immediately.
	minRecheckInterval = 50 * time.Millisecond
	recheckFactor      = 3
	maxRecheckInterval = 2 * time.Second
	// maxWaiters limits the requests of a team that wait at a router.
	maxWaiters = 256
)

// isTransient reports whether the cause of a refusal may end soon.
func isTransient(code refusal.Code) bool {
	return code == refusal.BudgetExhausted || code == refusal.BudgetUnreachable
}

// retryUntilFreed tries again while runs in progress may release tokens, and
// returns the last refusal after maxWait.
func (g *Grants) retryUntilFreed(ctx context.Context, b *localBalance, tokens int64, refused *refusal.Refusal) (Reservation, *refusal.Refusal) {
	if !b.addWaiter() {
		g.counts.Inc("too_many_waiting")
		return Reservation{}, refused
	}
	defer b.removeWaiter()
	began := g.config.Now()
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	for recheck := minRecheckInterval; ; recheck = min(recheck*recheckFactor, maxRecheckInterval) {
		if !g.ShouldWait(b.team, refused, g.config.Now().Sub(began)) {
			return Reservation{}, refused
		}
		if r, ok := g.reserveWithin(ctx, b, tokens, recheck); ok {
			return r, nil
		}
		if ctx.Err() != nil {
			return Reservation{}, refused
		}
		var r Reservation
		if r, refused = g.TryAcquire(ctx, b.team, tokens); refused == nil || !isTransient(refused.Code) {
			return r, refused
		}
	}
}

// ShouldWait reports whether a request that was refused may still be admitted
// soon: runs in progress have tokens reserved, and their end would be noticed
// here. waited is the time since the first refusal.
func (g *Grants) ShouldWait(team ident.TeamID, refused *refusal.Refusal, waited time.Duration) bool {
	b := g.balanceOf(team)
	if waited >= maxWait || g.syncGrant(b).Outstanding == 0 {
		return false
	}
	if refused.Code == refusal.BudgetExhausted || b.inUse() > 0 {
		return true
	}
	return waited < maxUnreachableWait
}

// inUse returns the tokens reserved by runs, here and at the lenders that
// answered.
func (b *localBalance) inUse() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	total := b.own.reserved + b.lendersInUse
	for _, s := range b.loans {
		if !s.revoked {
			total += s.reserved
		}
	}
	return total
}

// reserveWithin reserves tokens as they become free in the local balance, for
// up to span.
func (g *Grants) reserveWithin(ctx context.Context, b *localBalance, tokens int64, span time.Duration) (Reservation, bool) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	for {
		changed := b.freedSignal()
		if r, outcome := g.Reserve(b.team, tokens); outcome == Reserved {
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

// addWaiter counts a waiting request. It returns false if there are already
// maxWaiters.
func (b *localBalance) addWaiter() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.waiters >= maxWaiters {
		return false
	}
	b.waiters++
	return true
}

func (b *localBalance) removeWaiter() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiters--
}

// freedSignal returns a channel that is closed when tokens become free.
func (b *localBalance) freedSignal() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.freed
}
