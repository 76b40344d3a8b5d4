package budget

import (
	"context"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/refusal"
)

// Reserve sets tokens aside from what is in hand. It does no I/O and does not
// allocate.
func (g *Grants) Reserve(team ident.TeamID, tokens int64) (Reservation, Outcome) {
	if g.fenced.Load() {
		return Reservation{}, Fenced
	}
	h := g.lookup(team)
	if h == nil || tokens <= 0 {
		return Reservation{}, Insufficient
	}
	r, low, ok := h.reserve(tokens)
	if !ok {
		return Reservation{}, Insufficient
	}
	if low {
		g.wake(h)
	}
	return r, Reserved
}

// wake lets the controller see to a hand before its next tick.
func (g *Grants) wake(h *hand) {
	select {
	case g.kick <- h:
	default:
	}
}

// Settle ends a reservation with the tokens that the run used; the rest is
// free again at once. Zero means that it did not run.
func (g *Grants) Settle(r Reservation, actual int64) {
	if r.IsZero() {
		return
	}
	r.hand.settle(r, min(max(actual, 0), r.tokens))
}

// MarkUnresolved notes that the outcome of a run is unknown. The tokens stay reserved
// until Settle.
func (g *Grants) MarkUnresolved(r Reservation) {
	if !r.IsZero() {
		g.counts.Inc("held")
	}
}

// TrackUnresolved is Hold for a run whose key and gate are known. The reservation is
// settled by the controller once the ledger shows what the key was billed for,
// or that the gate is closed; Settle must not be called for it any more.
func (g *Grants) TrackUnresolved(r Reservation, key ident.Key, gate ident.Incarnation) {
	if r.IsZero() {
		return
	}
	g.counts.Inc("held")
	h := r.hand
	h.mu.Lock()
	defer h.mu.Unlock()
	h.held = append(h.held, heldRun{reservation: r, key: key, gate: gate})
}

// Acquire reserves tokens: from what is in hand, else by a draw, else by
// loans, else by waiting a while for runs in progress to end. The refusal says
// whether the ledger shows the budget to be spent or it cannot be known now.
func (g *Grants) Acquire(ctx context.Context, team ident.TeamID, tokens int64) (Reservation, *refusal.Refusal) {
	r, refused := g.TryAcquire(ctx, team, tokens)
	if refused == nil || !mayPass(refused.Code) {
		return r, refused
	}
	r, refused = g.wait(ctx, g.hand(team), tokens, refused)
	if refused != nil {
		g.counts.Inc("refused_" + string(refused.Code))
	}
	return r, refused
}

// TryAcquire is Acquire without the wait for runs in progress.
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
	return g.fetch(ctx, g.hand(team), tokens)
}

// fetch gets tokens from the ledger or from peers until a reservation fits.
func (g *Grants) fetch(ctx context.Context, h *hand, tokens int64) (Reservation, *refusal.Refusal) {
	if home, ok := g.homeOf(g.situation(h, g.sync(h)), h); ok {
		g.borrow(ctx, h, home, tokens, false)
		if r, outcome := g.Reserve(h.team, tokens); outcome == Reserved {
			return r, nil
		}
	}
	drawn := g.drawFor(ctx, h, tokens)
	if r, outcome := g.Reserve(h.team, tokens); outcome == Reserved {
		return r, nil
	}
	asked := g.borrowAround(ctx, h, tokens, drawn == drawExhausted)
	if r, outcome := g.Reserve(h.team, tokens); outcome == Reserved {
		return r, nil
	}
	if drawn == drawExhausted && g.sync(h).Free > 0 {
		drawn = g.drawFor(ctx, h, tokens) // peers may have returned theirs
		if r, outcome := g.Reserve(h.team, tokens); outcome == Reserved {
			return r, nil
		}
	}
	if drawn == drawExhausted && asked == peersHaveNone {
		return Reservation{}, refusal.New(refusal.BudgetExhausted, refusal.NotRun,
			"the team's prepaid budget does not cover this request")
	}
	return Reservation{}, refusal.New(refusal.BudgetUnreachable, refusal.NotRun,
		"tokens of the team's budget cannot be reached now")
}
