package budget

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/refusal"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// TestPolicy lists the sizes for a fleet that spends 100 tokens a second, half
// of it in this data centre and a fifth at this router.
func TestPolicy(t *testing.T) {
	policy := Policy{Horizon: 600 * time.Second}
	half := Policy{Horizon: 600 * time.Second, Caution: 0.5}
	cautious := Policy{Horizon: 600 * time.Second, Caution: 1}
	at := func(free, spread, hand int64, home bool) Situation {
		return Situation{Free: free, Spread: spread, Hand: hand, Rate: 20, FleetRate: 100, SiteShare: 0.5, Bound: 1000, Routers: 6, Home: home}
	}
	little := func(home bool) Situation {
		s := at(1_200_000, 0, 0, home)
		s.Rate, s.FleetRate, s.Here = 0, 0, 2
		return s
	}
	for _, c := range []struct {
		name   string
		policy Policy
		s      Situation
		scarce Scarcity
		target int64
		draw   int64
		excess int64
	}{
		{"ample", half, at(132_000, 0, 0, false), Ample, 16_500, 16_500, 0},
		{"ample and full", half, at(63_000, 69_000, 16_000, false), Ample, 16_500, 0, 0},
		{"ample, idle in the ledger", half, at(72_000, 60_000, 16_000, false), Ample, 16_500, 1_000, 0},
		{"ample and too much", half, at(100_000, 32_000, 30_000, false), Ample, 16_500, 0, 13_500},
		{"ample, cautious", cautious, at(300_000, 0, 0, false), Ample, 15_000, 15_000, 0},
		{"ample, floor above the demand", policy, at(1_200_000, 0, 0, false), Ample, 200_000, 200_000, 0},
		{"ample, cautious, no floor", cautious, at(1_200_000, 0, 0, false), Ample, 20_000, 20_000, 0},
		{"little used, at home", policy, little(true), Ample, 400_000, 400_000, 0},
		{"little used, elsewhere", policy, little(false), Ample, 2_000, 2_000, 0},
		{"scarce at home", policy, at(40_000, 20_000, 10_000, true), Scarce, 30_000, 20_000, 0},
		{"scarce at home, rest in the ledger", policy, at(2_000, 58_000, 29_000, true), Scarce, 30_000, 1_000, 0},
		{"scarce at home, nothing in the ledger", policy, at(100, 59_900, 29_000, true), Scarce, 30_000, 0, 0},
		{"scarce at home, full with a rest in the ledger", policy, at(2_000, 58_000, 32_500, true), Scarce, 30_000, 0, 2_500},
		{"scarce elsewhere", policy, at(40_000, 20_000, 10_000, false), Scarce, 0, 0, 10_000},
		{"ending", policy, at(2_000, 2_000, 2_000, true), NearlyExhausted, 0, 0, 2_000},
	} {
		require.Equal(t, c.scarce, c.policy.Scarcity(c.s), c.name)
		require.Equal(t, c.target, c.policy.Target(c.s), c.name)
		require.Equal(t, c.draw, c.policy.Draw(c.s), c.name)
		require.Equal(t, c.excess, c.policy.Excess(c.s), c.name)
	}
	require.True(t, half.Urgent(at(132_000, 0, 8_000, false)))
	require.False(t, half.Urgent(at(132_000, 0, 9_000, false)))
	require.True(t, policy.Urgent(at(2_000, 2_000, 2_000, true)))
}

