package budget

import (
	"context"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/refusal"
)

// Reserve reserves tokens from the local balance. It does no I/O and does not
// allocate.
func (g *Grants) Reserve(team ident.TeamID, tokens int64) (Reservation, Outcome) {
	if g.fenced.Load() {
		return Reservation{}, Fenced
	}
	b := g.lookup(team)
	if b == nil || tokens <= 0 {
		return Reservation{}, Insufficient
	}
	r, low, ok := b.reserve(tokens)
	if !ok {
		return Reservation{}, Insufficient
	}
	if low {
		g.wakeController(b)
	}
	return r, Reserved
}

// wakeController asks the controller to process a team before its next tick. A
// full queue drops the request: the next tick covers it.
func (g *Grants) wakeController(b *localBalance) {
	select {
	case g.wakeup <- b:
	default:
	}
}

// Settle ends a reservation, charging the tokens that the run used. The rest
// becomes available again immediately. Zero means that the run did not happen.
func (g *Grants) Settle(r Reservation, actual int64) {
	if r.IsZero() {
		return
	}
	r.balance.settle(r, min(max(actual, 0), r.tokens))
}

// MarkUnresolved records that the outcome of a run is unknown. The tokens stay
// reserved until Settle is called.
func (g *Grants) MarkUnresolved(r Reservation) {
	if !r.IsZero() {
		g.counts.Inc("held")
	}
}

// TrackUnresolved is MarkUnresolved for a run whose key and gate are known. The
// controller settles the reservation once the ledger shows what was billed for
// the key, or that the gate is closed. Settle must not be called for it
// afterwards.
func (g *Grants) TrackUnresolved(r Reservation, key ident.Key, gate ident.Incarnation) {
	if r.IsZero() {
		return
	}
	g.counts.Inc("held")
	b := r.balance
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unresolved = append(b.unresolved, unresolvedRun{reservation: r, key: key, gate: gate})
}

// Acquire reserves tokens from the local balance, else by a draw from the
// ledger, else by loans, else by waiting for runs in progress to end. The
// refusal distinguishes a budget that the ledger shows to be exhausted from one
// whose state cannot be determined at present.
func (g *Grants) Acquire(ctx context.Context, team ident.TeamID, tokens int64) (Reservation, *refusal.Refusal) {
	r, refused := g.TryAcquire(ctx, team, tokens)
	if refused == nil || !isTransient(refused.Code) {
		return r, refused
	}
	r, refused = g.retryUntilFreed(ctx, g.balanceOf(team), tokens, refused)
	if refused != nil {
		g.counts.Inc("refused_" + string(refused.Code))
	}
	return r, refused
}

// TryAcquire is Acquire without waiting for runs in progress.
func (g *Grants) TryAcquire(ctx context.Context, team ident.TeamID, tokens int64) (Reservation, *refusal.Refusal) {
	if tokens <= 0 {
		return Reservation{}, refusal.New(refusal.Internal, refusal.NotRun, "a run needs a positive bound")
	}
	r, outcome := g.Reserve(team, tokens)
	switch outcome {
	case Reserved:
		return r, nil
	case Fenced:
		g.counts.Inc("refused_fenced")
		return Reservation{}, refusal.New(refusal.Stopping, refusal.NotRun, "this router has been sealed")
	}
	return g.reserveFromLedgerOrPeers(ctx, g.balanceOf(team), tokens)
}

// reserveFromLedgerOrPeers obtains tokens from the ledger or from other routers
// until the reservation fits one source.
func (g *Grants) reserveFromLedgerOrPeers(ctx context.Context, b *localBalance, tokens int64) (Reservation, *refusal.Refusal) {
	if owner, ok := g.ownerToAsk(g.sizingInput(b, g.syncGrant(b)), b); ok {
		g.borrow(ctx, b, owner, tokens, false)
		if r, outcome := g.Reserve(b.team, tokens); outcome == Reserved {
			return r, nil
		}
	}
	drawn := g.drawAndWait(ctx, b, tokens)
	if r, outcome := g.Reserve(b.team, tokens); outcome == Reserved {
		return r, nil
	}
	peers := g.borrowFromPeers(ctx, b, tokens, drawn == drawExhausted)
	if r, outcome := g.Reserve(b.team, tokens); outcome == Reserved {
		return r, nil
	}
	if drawn == drawExhausted && g.syncGrant(b).Free > 0 {
		drawn = g.drawAndWait(ctx, b, tokens) // peers may have returned free tokens to the ledger
		if r, outcome := g.Reserve(b.team, tokens); outcome == Reserved {
			return r, nil
		}
	}
	if drawn == drawExhausted && peers == peersShort {
		return Reservation{}, refusal.New(refusal.BudgetExhausted, refusal.NotRun,
			"the team's prepaid budget does not cover this request")
	}
	return Reservation{}, refusal.New(refusal.BudgetUnreachable, refusal.NotRun,
		"tokens of the team's budget cannot be reached now")
}
