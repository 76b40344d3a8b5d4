package budget

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// endedContext returns a context that has ended, so that Drain runs one round.
func endedContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

func TestDrainReturnsFreeTokensAfterRunsEnd(t *testing.T) {
	f := newFixture(t, 2, testPolicy)
	f.topUp("x", 1000)
	g := f.routers[1]
	settle := func(number uint64, router ident.Incarnation, tokens int64) {
		f.appendRecord(50, ledger.KindSettle, ledger.Settle{Team: "a", Holder: 1, Router: router, Run: ident.RunID{Gate: 50, Number: number},
			Key: ident.Key{byte(number)}, Tokens: tokens})
	}
	r := f.mustAcquire(1, 900)
	require.Error(t, g.Drain(endedContext()), "a run is in progress")
	g.Settle(r, 300)
	settle(1, 1, 300)
	require.NoError(t, g.Drain(context.Background()))
	require.Zero(t, f.state.Grant("a", 1).Outstanding())
	require.EqualValues(t, 700, f.state.Budget("a").Free)
	_, code := f.acquire(1, 1)
	require.NotEmpty(t, code, "nothing is admitted any more")
}

// borrowedRun starts a run of 300 tokens at router 1 under the grant of router
// 2, which holds all 1000 tokens.
func borrowedRun(t *testing.T) (f *fixture, lender, borrower *Grants, r Reservation) {
	f = newFixture(t, 2, testPolicy)
	f.topUp("x", 1000)
	lender, borrower = f.routers[2], f.routers[1]
	lender.Settle(f.mustAcquire(2, 1000), 0)
	r = f.mustAcquire(1, 300)
	require.EqualValues(t, 2, r.Holder())
	return f, lender, borrower, r
}

// The ledger bills a key once. The tokens of a second run of the same key are
// not billed and must not stay in the grant.
func TestDrainReturnsRefundedTokens(t *testing.T) {
	f, lender, borrower, r := borrowedRun(t)
	borrower.Settle(r, 100)
	borrower.Refund("a", r.Holder(), 100)
	lender.Settle(f.mustAcquire(2, 50), 50)
	lender.Refund("a", 2, 50)
	require.NoError(t, borrower.Drain(context.Background()))
	require.NoError(t, lender.Drain(context.Background()))
	require.Zero(t, f.state.Grant("a", 2).Outstanding())
	require.EqualValues(t, 1000, f.state.Budget("a").Free)
	borrower.Refund("a", 7, 10)
	borrower.Refund("unknown", 1, 10)
}

func TestDrainWaitsForLoanRepayment(t *testing.T) {
	f, lender, borrower, r := borrowedRun(t)
	require.Error(t, lender.Drain(endedContext()), "the borrower still has 300")
	borrower.Settle(r, 100)
	require.NoError(t, borrower.Drain(context.Background()), "the unused 200 are repaid")
	require.Error(t, lender.Drain(endedContext()), "100 are used but not billed yet")
	f.appendRecord(50, ledger.KindSettle, ledger.Settle{Team: "a", Holder: 2, Router: 1, Run: ident.RunID{Gate: 50, Number: 1}, Key: ident.Key{1}, Tokens: 100})
	require.NoError(t, lender.Drain(context.Background()))
	require.EqualValues(t, 900, f.state.Budget("a").Free)
	require.Zero(t, lender.Borrow(wire.BorrowArgs{Borrower: 1, Loan: 9, Team: "a", Asked: 1, Least: 1}).Tokens)
}
