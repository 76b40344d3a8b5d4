package budget

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/refusal"
)

// testPolicy keeps no minimum beyond the demand.
var testPolicy = Policy{Horizon: 600 * time.Second, Caution: 1}

// acquire calls TryAcquire and returns the code of a refusal.
func (f *fixture) acquire(i ident.Incarnation, tokens int64) (Reservation, refusal.Code) {
	r, refused := f.routers[i].TryAcquire(context.Background(), "a", tokens)
	if refused == nil {
		return r, ""
	}
	require.Equal(f.t, refusal.NotRun, refused.Ran)
	return r, refused.Code
}

func (f *fixture) mustAcquire(i ident.Incarnation, tokens int64) Reservation {
	r, code := f.acquire(i, tokens)
	require.Empty(f.t, code)
	return r
}

func TestReservedTokensAreUnavailableUntilSettled(t *testing.T) {
	f := newFixture(t, 1, testPolicy)
	f.topUp("x", 1000)
	r := f.mustAcquire(1, 400)
	require.EqualValues(t, 1, r.Holder())
	f.routers[1].MarkUnresolved(r)
	_, code := f.acquire(1, 601)
	require.Equal(t, refusal.BudgetExhausted, code, "the bound is reserved")
	f.routers[1].Settle(r, 100)
	f.mustAcquire(1, 900)
	own, _ := f.free(1)
	require.Zero(t, own, "400 - 300 unused + 600 drawn")
}

func TestReserveUsesSmallestSufficientSource(t *testing.T) {
	b := newLocalBalance("a", 1)
	b.own.free = 500
	b.addLoan(2, 90, false)
	b.addLoan(3, 100, false)
	for _, want := range []ident.Incarnation{2, 3, 1} {
		r, _, ok := b.reserve(80)
		require.True(t, ok)
		require.Equal(t, want, r.Holder())
	}
	_, _, ok := b.reserve(421)
	require.False(t, ok, "a run is never paid from two sources")
}

// A refusal may say that the budget is exhausted only if no unreachable router
// can hold enough tokens. Otherwise it is reported as unreachable.
func TestRefusalCodeDependsOnReachability(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault func(f *fixture)
		want  refusal.Code
	}{
		{"the ledger is short", func(f *fixture) {}, refusal.BudgetExhausted},
		{"log unavailable", func(f *fixture) { f.logDown = true }, refusal.BudgetUnreachable},
		{"holder unreachable", func(f *fixture) {
			f.mustAcquire(2, 500)
			f.unreachable[2] = true
		}, refusal.BudgetUnreachable},
		{"holder sealed", func(f *fixture) {
			f.mustAcquire(2, 500)
			f.sealed[2] = true
		}, refusal.BudgetUnreachable},
		{"unreachable holder has too little", func(f *fixture) {
			f.mustAcquire(2, 100)
			f.unreachable[2] = true
		}, refusal.BudgetExhausted},
		{"this router is sealed", func(f *fixture) { f.routers[1].Fence() }, refusal.Stopping},
		{"this router is closed", func(f *fixture) { f.appendRecord(9, ledger.KindClose, ledger.Close{Holder: 1}) }, refusal.Stopping},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, 2, testPolicy)
			f.topUp("x", 600)
			c.fault(f)
			f.leaveLessThan300Free(1)
			_, code := f.acquire(1, 300)
			require.Equal(t, c.want, code)
		})
	}
}

// leaveLessThan300Free makes a router draw until less than 300 tokens are free
// in the ledger.
func (f *fixture) leaveLessThan300Free(i ident.Incarnation) {
	if free := f.state.Budget("a").Free; !f.logDown && free >= 300 {
		_, _ = f.acquire(i, free-100)
	}
}

func TestLostLogReplyCreditsGrantOnce(t *testing.T) {
	f := newFixture(t, 1, testPolicy)
	f.topUp("x", 1000)
	f.dropLogReplies = true
	r, code := f.acquire(1, 300)
	require.Empty(t, code, "the fold shows the grant, though the verdict was lost")
	f.dropLogReplies = false
	f.routers[1].Settle(r, 300)
	for range 3 {
		f.routers[1].syncGrant(f.routers[1].balanceOf("a"))
	}
	own, _ := f.free(1)
	grant := f.state.Grant("a", 1)
	require.Equal(t, grant.Outstanding()-300, own)
	f.routers[1].balanceOf("a").applyGrant(ledger.Grant{Granted: 10})
	older, _ := f.free(1)
	require.Equal(t, own, older, "an older reading changes nothing")
}

func TestIdleTokensReturnToLedger(t *testing.T) {
	f := newFixture(t, 2, testPolicy)
	f.topUp("x", 100_000)
	f.routers[2].Settle(f.mustAcquire(2, 50_000), 10)
	f.routers[1].Settle(f.mustAcquire(1, 60_000), 10)
	for range 1200 {
		f.tick(time.Second)
	}
	f.tick(30 * time.Minute)
	for range 2 * dormantTicks {
		f.tick(time.Second)
	}
	budget := f.state.Budget("a")
	require.Less(t, budget.Outstanding, int64(1_500), "two runs of the decayed bound per owner router")
	_, borrowed := f.free(1)
	require.Zero(t, borrowed)
}

func TestControllerDrawsAheadOfDemand(t *testing.T) {
	f := newFixture(t, 2, testPolicy)
	f.topUp("x", 10_000_000)
	for range 60 {
		f.routers[1].Settle(f.mustAcquire(1, 1000), 500)
		f.tick(time.Second)
	}
	own, _ := f.free(1)
	require.Greater(t, own, int64(300_000), "ten minutes at 500 tokens a second")
	appends := f.appends
	for range 60 {
		f.routers[1].Settle(f.mustAcquire(1, 1000), 500)
	}
	require.Equal(t, appends, f.appends, "admission from the local balance appends nothing")
}

func TestReserveDoesNotAllocate(t *testing.T) {
	f := newFixture(t, 1, testPolicy)
	f.topUp("x", 1000)
	f.routers[1].Settle(f.mustAcquire(1, 1000), 0)
	require.Zero(t, testing.AllocsPerRun(100, func() {
		r, _ := f.routers[1].Reserve("a", 10)
		f.routers[1].Settle(r, 0)
	}))
}

func TestConcurrentReservationsNeverExceedLocalBalance(t *testing.T) {
	f := newFixture(t, 1, testPolicy)
	f.topUp("x", 1000)
	f.routers[1].Settle(f.mustAcquire(1, 1000), 0)
	var (
		wg       sync.WaitGroup
		mu       sync.Mutex
		reserved int64
	)
	for range 8 {
		wg.Go(func() {
			for range 100 {
				if r, outcome := f.routers[1].Reserve("a", 7); outcome == Reserved {
					mu.Lock()
					reserved += r.Tokens()
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	require.EqualValues(t, 994, reserved)
}

func TestOwnerRouterIsIndependentOfOrder(t *testing.T) {
	routers := []Router{{1, "x"}, {2, "x"}, {3, "y"}}
	require.EqualValues(t, 3, ownerRouter("a", routers, "y"))
	require.Zero(t, ownerRouter("a", routers, "z"))
	seen := map[ident.Incarnation]int{}
	for _, team := range []ident.TeamID{"a", "b", "c", "d", "e", "f", "g", "h"} {
		seen[ownerRouter(team, routers, "x")]++
		require.Equal(t, ownerRouter(team, routers, "x"), ownerRouter(team, []Router{{2, "x"}, {1, "x"}}, "x"))
	}
	require.Len(t, seen, 2)
}
