package budget

import (
	"slices"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
)

// heldRun is a reservation for a run of unknown outcome.
type heldRun struct {
	reservation Reservation
	key         ident.Key
	gate        ident.Incarnation
}

// heldKey is a key at a gate.
type heldKey struct {
	key  ident.Key
	gate ident.Incarnation
}

// RecordNeverRan says that a gate has not started a key and never will. What is held
// for it is settled at nothing by the controller.
func (g *Grants) RecordNeverRan(team ident.TeamID, key ident.Key, gate ident.Incarnation) {
	h := g.lookup(team)
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.neverRan = append(h.neverRan, heldKey{key: key, gate: gate})
}

// used returns what the run has used, once the ledger shows it. A gate that is
// closed has settled what it ran before; a bill that may have been forgotten
// counts as the whole bound.
func (r heldRun) used(s *ledger.State) (tokens int64, known bool) {
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

// resolve settles the held reservations of which the outcome is known now.
func (g *Grants) resolve(h *hand) {
	h.mu.Lock()
	held, neverRan := h.held, h.neverRan
	h.held, h.neverRan = nil, nil
	h.mu.Unlock()
	if len(held) == 0 {
		return
	}
	var open []heldRun
	for _, r := range held {
		if slices.Contains(neverRan, heldKey{key: r.key, gate: r.gate}) {
			h.settle(r.reservation, 0)
			g.counts.Inc("held_never_ran")
			continue
		}
		var (
			tokens int64
			known  bool
		)
		g.config.Ledger.View(h.team, func(s *ledger.State) { tokens, known = r.used(s) })
		if !known {
			open = append(open, r)
			continue
		}
		h.settle(r.reservation, tokens)
		g.counts.Inc("held_resolved")
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.held = append(h.held, open...)
}

// Refund gives back the tokens of a run that has ended and was not billed,
// since the ledger had billed another run of its key. They are still in the
// holder's grant.
func (g *Grants) Refund(team ident.TeamID, holder ident.Incarnation, tokens int64) {
	h := g.lookup(team)
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.own
	if holder != s.holder {
		s = h.loanFrom(holder)
	}
	if s == nil {
		g.counts.Inc("refund_without_loan") // the loan was revoked with its lender's grant
		return
	}
	s.spent -= tokens
	s.free += tokens
	h.notify()
	g.counts.Inc("refund")
}
