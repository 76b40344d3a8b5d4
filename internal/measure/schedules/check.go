package schedules

import (
	"context"
	"fmt"

	"github.com/camphorlever/camphorlever/internal/ident"
)

// check returns the first broken invariant.
func (m *model) check() error {
	b := m.truth.Budget(team)
	var progress int64
	for _, tokens := range m.inProgress() {
		progress += tokens
	}
	switch {
	case b.Billed+progress > b.TopUps:
		return fmt.Errorf("billed %d and in progress %d exceed top-ups of %d", b.Billed, progress, b.TopUps)
	case b.Free < 0 || b.Outstanding < 0:
		return fmt.Errorf("free %d, outstanding %d", b.Free, b.Outstanding)
	case b.Overrun != 0:
		return fmt.Errorf("settlements exceed their grants by %d", b.Overrun)
	case m.truth.Hash() != m.twin.Hash():
		return fmt.Errorf("two folds of one log differ")
	}
	if err := m.checkGrants(); err != nil {
		return err
	}
	for id, n := range m.bills {
		if n > 1 {
			return fmt.Errorf("run %s was billed %d times", id, n)
		}
	}
	for key, n := range m.paid {
		if n > 1 {
			return fmt.Errorf("key %s was billed %d times", key, n)
		}
	}
	return nil
}

// checkGrants checks that every grant covers what is in progress under it, and
// while it is open also all that any router could still reserve from it.
func (m *model) checkGrants() error {
	claims := m.inProgress()
	for holder, progress := range claims {
		outstanding := m.truth.Grant(team, holder).Outstanding()
		if progress > outstanding {
			return fmt.Errorf("the grant of %d holds %d, in progress under it are %d", holder, outstanding, progress)
		}
	}
	for _, r := range m.routers {
		r.addClaims(claims)
	}
	for holder, claim := range claims {
		outstanding := m.truth.Grant(team, holder).Outstanding()
		if claim > outstanding && !m.truth.Closed(holder) {
			return fmt.Errorf("the grant of %d holds %d, claims on it are %d", holder, outstanding, claim)
		}
	}
	return nil
}

// addClaims adds, by holder, what a router could still reserve, and what it
// has reserved beyond what the runs in progress already count.
func (r *router) addClaims(claims map[ident.Incarnation]int64) {
	if r.dead || r.m.truth.Closed(r.self) {
		return
	}
	for _, h := range r.grants.Balances(team) {
		claims[h.Holder] += h.Free
	}
	for _, list := range [][]*attempt{r.waiting, r.held, r.copies} {
		for _, a := range list {
			started := a.side.keys[a.key]
			own := started != nil && started.router == r.self
			if own || a.freed {
				continue // counted as a run, or free again
			}
			claims[a.reservation.Holder()] += a.reservation.Tokens()
		}
	}
}

// inProgress is, by holder, what the runs that the ledger does not show as
// settled may still cost: a run in progress its bound, one that is over what
// it used. A run that nobody is left to settle is not counted, nor one under a
// closed grant at a gate that every router has abandoned: its answer reaches
// nobody.
func (m *model) inProgress() map[ident.Incarnation]int64 {
	m.seen.follow(m.fleet)
	total := map[ident.Incarnation]int64{}
	for id, r := range m.runs {
		if m.truth.Settled(id) || m.orphaned(r) {
			continue
		}
		if m.truth.Closed(r.holder) && m.seen.gateClosed(id.Gate, RuleProof) {
			continue
		}
		if r.over {
			total[r.holder] += r.actual
		} else {
			total[r.holder] += r.bound
		}
	}
	return total
}

// orphaned reports whether both witnesses of a run are dead.
func (m *model) orphaned(r *run) bool {
	return r.side.dead && m.router(r.router).dead
}

// finish ends all faults, lets everything settle and checks the bills.
func (m *model) finish() error {
	m.calm()
	for range 12 {
		for _, s := range m.sides {
			m.settleSide(s)
		}
		for _, r := range m.routers {
			m.settleRouter(r)
		}
		if err := m.check(); err != nil {
			return err
		}
	}
	for id, r := range m.runs {
		if r.delivered && !m.orphaned(r) && m.bills[id] != 1 && m.paid[r.key] == 0 && r.actual > 0 {
			return fmt.Errorf("run %s was delivered whole and billed %d times", id, m.bills[id])
		}
	}
	return m.compareFolds()
}

// calm ends the faults.
func (m *model) calm() {
	clear(m.cuts)
	for _, p := range m.processes() {
		p.cut, p.paused = false, false
	}
	for _, deliver := range m.late {
		deliver()
	}
	m.late = nil
	m.sealDead()
}

// sealDead lets an operator state which lives are over.
func (m *model) sealDead() {
	for _, by := range m.processes() {
		if by.online() {
			m.state(by)
			return
		}
	}
}

func (m *model) settleSide(s *side) {
	if !s.online() {
		return
	}
	for range len(s.open) {
		s.finishRun()
	}
	s.settle()
	s.acknowledgeSeals()
}

func (m *model) settleRouter(r *router) {
	if !r.online() {
		return
	}
	for len(r.waiting) > 0 {
		r.begin()
	}
	r.acknowledgeSeals()
	r.resolve()
	r.grants.Tick(context.Background())
	r.planCloses()
	r.writeCloses()
}

// compareFolds compares the folds of all processes that reach the log.
func (m *model) compareFolds() error {
	for _, p := range m.processes() {
		if p.dead {
			continue
		}
		p.followLedger()
		if p.fold.Hash() != m.truth.Hash() {
			return fmt.Errorf("the fold of %d differs", p.self)
		}
	}
	return nil
}
