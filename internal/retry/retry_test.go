package retry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// The number of allowed retries follows the requests of the sliding window, with
// a minimum.
func TestBudgetFollowsRecentRequests(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewBudget(func() time.Time { return now })
	spend := func() (allowed int) {
		for b.Allow() {
			allowed++
		}
		return allowed
	}
	require.Equal(t, DefaultMinRetries, spend(), "minimum without requests")
	for range 1000 {
		b.RecordRequest()
	}
	require.Equal(t, 150-DefaultMinRetries, spend())
	require.False(t, b.Allow())
	now = now.Add(DefaultWindow / 2)
	require.False(t, b.Allow(), "still within the window")
	now = now.Add(DefaultWindow / 2)
	require.Equal(t, DefaultMinRetries, spend(), "requests and retries outside the window no longer count")
	now = now.Add(100 * DefaultWindow)
	require.Equal(t, DefaultMinRetries, spend())
}

// A cancelled reservation can be made again, also after the window has moved on.
func TestCancelledReservationsAreReturned(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewBudget(func() time.Time { return now })
	first, ok := b.Reserve()
	require.True(t, ok)
	now = now.Add(DefaultWindow / slotCount)
	for range DefaultMinRetries - 1 {
		require.True(t, b.Allow())
	}
	require.False(t, b.Allow())
	first.Cancel()
	late, ok := b.Reserve()
	require.True(t, ok)
	require.False(t, b.Allow())
	now = now.Add(2 * DefaultWindow)
	late.Cancel()
	for range DefaultMinRetries {
		require.True(t, b.Allow())
	}
	require.False(t, b.Allow(), "the reservation had left the window")
}

// Wait never sleeps past the deadline or longer than the jitter limit.
func TestBackoffRespectsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for range 100 { // the delays are random; the bounds hold for all of them
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			deadline, _ := ctx.Deadline()
			b := NewBackoff()
			limit, attempts := minDelayLimit, 0
			for {
				start := time.Now()
				if !b.Wait(ctx) {
					require.Equal(t, start, time.Now(), "returns without sleeping")
					break
				}
				require.LessOrEqual(t, time.Since(start), limit+time.Nanosecond)
				require.True(t, time.Now().Before(deadline))
				limit = min(2*limit, maxDelayLimit)
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
