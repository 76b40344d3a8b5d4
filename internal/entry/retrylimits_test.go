package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/retry"
)

// TestRetriesOfAllRoutersStayWithinTheFleetsLimit: routers that receive hardly any
// requests retry as often as each may. Together they must not exceed what the fleet may
// retry regardless of its requests, however many routers there are.
func TestRetriesOfAllRoutersStayWithinTheFleetsLimit(t *testing.T) {
	limits := retry.Limits{Ratio: 0.2, MinRetries: 246, Window: 10 * time.Second}
	for _, routers := range []int{1, 4, 8, 28, 103, 360} {
		total := 0
		for range routers {
			budget := retry.NewBudgetWithLimits(routerRetryLimits(limits, routers), time.Now)
			for budget.Allow() {
				total++
			}
		}
		require.LessOrEqual(t, total, 246, "%d routers", routers)
	}
}

// TestRetryLimitFollowsTheNumberOfRouters: the limit of a budget in use changes with
// the fleet.
func TestRetryLimitFollowsTheNumberOfRouters(t *testing.T) {
	limits := retry.Limits{Ratio: 0.2, MinRetries: 246, Window: 10 * time.Second}
	budget := retry.NewBudgetWithLimits(routerRetryLimits(limits, 4), time.Now)
	require.True(t, budget.Allow())
	budget.SetMinRetries(routerRetryLimits(limits, 360).MinRetries)
	require.False(t, budget.Allow())
}
