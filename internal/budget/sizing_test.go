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

// Lists the sizes for a fleet that spends 100 tokens per second, half of it in
// this data centre and a fifth at this router.
func TestPolicySizes(t *testing.T) {
	policy := Policy{Horizon: 600 * time.Second}
	half := Policy{Horizon: 600 * time.Second, Caution: 0.5}
	cautious := Policy{Horizon: 600 * time.Second, Caution: 1}
	input := func(free, outstanding, ownFree int64, isOwner bool) SizingInput {
		return SizingInput{Free: free, Outstanding: outstanding, OwnFree: ownFree, Rate: 20, FleetRate: 100, DataCentreShare: 0.5, RecentBound: 1000, Routers: 6, IsOwner: isOwner}
	}
	lowUse := func(isOwner bool) SizingInput {
		s := input(1_200_000, 0, 0, isOwner)
		s.Rate, s.FleetRate, s.DataCentreRouters = 0, 0, 2
		return s
	}
	for _, c := range []struct {
		name   string
		policy Policy
		s      SizingInput
		scarce Scarcity
		target int64
		draw   int64
		excess int64
	}{
		{"ample", half, input(132_000, 0, 0, false), Ample, 16_500, 16_500, 0},
		{"ample, on target", half, input(63_000, 69_000, 16_000, false), Ample, 16_500, 0, 0},
		{"ample, idle in the ledger", half, input(72_000, 60_000, 16_000, false), Ample, 16_500, 1_000, 0},
		{"ample, excess", half, input(100_000, 32_000, 30_000, false), Ample, 16_500, 0, 13_500},
		{"ample, cautious", cautious, input(300_000, 0, 0, false), Ample, 15_000, 15_000, 0},
		{"ample, minimum above the demand", policy, input(1_200_000, 0, 0, false), Ample, 200_000, 200_000, 0},
		{"ample, cautious, no minimum", cautious, input(1_200_000, 0, 0, false), Ample, 20_000, 20_000, 0},
		{"low use, owner", policy, lowUse(true), Ample, 400_000, 400_000, 0},
		{"low use, not owner", policy, lowUse(false), Ample, 2_000, 2_000, 0},
		{"scarce, owner", policy, input(40_000, 20_000, 10_000, true), Scarce, 30_000, 20_000, 0},
		{"scarce, owner, remainder in the ledger", policy, input(2_000, 58_000, 29_000, true), Scarce, 30_000, 1_000, 0},
		{"scarce, owner, ledger empty", policy, input(100, 59_900, 29_000, true), Scarce, 30_000, 0, 0},
		{"scarce, owner, excess with a remainder in the ledger", policy, input(2_000, 58_000, 32_500, true), Scarce, 30_000, 0, 2_500},
		{"scarce, not owner", policy, input(40_000, 20_000, 10_000, false), Scarce, 0, 0, 10_000},
		{"nearly exhausted", policy, input(2_000, 2_000, 2_000, true), NearlyExhausted, 0, 0, 2_000},
	} {
		require.Equal(t, c.scarce, c.policy.Scarcity(c.s), c.name)
		require.Equal(t, c.target, c.policy.Target(c.s), c.name)
		require.Equal(t, c.draw, c.policy.Draw(c.s), c.name)
		require.Equal(t, c.excess, c.policy.Excess(c.s), c.name)
	}
	require.True(t, half.Urgent(input(132_000, 0, 8_000, false)))
	require.False(t, half.Urgent(input(132_000, 0, 9_000, false)))
	require.True(t, policy.Urgent(input(2_000, 2_000, 2_000, true)))
}

// A router that is not an owner asks the owner for tokens of a budget that is
// scarce or in low use, although the ledger has free tokens.
func TestOwnerIsAskedFirstForScarceOrLowUseBudgets(t *testing.T) {
	for _, c := range []struct {
		name     string
		tokens   int64
		rate     float64
		borrowed bool
	}{
		{"scarce", 50_000, 100, true},
		{"ample", 1_000_000, 100, false},
		{"low use", 1_000_000, 1, true},
		{"nearly exhausted", 4_000, 100, false},
	} {
		f := newFixture(t, 2, testPolicy)
		f.remoteRouter = true
		owner := ownerRouter("a", f.Routers(), "dc")
		other := 3 - owner
		f.topUp("x", c.tokens)
		f.routers[owner].Settle(f.mustAcquire(owner, c.tokens/2), 0)
		b := f.routers[other].balanceOf("a")
		b.demand.longAverage, b.demand.recentBound = c.rate, 1000
		b.fleetDemand.longAverage = c.rate
		r := f.mustAcquire(other, 1000)
		require.Equal(t, c.borrowed, r.Holder() == owner, c.name)
	}
}

