package retry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestBudgetIsAShareOfRecentRequests(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewBudget(func() time.Time { return now })
	spend := func() (allowed int) {
		for b.Allow() {
			allowed++
		}
		return allowed
	}
	require.Equal(t, DefaultMinRetries, spend(), "few requests still get some retries")
	for range 1000 {
		b.RecordRequest()
	}
	require.Equal(t, 150-DefaultMinRetries, spend())
	require.False(t, b.Allow())
	now = now.Add(DefaultWindow / 2)
	require.False(t, b.Allow(), "still within the window")
	now = now.Add(DefaultWindow / 2)
	require.Equal(t, DefaultMinRetries, spend(), "old requests count no more, nor do old retries")
	now = now.Add(100 * DefaultWindow)
	require.Equal(t, DefaultMinRetries, spend())
}

func TestBackoffKeepsToTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for range 100 { // the pauses are drawn at random; the bounds hold for all
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			deadline, _ := ctx.Deadline()
			b := NewBackoff()
			limit, attempts := firstPause, 0
			for {
				start := time.Now()
				if !b.Wait(ctx) {
					require.Equal(t, start, time.Now(), "no wait for nothing")
					break
				}
				require.LessOrEqual(t, time.Since(start), limit+time.Nanosecond)
				require.True(t, time.Now().Before(deadline))
				limit = min(2*limit, longestPause)
				attempts++
			}
			require.Positive(t, attempts)
			cancel()
		}
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		require.False(t, NewBackoff().Wait(ctx))
	})
}