// TestWhoIsAskedFirst: the other router of the data centre asks the home of a
// scarce budget, or of one in little use, although the ledger has tokens.
func TestWhoIsAskedFirst(t *testing.T) {
	for _, c := range []struct {
		name     string
		tokens   int64
		rate     float64
		borrowed bool
	}{
		{"scarce", 50_000, 100, true},
		{"ample", 1_000_000, 100, false},
		{"in little use", 1_000_000, 1, true},
		{"ending", 4_000, 100, false},
	} {
		w := newWorld(t, 2, testPolicy)
		w.far = true
		home := homeRouter("a", w.Routers(), "dc")
		other := 3 - home
		w.topUp("x", c.tokens)
		w.routers[home].Settle(w.mustAcquire(home, c.tokens/2), 0)
		h := w.routers[other].hand("a")
		h.demand.long, h.demand.bound = c.rate, 1000
		h.fleet.long = c.rate
		r := w.mustAcquire(other, 1000)
		require.Equal(t, c.borrowed, r.Holder() == home, c.name)
	}
}

func TestHomeFollowsTheRouters(t *testing.T) {
	w := newWorld(t, 4, testPolicy)
	g := w.routers[1]
	h := g.hand("a")
	first := g.homes(h, g.roster())
	require.Len(t, first, 2, "in the only data centre")
	w.sealed[first[0]] = true
	require.Equal(t, first, g.homes(h, g.roster()), "the roster is kept for a while")
	w.now = w.now.Add(rosterAge)
	second := g.homes(h, g.roster())
	require.NotContains(t, second, first[0])
	require.Equal(t, homeRouter("a", w.Routers(), "dc"), second[0])
	w.far = true
	w.now = w.now.Add(rosterAge)
	require.Equal(t, second[:1], g.homes(h, g.roster()), "one in each of two data centres")
}

// TestAPausedHomeLeavesHalf: of two routers in the only data centre either one
// can be lost.
func TestAPausedHomeLeavesHalf(t *testing.T) {
	w := newWorld(t, 2, Policy{Horizon: 600 * time.Second})
	w.topUp("x", 12_000)
	w.routers[1].hand("a")
	w.routers[2].hand("a")
	for range 3 * dormantTicks {
		w.tick(time.Second)
	}
	for i := ident.Incarnation(1); i <= 2; i++ {
		w.mute[3-i] = true
		w.routers[i].Settle(w.mustAcquire(i, 5_000), 0)
		w.mute[3-i] = false
	}
}

// TestSealedLendersAreNotAsked even while the roster still lists them.
func TestSealedLendersAreNotAsked(t *testing.T) {
	w := newWorld(t, 2, testPolicy)
	w.topUp("x", 1000)
	w.routers[2].Settle(w.mustAcquire(2, 1000), 0)
	w.routers[1].roster()
	w.sealed[2] = true
	lenders := w.routers[1].lenders(w.routers[1].hand("a"))
	require.Len(t, lenders, 1)
	require.False(t, lenders[0].reachable)
}

func TestRevokedLoansAreForgottenOnceUnused(t *testing.T) {
	w := newWorld(t, 3, testPolicy)
	w.topUp("x", 1000)
	w.routers[2].Settle(w.mustAcquire(2, 500), 0)
	w.routers[3].Settle(w.mustAcquire(3, 500), 0)
	h := w.routers[1].hand("a")
	h.addLoan(2, 100, false)
	h.addLoan(3, 100, false)
	r, _, ok := h.reserve(80)
	require.True(t, ok)
	w.sealed[r.Holder()] = true
	w.routers[1].revoke(h)
	require.Len(t, h.loans, 2, "one is in use, the other is good")
	w.routers[1].Settle(r, 10)
	w.routers[1].revoke(h)
	require.Len(t, h.loans, 1)
	require.NotEqual(t, r.Holder(), h.loans[0].holder)
}

// TestAnEmptyHandIsLeftAloneForAWhile: a draw whose reply was lost is found.
func TestAnEmptyHandIsLeftAloneForAWhile(t *testing.T) {
	w := newWorld(t, 1, Policy{Horizon: 600 * time.Second, Caution: 1})
	w.topUp("x", 1000)
	w.routers[1].hand("a")
	w.tick(time.Second)
	w.do(1, ledger.KindDraw, ledger.Draw{Team: "a", Requested: 300})
	for range dormantTicks {
		w.tick(time.Second)
	}
	require.Zero(t, w.routers[1].hand("a").granted)
	w.tick(time.Second)
	require.EqualValues(t, 300, w.routers[1].hand("a").granted)
}