func TestOwnersFollowPeerSet(t *testing.T) {
	f := newFixture(t, 4, testPolicy)
	g := f.routers[1]
	b := g.balanceOf("a")
	first := g.owners(b, g.peerSet())
	require.Len(t, first, 2, "two owners in the only data centre")
	f.sealed[first[0]] = true
	require.Equal(t, first, g.owners(b, g.peerSet()), "the peer set is cached")
	f.now = f.now.Add(peerSetMaxAge)
	second := g.owners(b, g.peerSet())
	require.NotContains(t, second, first[0])
	require.Equal(t, ownerRouter("a", f.Routers(), "dc"), second[0])
	f.remoteRouter = true
	f.now = f.now.Add(peerSetMaxAge)
	require.Equal(t, second[:1], g.owners(b, g.peerSet()), "one owner in each of two data centres")
}

// With two routers in the only data centre, either one can be lost and the
// other still has half of the tokens.
func TestLossOfOneOwnerLeavesHalfReachable(t *testing.T) {
	f := newFixture(t, 2, Policy{Horizon: 600 * time.Second})
	f.topUp("x", 12_000)
	f.routers[1].balanceOf("a")
	f.routers[2].balanceOf("a")
	for range 3 * dormantTicks {
		f.tick(time.Second)
	}
	for i := ident.Incarnation(1); i <= 2; i++ {
		f.unreachable[3-i] = true
		f.routers[i].Settle(f.mustAcquire(i, 5_000), 0)
		f.unreachable[3-i] = false
	}
}

// A sealed lender is not asked even while the cached peerSet still contains it.
func TestSealedLendersAreNotAsked(t *testing.T) {
	f := newFixture(t, 2, testPolicy)
	f.topUp("x", 1000)
	f.routers[2].Settle(f.mustAcquire(2, 1000), 0)
	f.routers[1].peerSet()
	f.sealed[2] = true
	lenders := f.routers[1].lenders(f.routers[1].balanceOf("a"))
	require.Len(t, lenders, 1)
	require.False(t, lenders[0].reachable)
}

func TestRevokedLoansAreRemovedOnceUnused(t *testing.T) {
	f := newFixture(t, 3, testPolicy)
	f.topUp("x", 1000)
	f.routers[2].Settle(f.mustAcquire(2, 500), 0)
	f.routers[3].Settle(f.mustAcquire(3, 500), 0)
	b := f.routers[1].balanceOf("a")
	b.addLoan(2, 100, false)
	b.addLoan(3, 100, false)
	r, _, ok := b.reserve(80)
	require.True(t, ok)
	f.sealed[r.Holder()] = true
	f.routers[1].revokeSealedLoans(b)
	require.Len(t, b.loans, 2, "one is in use, the other is not revoked")
	f.routers[1].Settle(r, 10)
	f.routers[1].revokeSealedLoans(b)
	require.Len(t, b.loans, 1)
	require.NotEqual(t, r.Holder(), b.loans[0].holder)
}

// A dormant team is skipped for dormantTicks ticks and then processed, so that
// a draw whose reply was lost is credited.
func TestDormantTeamIsCheckedPeriodically(t *testing.T) {
	f := newFixture(t, 1, Policy{Horizon: 600 * time.Second, Caution: 1})
	f.topUp("x", 1000)
	f.routers[1].balanceOf("a")
	f.tick(time.Second)
	f.appendRecord(1, ledger.KindDraw, ledger.Draw{Team: "a", Requested: 300})
	for range dormantTicks {
		f.tick(time.Second)
	}
	require.Zero(t, f.routers[1].balanceOf("a").granted)
	f.tick(time.Second)
	require.EqualValues(t, 300, f.routers[1].balanceOf("a").granted)
}

