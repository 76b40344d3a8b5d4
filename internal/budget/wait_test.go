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
	bound := func(c TokenCounter) int64 { return w.routers[1].Bound(context.Background(), "a", 120, 80, c) }
	require.EqualValues(t, 110, bound(count), "nothing in hand")
	require.EqualValues(t, 200, bound(fails))
	require.EqualValues(t, 200, bound(over), "a count above the loose bound is no count")
	require.EqualValues(t, 200, bound(nil))
	w.routers[1].Settle(w.mustAcquire(1, nearFactor*200), 0)
	require.EqualValues(t, 200, bound(count))
	require.Equal(t, 1, counted)
}