func TestOneRepaymentIsInFlight(t *testing.T) {
	w := newWorld(t, 2, testPolicy)
	h := w.routers[1].hand("a")
	h.addLoan(2, 100, false)
	calls := h.due(w.now, 0)
	require.Equal(t, []wire.RepayArgs{{Team: "a", Total: 100}}, []wire.RepayArgs{calls[0].args})
	require.Empty(t, h.due(w.now, 0))
	w.mute[2] = true
	w.routers[1].repay(context.Background(), h, calls[0])
	require.Len(t, h.due(w.now, 0), 1, "it is sent again")
}

// TestDemandOfADataCentre counts a run for the router that began it.
func TestDemandOfADataCentre(t *testing.T) {
	w := newWorld(t, 2, testPolicy)
	w.topUp("x", 1000)
	for holder := range ident.Incarnation(4) {
		w.do(holder+1, ledger.KindDraw, ledger.Draw{Team: "a", Requested: 100})
	}
	for n, run := range []struct{ holder, router ident.Incarnation }{{1, 1}, {1, 3}, {3, 2}, {4, 4}} {
		w.do(50, ledger.KindSettle, ledger.Settle{
			Team: "a", Holder: run.holder, Router: run.router, Tokens: 1 << n,
			Run: ident.RunID{Gate: 50, Number: uint64(n + 1)}, Key: testKey(n + 1),
		})
	}
	require.EqualValues(t, 1+4, w.routers[1].roster().billedHere(w.state, "a"))
}

// TestHowLongItHelpsToWait lists whom a request waits for while the log is
// down.
func TestHowLongItHelpsToWait(t *testing.T) {
	for _, c := range []struct {
		name string
		busy ident.Incarnation // has a run in progress
		mute bool              // the peer does not answer
		want time.Duration
	}{
		{"nobody", 0, false, unreachablePatience},
		{"a run here", 1, false, patience},
		{"a run at a peer", 2, false, patience},
		{"a run at a peer that does not answer", 2, true, unreachablePatience},
	} {
		w := newWorld(t, 2, testPolicy)
		w.topUp("x", 1000)
		w.routers[1].Settle(w.mustAcquire(1, 400), 0)
		w.routers[2].Settle(w.mustAcquire(2, 400), 0)
		w.down = true
		if c.busy != 0 {
			w.mustAcquire(c.busy, 300)
		}
		w.mute[2] = c.mute
		w.now = w.now.Add(time.Minute)
		w.routers[1].hand("a").peersUse = 7 // of an earlier round
		_, refused := w.routers[1].TryAcquire(context.Background(), "a", 500)
		require.Equal(t, refusal.BudgetUnreachable, refused.Code, c.name)
		require.True(t, w.routers[1].ShouldWait("a", refused, c.want-1), c.name)
		require.False(t, w.routers[1].ShouldWait("a", refused, c.want), c.name)
	}
}

// TestTeamsGetTheirFloorBeforeTheyAsk takes the teams of the settings up in
// portions.
func TestTeamsGetTheirFloorBeforeTheyAsk(t *testing.T) {
	w := newWorld(t, 1, Policy{Horizon: 600 * time.Second})
	g := w.routers[1]
	g.config.Teams = func() []ident.TeamID {
		teams := []ident.TeamID{"a"}
		for n := range newTeamsPerTick {
			teams = append(teams, ident.TeamID(rune('b'+n)))
		}
		return teams
	}
	w.topUp("x", 1000)
	w.tick(time.Second)
	require.Len(t, g.hands(), newTeamsPerTick)
	own, _ := w.free(1)
	require.EqualValues(t, 1000, own)
	w.tick(time.Second)
	require.Len(t, g.hands(), newTeamsPerTick+1)
	w.down = true
	w.mustAcquire(1, 900)
}
