package budget

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/refusal"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// testPolicy holds no floor beside the demand.
var testPolicy = Policy{Horizon: 600 * time.Second, Caution: 1}

// acquire is Try with a refusal's code.
func (w *world) acquire(i ident.Incarnation, tokens int64) (Reservation, refusal.Code) {
	r, refused := w.routers[i].Try(context.Background(), "a", tokens)
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
	w.routers[1].Hold(r)
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

func TestALostReplyOfALenderCreditsOnce(t *testing.T) {
	w := newWorld(t, 2, testPolicy)
	w.topUp("x", 1000)
	w.routers[2].Settle(w.mustAcquire(2, 1000), 0)
	w.losing = true
	_, code := w.acquire(1, 300)
	require.Equal(t, refusal.BudgetUnreachable, code)
	own, _ := w.free(2)
	require.EqualValues(t, 700, own, "lent, reply lost")
	w.losing = false
	w.now = w.now.Add(lenderRest)
	_, refused := w.routers[1].Try(context.Background(), "b", 300)
	require.Equal(t, refusal.BudgetExhausted, refused.Code, "the loan is another team's")
	g := w.routers[1]
	require.Equal(t, lent0, g.borrow(context.Background(), g.hand("b"), 2, 300, false))
	_, borrowed := w.free(1)
	require.EqualValues(t, 300, borrowed, "it was asked for again on the way")
	w.mustAcquire(1, 300)
	own, _ = w.free(2)
	require.EqualValues(t, 700, own, "the same loan")
}

func TestRepaymentsAreCreditedOnce(t *testing.T) {
	w := newWorld(t, 2, testPolicy)
	w.topUp("x", 1000)
	w.routers[2].Settle(w.mustAcquire(2, 1000), 0)
	w.routers[1].Settle(w.mustAcquire(1, 300), 50)
	g := w.routers[2]
	for _, step := range []struct{ total, own int64 }{{100, 800}, {100, 800}, {60, 800}, {250, 950}, {999, 1000}} {
		g.Repay(wire.RepayArgs{Borrower: 1, Team: "a", Total: step.total})
		own, _ := w.free(2)
		require.Equal(t, step.own, own)
	}
	g.Repay(wire.RepayArgs{Borrower: 7, Team: "a", Total: 5})
	own, _ := w.free(2)
	require.EqualValues(t, 1000, own, "a stranger repays nothing")
}

func TestLoansAreIdempotentByNumber(t *testing.T) {
	w := newWorld(t, 1, testPolicy)
	w.topUp("x", 1000)
	w.routers[1].Settle(w.mustAcquire(1, 1000), 0)
	ask := func(loan uint64) int64 {
		return w.routers[1].Borrow(wire.BorrowArgs{Borrower: 5, Loan: loan, Team: "a", Asked: 100, Least: 100}).Tokens
	}
	require.EqualValues(t, []int64{100, 100, 0, 100, 0}, []int64{ask(1), ask(1), ask(3), ask(2), ask(1)})
	own, _ := w.free(1)
	require.EqualValues(t, 800, own)
	w.sealed[5] = true
	require.Zero(t, ask(3), "a sealed borrower gets nothing")
}

// TestALoanOfAGoneBorrower is taken back once the ledger holds its Close, and
// then less what the borrower's runs used.
func TestALoanOfAGoneBorrower(t *testing.T) {
	w := newWorld(t, 2, testPolicy)
	w.topUp("x", 1000)
	w.routers[2].Settle(w.mustAcquire(2, 1000), 0)
	w.mustAcquire(1, 300)
	settle := ledger.Settle{Team: "a", Holder: 2, Router: 1, Run: ident.RunID{Gate: 50, Number: 1}, Key: ident.Key{1}, Tokens: 120}
	w.sealed[1] = true
	g := w.routers[2]
	g.reclaim(g.hand("a"))
	own, _ := w.free(2)
	require.EqualValues(t, 700, own, "sealed is not closed")
	w.do(50, ledger.KindSettle, settle)
	w.do(9, ledger.KindClose, ledger.Close{Holder: 1})
	for range 2 {
		g.reclaim(g.hand("a"))
		own, _ = w.free(2)
		require.EqualValues(t, 880, own)
	}
	require.Equal(t, own, w.state.Grant("a", 2).Outstanding())
}

// TestALenderClosesAGoneBorrower: a borrower that holds no grant of its own
// may be closed by nobody else.
func TestALenderClosesAGoneBorrower(t *testing.T) {
	w := newWorld(t, 2, testPolicy)
	w.topUp("x", 1000)
	w.routers[2].Settle(w.mustAcquire(2, 1000), 0)
	w.mustAcquire(1, 300)
	w.sealed[1], w.closed[1] = true, true
	g := w.routers[2]
	for range 2 {
		g.reclaim(g.hand("a"))
	}
	require.True(t, w.state.Closed(1))
	own, _ := w.free(2)
	require.EqualValues(t, 1000, own)
}

// TestHeldReservations lists what the ledger may show of a run of unknown
// outcome with a bound of 300 tokens.
func TestHeldReservations(t *testing.T) {
	run := ident.RunID{Gate: 50, Number: 1}
	for _, c := range []struct {
		name string
		show func(w *world)
		free int64
	}{
		{"nothing", func(*world) {}, 700},
		{"settled", func(w *world) { w.settle(run, 1, 120) }, 880},
		{"settled by a stranger's gate", func(w *world) { w.settle(ident.RunID{Gate: 51, Number: 1}, 1, 120) }, 700},
		{"gate closed", func(w *world) { w.do(9, ledger.KindClose, ledger.Close{Holder: 50}) }, 1000},
		{"never ran", func(w *world) { w.routers[1].NeverRan("a", testKey(1), 50) }, 1000},
		{"never ran elsewhere", func(w *world) { w.routers[1].NeverRan("a", testKey(1), 51); w.routers[1].NeverRan("a", testKey(2), 50) }, 700},
		{"settled, then gate closed", func(w *world) {
			w.settle(run, 1, 120)
			w.do(9, ledger.KindClose, ledger.Close{Holder: 50})
		}, 880},
		{"gate closed, bills forgotten", func(w *world) {
			for n := range ledger.BilledKeyWindow + 1 {
				w.settle(ident.RunID{Gate: 60, Number: uint64(n + 1)}, n+2, 1)
			}
			w.do(9, ledger.KindClose, ledger.Close{Holder: 50})
		}, 700},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, 1, testPolicy)
			w.topUp("x", 100_000)
			w.do(7, ledger.KindDraw, ledger.Draw{Team: "a", Asked: 99_000})
			w.routers[1].Settle(w.mustAcquire(1, 1000), 0)
			w.routers[1].HoldRun(w.mustAcquire(1, 300), testKey(1), 50)
			c.show(w)
			for range 2 {
				w.routers[1].resolve(w.routers[1].hand("a"))
				own, _ := w.free(1)
				require.Equal(t, c.free, own)
			}
		})
	}
}

