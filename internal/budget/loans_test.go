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

func TestLostLenderReplyCreditsLoanOnce(t *testing.T) {
	f := newFixture(t, 2, testPolicy)
	f.topUp("x", 1000)
	f.routers[2].Settle(f.mustAcquire(2, 1000), 0)
	f.dropPeerReplies = true
	_, code := f.acquire(1, 300)
	require.Equal(t, refusal.BudgetUnreachable, code)
	own, _ := f.free(2)
	require.EqualValues(t, 700, own, "lent although the reply was lost")
	f.dropPeerReplies = false
	f.now = f.now.Add(lenderRetryDelay)
	_, refused := f.routers[1].TryAcquire(context.Background(), "b", 300)
	require.Equal(t, refusal.BudgetExhausted, refused.Code, "the pending loan belongs to another team")
	g := f.routers[1]
	require.Equal(t, borrowedNone, g.borrow(context.Background(), g.balanceOf("b"), 2, 300, false))
	_, borrowed := f.free(1)
	require.EqualValues(t, 300, borrowed, "the pending loan was requested again first")
	f.mustAcquire(1, 300)
	own, _ = f.free(2)
	require.EqualValues(t, 700, own, "no second loan was made")
}

func TestRepaymentsAreCreditedOnce(t *testing.T) {
	f := newFixture(t, 2, testPolicy)
	f.topUp("x", 1000)
	f.routers[2].Settle(f.mustAcquire(2, 1000), 0)
	f.routers[1].Settle(f.mustAcquire(1, 300), 50)
	g := f.routers[2]
	for _, step := range []struct{ total, own int64 }{{100, 800}, {100, 800}, {60, 800}, {250, 950}, {999, 1000}} {
		g.Repay(wire.RepayArgs{Borrower: 1, Team: "a", Total: step.total})
		own, _ := f.free(2)
		require.Equal(t, step.own, own)
	}
	g.Repay(wire.RepayArgs{Borrower: 7, Team: "a", Total: 5})
	own, _ := f.free(2)
	require.EqualValues(t, 1000, own, "a router without a loan cannot repay")
}

func TestLoansAreIdempotentByNumber(t *testing.T) {
	f := newFixture(t, 1, testPolicy)
	f.topUp("x", 1000)
	f.routers[1].Settle(f.mustAcquire(1, 1000), 0)
	ask := func(loan uint64) int64 {
		return f.routers[1].Borrow(wire.BorrowArgs{Borrower: 5, Loan: loan, Team: "a", Asked: 100, Least: 100}).Tokens
	}
	require.EqualValues(t, []int64{100, 100, 0, 100, 0}, []int64{ask(1), ask(1), ask(3), ask(2), ask(1)})
	own, _ := f.free(1)
	require.EqualValues(t, 800, own)
	f.sealed[5] = true
	require.Zero(t, ask(3), "a sealed borrower gets nothing")
}

// A loan is reclaimed, less what the borrower's runs used, only after the
// ledger holds the borrower's Close. A seal alone is not sufficient, since
// bills may still follow.
func TestLoanIsReclaimedWhenBorrowerIsClosed(t *testing.T) {
	f := newFixture(t, 2, testPolicy)
	f.topUp("x", 1000)
	f.routers[2].Settle(f.mustAcquire(2, 1000), 0)
	f.mustAcquire(1, 300)
	settle := ledger.Settle{Team: "a", Holder: 2, Router: 1, Run: ident.RunID{Gate: 50, Number: 1}, Key: ident.Key{1}, Tokens: 120}
	f.sealed[1] = true
	g := f.routers[2]
	g.reclaim(g.balanceOf("a"))
	own, _ := f.free(2)
	require.EqualValues(t, 700, own, "the borrower is sealed but not closed")
	f.appendRecord(50, ledger.KindSettle, settle)
	f.appendRecord(9, ledger.KindClose, ledger.Close{Holder: 1})
	for range 2 {
		g.reclaim(g.balanceOf("a"))
		own, _ = f.free(2)
		require.EqualValues(t, 880, own)
	}
	require.Equal(t, own, f.state.Grant("a", 2).Outstanding())
}

// If a borrower holds no grant of its own, possibly no other process appends
// its Close, so the lender has to.
func TestLenderClosesBorrowerWithoutGrant(t *testing.T) {
	f := newFixture(t, 2, testPolicy)
	f.topUp("x", 1000)
	f.routers[2].Settle(f.mustAcquire(2, 1000), 0)
	f.mustAcquire(1, 300)
	f.sealed[1], f.closed[1] = true, true
	g := f.routers[2]
	for range 2 {
		g.reclaim(g.balanceOf("a"))
	}
	require.True(t, f.state.Closed(1))
	own, _ := f.free(2)
	require.EqualValues(t, 1000, own)
}

