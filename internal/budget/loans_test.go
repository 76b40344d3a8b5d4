package budget

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/refusal"
	"github.com/camphorlever/camphorlever/internal/wire"
)

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
	_, refused := w.routers[1].TryAcquire(context.Background(), "b", 300)
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
		{"never ran", func(w *world) { w.routers[1].RecordNeverRan("a", testKey(1), 50) }, 1000},
		{"never ran elsewhere", func(w *world) {
			w.routers[1].RecordNeverRan("a", testKey(1), 51)
			w.routers[1].RecordNeverRan("a", testKey(2), 50)
		}, 700},
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
			w.do(7, ledger.KindDraw, ledger.Draw{Team: "a", Requested: 99_000})
			w.routers[1].Settle(w.mustAcquire(1, 1000), 0)
			w.routers[1].TrackUnresolved(w.mustAcquire(1, 300), testKey(1), 50)
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
	require.Equal(t, Insufficient, outcome)
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
	require.Equal(t, Insufficient, outcome)
}
