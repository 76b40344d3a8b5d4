package budget

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// over is a context that has ended: Drain looks once.
func over() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

func TestDrainGivesAllBack(t *testing.T) {
	w := newWorld(t, 2, testPolicy)
	w.topUp("x", 1000)
	g := w.routers[1]
	settle := func(number uint64, router ident.Incarnation, tokens int64) {
		w.do(50, ledger.KindSettle, ledger.Settle{Team: "a", Holder: 1, Router: router, Run: ident.RunID{Gate: 50, Number: number},
			Key: ident.Key{byte(number)}, Tokens: tokens})
	}
	r := w.mustAcquire(1, 900)
	require.Error(t, g.Drain(over()), "a run is in progress")
	g.Settle(r, 300)
	settle(1, 1, 300)
	require.NoError(t, g.Drain(context.Background()))
	require.Zero(t, w.state.Grant("a", 1).Outstanding())
	require.EqualValues(t, 700, w.state.Budget("a").Free)
	_, code := w.acquire(1, 1)
	require.NotEmpty(t, code, "nothing is admitted any more")
}

// borrowed is a run of 300 tokens at router 1 under the grant of router 2, which
// holds all 1000.
func borrowed(t *testing.T) (w *world, lender, borrower *Grants, r Reservation) {
	w = newWorld(t, 2, testPolicy)
	w.topUp("x", 1000)
	lender, borrower = w.routers[2], w.routers[1]
	lender.Settle(w.mustAcquire(2, 1000), 0)
	r = w.mustAcquire(1, 300)
	require.EqualValues(t, 2, r.Holder())
	return w, lender, borrower, r
}

// The ledger bills a key once: what a second run of it has used is not billed,
// and may not stay in the grant.
func TestDrainGivesBackWhatWasNotBilled(t *testing.T) {
	w, lender, borrower, r := borrowed(t)
	borrower.Settle(r, 100)
	borrower.Refund("a", r.Holder(), 100)
	lender.Settle(w.mustAcquire(2, 50), 50)
	lender.Refund("a", 2, 50)
	require.NoError(t, borrower.Drain(context.Background()))
	require.NoError(t, lender.Drain(context.Background()))
	require.Zero(t, w.state.Grant("a", 2).Outstanding())
	require.EqualValues(t, 1000, w.state.Budget("a").Free)
	borrower.Refund("a", 7, 10)
	borrower.Refund("unknown", 1, 10)
}

func TestDrainWaitsForLoans(t *testing.T) {
	w, lender, borrower, r := borrowed(t)
	require.Error(t, lender.Drain(over()), "the borrower has 300")
	borrower.Settle(r, 100)
	require.NoError(t, borrower.Drain(context.Background()), "the unused 200 are repaid")
	require.Error(t, lender.Drain(over()), "100 are spent and not billed yet")
	w.do(50, ledger.KindSettle, ledger.Settle{Team: "a", Holder: 2, Router: 1, Run: ident.RunID{Gate: 50, Number: 1}, Key: ident.Key{1}, Tokens: 100})
	require.NoError(t, lender.Drain(context.Background()))
	require.EqualValues(t, 900, w.state.Budget("a").Free)
	require.Zero(t, lender.Borrow(wire.BorrowArgs{Borrower: 1, Loan: 9, Team: "a", Asked: 1, Least: 1}).Tokens)
}
