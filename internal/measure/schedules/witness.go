package schedules

import (
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
)

// acknowledgeSeals settles the copies of runs at sealed side processes and
// acknowledges those of which nothing is left.
func (r *router) acknowledgeSeals() {
	r.flush()
	r.view.follow(r.m.fleet)
	if r.view.sealed[r.self] && r.m.chance(50) {
		r.grants.Fence()
	}
	for _, sealed := range r.view.sides {
		if r.view.sealed[sealed] && !r.view.acks[ackOf{by: r.self, sealed: sealed}] {
			r.release(sealed)
		}
	}
	r.forgetSettled()
}

// release settles what this router began at a sealed side process.
func (r *router) release(sealed ident.Incarnation) {
	done := true
	for _, a := range r.copies {
		if a.side.self == sealed && !r.fold.Settled(a.run.id) && r.m.options.Fault != FaultNoWitness {
			r.settleCopy(a)
			done = done && r.fold.Settled(a.run.id)
		}
	}
	if !done {
		return
	}
	if r.m.options.Fault == FaultFreeHeld {
		for _, a := range r.held {
			if a.side.self == sealed {
				r.free(a, 0)
			}
		}
	}
	r.tell(acknowledge, sealed)
}

// settleCopy writes the settlement of a copy. The rest of an unfinished run's
// reservation is free only once this very settlement was accepted: the gate's
// own may come first, with more tokens.
func (r *router) settleCopy(a *attempt) {
	if a.offered {
		return // it stands in the outbox
	}
	a.offered = true
	if r.m.options.Fault == FaultPartialRelease {
		r.free(a, a.usage)
	}
	verdicts, ok := r.submit(a.run.settlement(a.usage, 0))
	if ok && verdicts[0].Outcome == ledger.Accepted {
		r.free(a, a.usage)
	}
}

// forgetSettled drops the copies that the ledger shows as settled.
func (r *router) forgetSettled() {
	var copies []*attempt
	for _, a := range r.copies {
		if !r.fold.Settled(a.run.id) {
			copies = append(copies, a)
			continue
		}
		r.free(a, r.billed(a, a.run.id))
	}
	r.copies = copies
}

// planCloses notes the lives whose Close is proven. The records are written at
// some later step.
func (r *router) planCloses() {
	r.view.follow(r.m.fleet)
	rule := r.m.options.Rule
	for _, i := range r.view.routers {
		listedOut := rule == RuleListed && r.view.sealed[i] && !r.m.listed[i]
		if r.view.holderFree(i, rule) || listedOut {
			r.closes = append(r.closes, i)
		}
	}
	for _, i := range r.view.sides {
		if r.view.gateClosed(i, rule) {
			r.closes = append(r.closes, i)
		}
	}
}

func (r *router) writeCloses() {
	closes := r.closes
	r.closes = nil
	for _, i := range closes {
		if !r.fold.Closed(i) {
			r.submit(mustRecord(ledger.KindClose, ledger.Close{Holder: i}))
		}
	}
}