func TestOneRepaymentInFlightPerLoan(t *testing.T) {
	f := newFixture(t, 2, testPolicy)
	b := f.routers[1].balanceOf("a")
	b.addLoan(2, 100, false)
	calls := b.collectRepayments(f.now, 0)
	require.Equal(t, []wire.RepayArgs{{Team: "a", Total: 100}}, []wire.RepayArgs{calls[0].args})
	require.Empty(t, b.collectRepayments(f.now, 0))
	f.unreachable[2] = true
	f.routers[1].repay(context.Background(), b, calls[0])
	require.Len(t, b.collectRepayments(f.now, 0), 1, "the unconfirmed repayment is sent again")
}

// A run counts for the router that began it, not for the holder of the grant.
func TestBilledInDataCentreCountsByRouter(t *testing.T) {
	f := newFixture(t, 2, testPolicy)
	f.topUp("x", 1000)
	for holder := range ident.Incarnation(4) {
		f.appendRecord(holder+1, ledger.KindDraw, ledger.Draw{Team: "a", Requested: 100})
	}
	for n, run := range []struct{ holder, router ident.Incarnation }{{1, 1}, {1, 3}, {3, 2}, {4, 4}} {
		f.appendRecord(50, ledger.KindSettle, ledger.Settle{
			Team: "a", Holder: run.holder, Router: run.router, Tokens: 1 << n,
			Run: ident.RunID{Gate: 50, Number: uint64(n + 1)}, Key: testKey(n + 1),
		})
	}
	require.EqualValues(t, 1+4, f.routers[1].peerSet().billedInDataCentre(f.state, "a"))
}

// While the log is unavailable, a request waits maxWait if a reachable run may
// release tokens, and maxUnreachableWait otherwise.
func TestShouldWaitWhileLogIsDown(t *testing.T) {
	for _, c := range []struct {
		name string
		busy ident.Incarnation // router with a run in progress
		mute bool              // the peer does not answer
		want time.Duration
	}{
		{"no run in progress", 0, false, maxUnreachableWait},
		{"a run at this router", 1, false, maxWait},
		{"a run at a peer", 2, false, maxWait},
		{"a run at a peer that does not answer", 2, true, maxUnreachableWait},
	} {
		f := newFixture(t, 2, testPolicy)
		f.topUp("x", 1000)
		f.routers[1].Settle(f.mustAcquire(1, 400), 0)
		f.routers[2].Settle(f.mustAcquire(2, 400), 0)
		f.logDown = true
		if c.busy != 0 {
			f.mustAcquire(c.busy, 300)
		}
		f.unreachable[2] = c.mute
		f.now = f.now.Add(time.Minute)
		f.routers[1].balanceOf("a").lendersInUse = 7 // left from an earlier round; must be reset
		_, refused := f.routers[1].TryAcquire(context.Background(), "a", 500)
		require.Equal(t, refusal.BudgetUnreachable, refused.Code, c.name)
		require.True(t, f.routers[1].ShouldWait("a", refused, c.want-1), c.name)
		require.False(t, f.routers[1].ShouldWait("a", refused, c.want), c.name)
	}
}

// Teams of the settings get their minimum before the first request,
// newTeamsPerTick of them per tick. They can then be admitted while the log is
// unavailable.
func TestConfiguredTeamsGetMinTokensBeforeFirstRequest(t *testing.T) {
	f := newFixture(t, 1, Policy{Horizon: 600 * time.Second})
	g := f.routers[1]
	g.config.Teams = func() []ident.TeamID {
		teams := []ident.TeamID{"a"}
		for n := range newTeamsPerTick {
			teams = append(teams, ident.TeamID(rune('b'+n)))
		}
		return teams
	}
	f.topUp("x", 1000)
	f.tick(time.Second)
	require.Len(t, g.allBalances(), newTeamsPerTick)
	own, _ := f.free(1)
	require.EqualValues(t, 1000, own)
	f.tick(time.Second)
	require.Len(t, g.allBalances(), newTeamsPerTick+1)
	f.logDown = true
	f.mustAcquire(1, 900)
}