// TestDrain gives everything back, and fails while others may still start
// runs under the grant.
func TestDrain(t *testing.T) {
	for _, c := range []struct {
		name string
		busy func(w *world)
		ok   bool
	}{
		{"idle", func(*world) {}, true},
		{"a run is in progress", func(w *world) { w.mustAcquire(1, 10) }, false},
		{"a loan is in use", func(w *world) { w.mustAcquire(2, 400) }, false},
		{"a loan is out and comes back when recalled", func(w *world) {
			w.routers[2].Settle(w.mustAcquire(2, 400), 0)
			time.AfterFunc(500*time.Millisecond, func() { w.routers[2].Tick(context.Background()) })
		}, true},
		{"sealed", func(w *world) { w.routers[1].Fence() }, false},
		{"a loan was used and settled", func(w *world) {
			r := w.mustAcquire(2, 400)
			w.settle(ident.RunID{Gate: 50, Number: 1}, 1, 400)
			w.routers[2].Settle(r, 400)
		}, true},
		{"a loan was repaid", func(w *world) {
			w.routers[2].Settle(w.mustAcquire(2, 400), 0)
			w.routers[2].repayIdle(context.Background(), w.routers[2].hand("a"), w.now, 0)
		}, true},
		{"the lender does not answer", func(w *world) {
			w.routers[2].Settle(w.mustAcquire(2, 400), 0)
			w.routers[1], w.routers[2] = w.routers[2], w.routers[1]
			w.mute[1] = true
		}, false},
		{"the log is down", func(w *world) { w.down = true }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 2, testPolicy)
				w.topUp("x", 1000)
				w.routers[1].Settle(w.mustAcquire(1, 1000), 0)
				c.busy(w)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				err := w.routers[1].Drain(ctx)
				require.Equal(t, c.ok, err == nil, "%v", err)
				_, outcome := w.routers[1].Reserve("a", 1)
				require.Equal(t, Fenced, outcome)
			})
		})
	}
}

func TestARecalledLoanPaysForNothingMore(t *testing.T) {
	w := newWorld(t, 2, testPolicy)
	w.topUp("x", 1000)
	w.routers[2].Settle(w.mustAcquire(2, 1000), 0)
	r := w.mustAcquire(1, 300)
	w.routers[2].recall(context.Background())
	w.routers[1].Settle(r, 50)
	_, outcome := w.routers[1].Reserve("a", 100)
	require.Equal(t, Short, outcome)
	w.routers[1].repayIdle(context.Background(), w.routers[1].hand("a"), w.now, time.Hour)
	own, _ := w.free(2)
	require.EqualValues(t, 950, own, "repaid though it was used just now")
	w.routers[1].recalled("a", 77) // of no loan
	w.routers[1].recalled("b", 2)
}

