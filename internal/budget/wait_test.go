package budget

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/refusal"
)

// A request is admitted if tokens are released within maxWait, and refused
// otherwise. The test runs on the fake clock of synctest.
func TestAcquireWaitsForRunsInProgress(t *testing.T) {
	for _, c := range []struct {
		name    string
		settles time.Duration // when the run in progress ends; 0 means never
		router  ident.Incarnation
		took    time.Duration
		code    refusal.Code
	}{
		{"released at this router", 3 * time.Second, 1, 3 * time.Second, ""},
		{"released at a peer", 3 * time.Second, 2, 4 * time.Second, ""},
		{"never released", 0, 1, maxWait, refusal.BudgetExhausted},
		{"released too late", maxWait + time.Second, 1, maxWait, refusal.BudgetExhausted},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, 2, testPolicy)
				f.topUp("x", 1000)
				r := f.mustAcquire(c.router, 1000)
				if c.settles > 0 {
					time.AfterFunc(c.settles, func() { f.routers[c.router].Settle(r, 100) })
				}
				began := time.Now()
				_, refused := f.routers[1].Acquire(t.Context(), "a", 500)
				require.LessOrEqual(t, time.Since(began), c.took)
				if c.code == "" {
					require.Nil(t, refused)
				} else {
					require.Equal(t, c.code, refused.Code)
					require.Equal(t, c.took, time.Since(began))
				}
				time.Sleep(maxWait) // lets the timer of the test fire
			})
		})
	}
}

func TestAcquireRefusesSpentBudgetImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1, testPolicy)
		f.topUp("x", 100)
		began := time.Now()
		_, refused := f.routers[1].Acquire(t.Context(), "a", 500)
		require.Equal(t, refusal.BudgetExhausted, refused.Code)
		require.Zero(t, time.Since(began))
	})
}

// A request beyond maxWaiters is refused without waiting.
func TestWaitersAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1, testPolicy)
		f.topUp("x", 1000)
		f.mustAcquire(1, 1000)
		f.routers[1].balanceOf("a").waiters = maxWaiters
		began := time.Now()
		_, refused := f.routers[1].Acquire(t.Context(), "a", 500)
		require.NotNil(t, refused)
		require.Zero(t, time.Since(began))
	})
}

// Tokens in transit to a log that does not answer can be used by no router, so
// only a small part may be returned.
func TestReturnsAreLimitedWhileLogIsDown(t *testing.T) {
	f := newFixture(t, 2, testPolicy)
	f.topUp("x", 100_000)
	f.routers[1].Settle(f.mustAcquire(1, 100_000), 10)
	f.tick(time.Second)
	f.logDown = true
	before, _ := f.free(1)
	for range 25 {
		f.tick(time.Second)
	}
	after, _ := f.free(1)
	require.LessOrEqual(t, before-after, before/probeDivisor+1)
}

func TestReturnableTokensByLogHealth(t *testing.T) {
	atSecond := func(seconds int) time.Time { return time.Unix(int64(1000+seconds), 0) }
	for _, c := range []struct {
		name             string
		answered, failed int // seconds; -1 means never
		now              int
		want             int64
	}{
		{"no appends yet", -1, -1, 0, 10},
		{"recent success", 0, -1, 1, 1000},
		{"old success", 0, -1, 60, 10},
		{"recent failure", 0, 1, 2, 0},
		{"old failure", 0, 1, 60, 10},
		{"failure, then recent success", 2, 1, 3, 1000},
		{"failure, then old success", 2, 1, 20, 10},
	} {
		var h logHealth
		if c.failed >= 0 {
			h.recordAppend(atSecond(c.failed), false)
		}
		if c.answered >= 0 {
			h.recordAppend(atSecond(c.answered), true)
		}
		require.Equal(t, c.want, h.returnable(1000, atSecond(c.now)), c.name)
	}
}

func TestBoundCountsPromptOnlyNearLimit(t *testing.T) {
	f := newFixture(t, 1, testPolicy)
	f.topUp("x", 1_000_000)
	counted := 0
	count := func(context.Context) (int64, error) { counted++; return 30, nil }
	fails := func(context.Context) (int64, error) { return 0, errUnavailable }
	over := func(context.Context) (int64, error) { return 500, nil }
	bound := func(c TokenCounter) int64 { return f.routers[1].Bound(context.Background(), "a", 120, 80, c) }
	require.EqualValues(t, 110, bound(count), "empty local balance")
	require.EqualValues(t, 200, bound(fails))
	require.EqualValues(t, 200, bound(over), "a count above the loose bound is ignored")
	require.EqualValues(t, 200, bound(nil))
	f.routers[1].Settle(f.mustAcquire(1, exactCountFactor*200), 0)
	require.EqualValues(t, 200, bound(count))
	require.Equal(t, 1, counted)
}
