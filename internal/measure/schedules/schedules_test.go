package schedules

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/ident"
)

const (
	testSchedules = 200
	testSteps     = 300
)

func TestSchedulesKeepTheBudget(t *testing.T) {
	for seed := range uint64(testSchedules) {
		require.NoError(t, Run(seed, Options{Steps: testSteps}))
	}
}

// TestChecksFindFaults plays the same schedules with a wrong rule or a faulty
// process; the checks must find each.
func TestChecksFindFaults(t *testing.T) {
	for _, c := range []struct {
		name    string
		options Options
	}{
		{"gone from the VM list frees", Options{Rule: RuleListed}},
		{"destroyed on one side suffices", Options{Rule: RuleSplitDestroyed}},
		{"gate starts runs of sealed routers", Options{Fault: FaultGateIgnores}},
		{"side acknowledges too early", Options{Fault: FaultEarlyAck}},
		{"held reservation freed too early", Options{Fault: FaultFreeHeld}},
		{"held reservation taken for not run", Options{Fault: FaultHeldForNothing}},
		{"no witness", Options{Fault: FaultNoWitness}},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.options.Steps = testSteps
			for seed := range uint64(40 * testSchedules) {
				if err := Run(seed, c.options); err != nil {
					t.Log(err)
					return
				}
			}
			t.Fatal("not found")
		})
	}
}

// quiet is a model whose random faults are off, with one run's tokens reserved
// by the first router.
func quiet(t *testing.T, fault Fault) (*model, *router, *attempt) {
	m := newModel(1, Options{Fault: fault})
	for m.truth.Budget(team).Free == 0 {
		m.topUp()
	}
	for _, s := range m.sides {
		s.view.follow(m.fleet)
	}
	r := m.routers[0]
	for len(r.waiting) == 0 {
		r.flush()
		r.request(ident.Key{1}, m.truth.Budget(team).Free)
	}
	return m, r, r.waiting[0]
}

// untilDone repeats what a lost message can undo.
func untilDone(t *testing.T, done func() bool, try func()) {
	for range 1000 {
		if done() {
			return
		}
		try()
	}
	t.Fatal("not done")
}

// verdict wants the check to fail with the fault and to pass without.
func verdict(t *testing.T, m *model, fault Fault) {
	if fault == NoFault {
		require.NoError(t, m.check())
		return
	}
	require.Error(t, m.check())
}

// TestNewSideReadsTheSealsFirst: a router that was cut off wakes after its
// grant was freed and begins at a side process that registered since.
func TestNewSideReadsTheSealsFirst(t *testing.T) {
	for _, fault := range []Fault{NoFault, FaultUnread} {
		m, r, a := quiet(t, fault)
		r.cut = true
		by := m.routers[1]
		by.tell(seal, r.self)
		untilDone(t, func() bool { return m.truth.Closed(r.self) }, func() {
			for _, s := range m.sides {
				s.acknowledgeSeals()
			}
			by.planCloses()
			by.writeCloses()
			by.flush()
		})
		m.startSide()
		a.side = m.sides[len(m.sides)-1]
		r.begin()
		m.calm()
		verdict(t, m, fault)
	}
}

// TestRestOfAnUnfinishedRunStaysReserved: a sealed side process still runs and
// settles before the router's copy does.
func TestRestOfAnUnfinishedRunStaysReserved(t *testing.T) {
	for _, fault := range []Fault{NoFault, FaultPartialRelease} {
		m, r, a := quiet(t, fault)
		s := a.side
		untilDone(t, func() bool { return len(s.open) > 0 }, func() {
			r.begin()
			m.calm()
		})
		untilDone(t, func() bool { return len(r.copies) > 0 }, r.resolve)
		s.open[0].actual = s.open[0].bound
		r.copies[0].usage = 0
		m.routers[1].tell(seal, s.self)
		r.view.follow(m.fleet)
		r.cut = true // its settlement stays in the outbox
		r.settleCopy(r.copies[0])
		r.request(ident.Key{2}, s.open[0].bound)
		for _, second := range r.waiting {
			second.side = m.sides[0]
			if second.side == s {
				second.side = m.sides[1]
			}
		}
		untilDone(t, func() bool { return len(r.waiting) == 0 }, r.begin)
		m.calm()
		verdict(t, m, fault)
	}
}