func TestASealedLendersLoanPaysForNothing(t *testing.T) {
	w := newWorld(t, 2, testPolicy)
	w.topUp("x", 1000)
	w.routers[2].Settle(w.mustAcquire(2, 1000), 0)
	w.routers[1].Settle(w.mustAcquire(1, 300), 0)
	w.sealed[2] = true
	w.tick(time.Second)
	_, outcome := w.routers[1].Reserve("a", 100)
	require.Equal(t, Short, outcome)
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

// TestAcquireWaitsForRunsInProgress plays time with synctest: what is given
// back within the patience admits the request, and nothing else does.
func TestAcquireWaitsForRunsInProgress(t *testing.T) {
	for _, c := range []struct {
		name    string
		settles time.Duration // when the run in progress ends; 0 means never
		router  ident.Incarnation
		took    time.Duration
		code    refusal.Code
	}{
		{"here", 3 * time.Second, 1, 3 * time.Second, ""},
		{"at a peer", 3 * time.Second, 2, 4 * time.Second, ""},
		{"never", 0, 1, patience, refusal.BudgetExhausted},
		{"too late", patience + time.Second, 1, patience, refusal.BudgetExhausted},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 2, testPolicy)
				w.topUp("x", 1000)
				r := w.mustAcquire(c.router, 1000)
				if c.settles > 0 {
					time.AfterFunc(c.settles, func() { w.routers[c.router].Settle(r, 100) })
				}
				began := time.Now()
				_, refused := w.routers[1].Acquire(t.Context(), "a", 500)
				require.LessOrEqual(t, time.Since(began), c.took)
				if c.code == "" {
					require.Nil(t, refused)
				} else {
					require.Equal(t, c.code, refused.Code)
					require.Equal(t, c.took, time.Since(began))
				}
				time.Sleep(patience) // lets the timer of the test end
			})
		})
	}
}

func TestAcquireOfASpentBudgetRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, testPolicy)
		w.topUp("x", 100)
		began := time.Now()
		_, refused := w.routers[1].Acquire(t.Context(), "a", 500)
		require.Equal(t, refusal.BudgetExhausted, refused.Code)
		require.Zero(t, time.Since(began))
	})
}

// TestWaitersAreBounded fills the line and asks once more.
func TestWaitersAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, testPolicy)
		w.topUp("x", 1000)
		w.mustAcquire(1, 1000)
		w.routers[1].hand("a").waiters = maxWaiters
		began := time.Now()
		_, refused := w.routers[1].Acquire(t.Context(), "a", 500)
		require.NotNil(t, refused)
		require.Zero(t, time.Since(began))
	})
}

// TestReturnsRiskLittleWhileTheLogIsSilent: tokens on their way to a log that
// does not answer are in nobody's hands.
func TestReturnsRiskLittleWhileTheLogIsSilent(t *testing.T) {
	w := newWorld(t, 2, testPolicy)
	w.topUp("x", 100_000)
	w.routers[1].Settle(w.mustAcquire(1, 100_000), 10)
	w.tick(time.Second)
	w.down = true
	before, _ := w.free(1)
	for range 25 {
		w.tick(time.Second)
	}
	after, _ := w.free(1)
	require.LessOrEqual(t, before-after, before/probeParts+1)
}

func TestHealthCapsReturns(t *testing.T) {
	at := func(seconds int) time.Time { return time.Unix(int64(1000+seconds), 0) }
	for _, c := range []struct {
		name             string
		answered, failed int // -1 is never
		now              int
		want             int64
	}{
		{"never heard of", -1, -1, 0, 10},
		{"just answered", 0, -1, 1, 1000},
		{"answered long ago", 0, -1, 60, 10},
		{"just failed", 0, 1, 2, 0},
		{"failed long ago", 0, 1, 60, 10},
		{"failed, then answered", 2, 1, 3, 1000},
		{"failed, then answered long ago", 2, 1, 20, 10},
	} {
		var l health
		if c.failed >= 0 {
			l.note(at(c.failed), false)
		}
		if c.answered >= 0 {
			l.note(at(c.answered), true)
		}
		require.Equal(t, c.want, l.cap(1000, at(c.now)), c.name)
	}
}

func TestBoundCountsOnlyNearTheLimit(t *testing.T) {
	w := newWorld(t, 1, testPolicy)
	w.topUp("x", 1_000_000)
	counted := 0
	count := func(context.Context) (int64, error) { counted++; return 30, nil }
	fails := func(context.Context) (int64, error) { return 0, errDown }
	over := func(context.Context) (int64, error) { return 500, nil }
	bound := func(c Counter) int64 { return w.routers[1].Bound(context.Background(), "a", 120, 80, c) }
	require.EqualValues(t, 110, bound(count), "nothing in hand")
	require.EqualValues(t, 200, bound(fails))
	require.EqualValues(t, 200, bound(over), "a count above the loose bound is no count")
	require.EqualValues(t, 200, bound(nil))
	w.routers[1].Settle(w.mustAcquire(1, nearFactor*200), 0)
	require.EqualValues(t, 200, bound(count))
	require.Equal(t, 1, counted)
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
