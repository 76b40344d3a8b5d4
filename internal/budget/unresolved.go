package budget

import (
	"slices"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
)

// unresolvedRun is a reservation for a run of unknown outcome.
type unresolvedRun struct {
	reservation Reservation
	key         ident.Key
	gate        ident.Incarnation
}

// gateKey identifies a key at a gate.
type gateKey struct {
	key  ident.Key
	gate ident.Incarnation
}

// RecordNeverRan records that a gate has not started a key and never will. The
// controller then settles the unresolved reservations for it with zero tokens.
func (g *Grants) RecordNeverRan(team ident.TeamID, key ident.Key, gate ident.Incarnation) {
	b := g.lookup(team)
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.neverRan = append(b.neverRan, gateKey{key: key, gate: gate})
}

// outcome returns the tokens that the run used, once the ledger shows it. A
// closed gate has settled all its earlier runs. If the ledger may have dropped
// the bill since, the whole bound counts as used.
func (r unresolvedRun) outcome(s *ledger.State) (tokens int64, known bool) {
	bill, billed := s.BillFor(r.key)
	switch {
	case billed && bill.Run.Gate == r.gate:
		return min(bill.Tokens, r.reservation.tokens), true
	case !s.Closed(r.gate):
		return 0, false
	case !billed && r.reservation.since < s.BillHorizon():
		return r.reservation.tokens, true
	default:
		return 0, true
	}
}

// resolveRuns settles the unresolved reservations whose outcome is now known.
func (g *Grants) resolveRuns(b *localBalance) {
	b.mu.Lock()
	unresolved, neverRan := b.unresolved, b.neverRan
	b.unresolved, b.neverRan = nil, nil
	b.mu.Unlock()
	if len(unresolved) == 0 {
		return
	}
	var remaining []unresolvedRun
	for _, r := range unresolved {
		if slices.Contains(neverRan, gateKey{key: r.key, gate: r.gate}) {
			b.settle(r.reservation, 0)
			g.counts.Inc("held_never_ran")
			continue
		}
		var (
			tokens int64
			known  bool
		)
		g.config.Ledger.View(b.team, func(s *ledger.State) { tokens, known = r.outcome(s) })
		if !known {
			remaining = append(remaining, r)
			continue
		}
		b.settle(r.reservation, tokens)
		g.counts.Inc("held_resolved")
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unresolved = append(b.unresolved, remaining...)
}

// Refund releases the tokens of a run that has ended and was not billed because
// the ledger had already billed another run of the same key. The tokens are
// still in the holder's grant.
func (g *Grants) Refund(team ident.TeamID, holder ident.Incarnation, tokens int64) {
	b := g.lookup(team)
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.own
	if holder != s.holder {
		s = b.loanFrom(holder)
	}
	if s == nil {
		g.counts.Inc("refund_without_loan") // the loan was revoked together with its lender's grant
		return
	}
	s.spent -= tokens
	s.free += tokens
	b.notify()
	g.counts.Inc("refund")
}