// Lists the states of the ledger for a run of unknown outcome with a bound of
// 300 tokens, and the free tokens that follow.
func TestUnresolvedRunsAreSettledFromLedger(t *testing.T) {
	run := ident.RunID{Gate: 50, Number: 1}
	for _, c := range []struct {
		name string
		show func(f *fixture)
		free int64
	}{
		{"nothing", func(*fixture) {}, 700},
		{"settled", func(f *fixture) { f.settleRun(run, 1, 120) }, 880},
		{"settled by another gate", func(f *fixture) { f.settleRun(ident.RunID{Gate: 51, Number: 1}, 1, 120) }, 700},
		{"gate closed", func(f *fixture) { f.appendRecord(9, ledger.KindClose, ledger.Close{Holder: 50}) }, 1000},
		{"never ran", func(f *fixture) { f.routers[1].RecordNeverRan("a", testKey(1), 50) }, 1000},
		{"never ran at another gate or for another key", func(f *fixture) {
			f.routers[1].RecordNeverRan("a", testKey(1), 51)
			f.routers[1].RecordNeverRan("a", testKey(2), 50)
		}, 700},
		{"settled, then gate closed", func(f *fixture) {
			f.settleRun(run, 1, 120)
			f.appendRecord(9, ledger.KindClose, ledger.Close{Holder: 50})
		}, 880},
		{"gate closed, bill dropped from the window", func(f *fixture) {
			for n := range ledger.BilledKeyWindow + 1 {
				f.settleRun(ident.RunID{Gate: 60, Number: uint64(n + 1)}, n+2, 1)
			}
			f.appendRecord(9, ledger.KindClose, ledger.Close{Holder: 50})
		}, 700},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, 1, testPolicy)
			f.topUp("x", 100_000)
			f.appendRecord(7, ledger.KindDraw, ledger.Draw{Team: "a", Requested: 99_000})
			f.routers[1].Settle(f.mustAcquire(1, 1000), 0)
			f.routers[1].TrackUnresolved(f.mustAcquire(1, 300), testKey(1), 50)
			c.show(f)
			for range 2 {
				f.routers[1].resolveRuns(f.routers[1].balanceOf("a"))
				own, _ := f.free(1)
				require.Equal(t, c.free, own)
			}
		})
	}
}

// Drain returns all tokens, and fails while others may still start runs under
// the grant.
func TestDrainSucceedsOnlyWhenNothingIsInUse(t *testing.T) {
	for _, c := range []struct {
		name string
		busy func(f *fixture)
		ok   bool
	}{
		{"idle", func(*fixture) {}, true},
		{"a run is in progress", func(f *fixture) { f.mustAcquire(1, 10) }, false},
		{"a loan is in use", func(f *fixture) { f.mustAcquire(2, 400) }, false},
		{"an idle loan is repaid when recalled", func(f *fixture) {
			f.routers[2].Settle(f.mustAcquire(2, 400), 0)
			time.AfterFunc(500*time.Millisecond, func() { f.routers[2].Tick(context.Background()) })
		}, true},
		{"sealed", func(f *fixture) { f.routers[1].Fence() }, false},
		{"a loan was used and settled", func(f *fixture) {
			r := f.mustAcquire(2, 400)
			f.settleRun(ident.RunID{Gate: 50, Number: 1}, 1, 400)
			f.routers[2].Settle(r, 400)
		}, true},
		{"a loan was repaid", func(f *fixture) {
			f.routers[2].Settle(f.mustAcquire(2, 400), 0)
			f.routers[2].repayIdleLoans(context.Background(), f.routers[2].balanceOf("a"), f.now, 0)
		}, true},
		{"the lender does not answer", func(f *fixture) {
			f.routers[2].Settle(f.mustAcquire(2, 400), 0)
			f.routers[1], f.routers[2] = f.routers[2], f.routers[1]
			f.unreachable[1] = true
		}, false},
		{"the log is unavailable", func(f *fixture) { f.logDown = true }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, 2, testPolicy)
				f.topUp("x", 1000)
				f.routers[1].Settle(f.mustAcquire(1, 1000), 0)
				c.busy(f)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				err := f.routers[1].Drain(ctx)
				require.Equal(t, c.ok, err == nil, "%v", err)
				_, outcome := f.routers[1].Reserve("a", 1)
				require.Equal(t, Fenced, outcome)
			})
		})
	}
}

func TestRecalledLoanIsNotUsed(t *testing.T) {
	f := newFixture(t, 2, testPolicy)
	f.topUp("x", 1000)
	f.routers[2].Settle(f.mustAcquire(2, 1000), 0)
	r := f.mustAcquire(1, 300)
	f.routers[2].recallLoans(context.Background())
	f.routers[1].Settle(r, 50)
	_, outcome := f.routers[1].Reserve("a", 100)
	require.Equal(t, Insufficient, outcome)
	f.routers[1].repayIdleLoans(context.Background(), f.routers[1].balanceOf("a"), f.now, time.Hour)
	own, _ := f.free(2)
	require.EqualValues(t, 950, own, "repaid although it was used recently")
	f.routers[1].stopUsingLoans("a", 77) // there is no such loan
	f.routers[1].stopUsingLoans("b", 2)
}

func TestSealedLendersLoanIsNotUsed(t *testing.T) {
	f := newFixture(t, 2, testPolicy)
	f.topUp("x", 1000)
	f.routers[2].Settle(f.mustAcquire(2, 1000), 0)
	f.routers[1].Settle(f.mustAcquire(1, 300), 0)
	f.sealed[2] = true
	f.tick(time.Second)
	_, outcome := f.routers[1].Reserve("a", 100)
	require.Equal(t, Insufficient, outcome)
}
