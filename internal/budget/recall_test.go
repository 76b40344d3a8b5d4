package budget

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestLoansGoBackToALenderThatStops(t *testing.T) {
	w := newWorld(t, 2, testPolicy)
	w.topUp("x", 1000)
	w.routers[2].Settle(w.mustAcquire(2, 1000), 0)
	r := w.mustAcquire(1, 300)
	require.EqualValues(t, 2, r.Holder())
	w.routers[1].RepayTo(context.Background(), 2)
	require.Error(t, w.routers[2].Drain(over()), "a run uses the loan")
	w.routers[1].Settle(r, 0)
	w.routers[1].RepayTo(context.Background(), 7)
	require.Error(t, w.routers[2].Drain(over()), "another lender stops")
	w.routers[1].RepayTo(context.Background(), 2)
	require.NoError(t, w.routers[2].Drain(context.Background()))
	require.EqualValues(t, 1000, w.state.Budget("a").Free)
}
