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

// testPolicy holds no floor beside the demand.
var testPolicy = Policy{Horizon: 600 * time.Second, Caution: 1}

// acquire is Try with a refusal's code.
func (w *world) acquire(i ident.Incarnation, tokens int64) (Reservation, refusal.Code) {
	r, refused := w.routers[i].TryAcquire(context.Background(), "a", tokens)
	if refused == nil {
		return r, ""
	}
	require.Equal(w.t, refusal.NotRun, refused.Ran)
	return r, refused.Code
}

func (w *world) mustAcquire(i ident.Incarnation, tokens int64) Reservation {
	r, code := w.acquire(i, tokens)
	require.Empty(w.t, code)
	return r
}

func TestReserveSettleHold(t *testing.T) {
	w := newWorld(t, 1, testPolicy)
	w.topUp("x", 1000)
	r := w.mustAcquire(1, 400)
	require.EqualValues(t, 1, r.Holder())
	w.routers[1].MarkUnresolved(r)
	_, code := w.acquire(1, 601)
	require.Equal(t, refusal.BudgetExhausted, code, "the bound is reserved")
	w.routers[1].Settle(r, 100)
	w.mustAcquire(1, 900)
	own, _ := w.free(1)
	require.Zero(t, own, "400 - 300 unused + 600 drawn")
}

func TestTheBestFittingSourcePays(t *testing.T) {
	h := newHand("a", 1)
	h.own.free = 500
	h.addLoan(2, 90, false)
	h.addLoan(3, 100, false)
	for _, want := range []ident.Incarnation{2, 3, 1} {
		r, _, ok := h.reserve(80)
		require.True(t, ok)
		require.Equal(t, want, r.Holder())
	}
	_, _, ok := h.reserve(421)
	require.False(t, ok, "two sources never pay for one run")
}

// TestRefusalsSayWhatIsKnown lists what a router may conclude under faults.
func TestRefusalsSayWhatIsKnown(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault func(w *world)
		want  refusal.Code
	}{
		{"the ledger shows it", func(w *world) {}, refusal.BudgetExhausted},
		{"log down", func(w *world) { w.down = true }, refusal.BudgetUnreachable},
		{"a holder cannot be asked", func(w *world) {
			w.mustAcquire(2, 500)
			w.mute[2] = true
		}, refusal.BudgetUnreachable},
		{"a sealed holder", func(w *world) {
			w.mustAcquire(2, 500)
			w.sealed[2] = true
		}, refusal.BudgetUnreachable},
		{"a holder without enough", func(w *world) {
			w.mustAcquire(2, 100)
			w.mute[2] = true
		}, refusal.BudgetExhausted},
		{"sealed itself", func(w *world) { w.routers[1].Fence() }, refusal.Stopping},
		{"closed itself", func(w *world) { w.do(9, ledger.KindClose, ledger.Close{Holder: 1}) }, refusal.Stopping},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, 2, testPolicy)
			w.topUp("x", 600)
			c.fault(w)
			w.mustNotAcquireAll(1)
			_, code := w.acquire(1, 300)
			require.Equal(t, c.want, code)
		})
	}
}

// mustNotAcquireAll leaves less than 300 free tokens in the ledger.
func (w *world) mustNotAcquireAll(i ident.Incarnation) {
	if free := w.state.Budget("a").Free; !w.down && free >= 300 {
		_, _ = w.acquire(i, free-100)
	}
}

func TestALostReplyOfTheLogCreditsOnce(t *testing.T) {
	w := newWorld(t, 1, testPolicy)
	w.topUp("x", 1000)
	w.lose = true
	r, code := w.acquire(1, 300)
	require.Empty(t, code, "the fold shows the grant, though the verdict was lost")
	w.lose = false
	w.routers[1].Settle(r, 300)
	for range 3 {
		w.routers[1].sync(w.routers[1].hand("a"))
	}
	own, _ := w.free(1)
	grant := w.state.Grant("a", 1)
	require.Equal(t, grant.Outstanding()-300, own)
	w.routers[1].hand("a").sync(ledger.Grant{Granted: 10})
	older, _ := w.free(1)
	require.Equal(t, own, older, "an older reading changes nothing")
}

func TestIdleTokensGoBack(t *testing.T) {
	w := newWorld(t, 2, testPolicy)
	w.topUp("x", 100_000)
	w.routers[2].Settle(w.mustAcquire(2, 50_000), 10)
	w.routers[1].Settle(w.mustAcquire(1, 60_000), 10)
	for range 1200 {
		w.tick(time.Second)
	}
	w.tick(30 * time.Minute)
	for range 2 * dormantTicks {
		w.tick(time.Second)
	}
	budget := w.state.Budget("a")
	require.Less(t, budget.Outstanding, int64(1_500), "two runs of the decayed bound, by home router")
	_, borrowed := w.free(1)
	require.Zero(t, borrowed)
}

func TestDrawsAreMadeBeforeTheyAreNeeded(t *testing.T) {
	w := newWorld(t, 2, testPolicy)
	w.topUp("x", 10_000_000)
	for range 60 {
		w.routers[1].Settle(w.mustAcquire(1, 1000), 500)
		w.tick(time.Second)
	}
	own, _ := w.free(1)
	require.Greater(t, own, int64(300_000), "ten minutes at 500 tokens a second")
	appends := w.appends
	for range 60 {
		w.routers[1].Settle(w.mustAcquire(1, 1000), 500)
	}
	require.Equal(t, appends, w.appends, "admission from the hand appends nothing")
}

func TestReserveAllocatesNothing(t *testing.T) {
	w := newWorld(t, 1, testPolicy)
	w.topUp("x", 1000)
	w.routers[1].Settle(w.mustAcquire(1, 1000), 0)
	require.Zero(t, testing.AllocsPerRun(100, func() {
		r, _ := w.routers[1].Reserve("a", 10)
		w.routers[1].Settle(r, 0)
	}))
}

func TestConcurrentReservationsNeverExceedTheHand(t *testing.T) {
	w := newWorld(t, 1, testPolicy)
	w.topUp("x", 1000)
	w.routers[1].Settle(w.mustAcquire(1, 1000), 0)
	var (
		wg   sync.WaitGroup
		mu   sync.Mutex
		held int64
	)
	for range 8 {
		wg.Go(func() {
			for range 100 {
				if r, outcome := w.routers[1].Reserve("a", 7); outcome == Reserved {
					mu.Lock()
					held += r.Tokens()
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	require.EqualValues(t, 994, held)
}

func TestHomeRoutersAgree(t *testing.T) {
	routers := []Router{{1, "x"}, {2, "x"}, {3, "y"}}
	require.EqualValues(t, 3, homeRouter("a", routers, "y"))
	require.Zero(t, homeRouter("a", routers, "z"))
	seen := map[ident.Incarnation]int{}
	for _, team := range []ident.TeamID{"a", "b", "c", "d", "e", "f", "g", "h"} {
		seen[homeRouter(team, routers, "x")]++
		require.Equal(t, homeRouter(team, routers, "x"), homeRouter(team, []Router{{2, "x"}, {1, "x"}}, "x"))
	}
	require.Len(t, seen, 2)
}
