package side

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestSettlementsOfAllKeepToTheLogsAppends(t *testing.T) {
	for _, c := range []struct{ sides, shards int }{{1, 1}, {15, 4}, {21, 4}, {300, 16}} {
		p := newPace(func() int { return c.sides }, c.shards)
		appends := float64(c.sides*c.shards) / p.delay().Seconds()
		require.LessOrEqual(t, appends, float64(settleAppendsPerS)*1.001, "%d sides, %d shards", c.sides, c.shards)
	}
}

func TestUrgentSettlementsDoNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPace(func() int { return 900 }, 16)
		waited := func() time.Duration {
			start := time.Now()
			p.wait(context.Background())
			return time.Since(start)
		}
		require.Equal(t, maxSettleDelay, waited())
		hurried := make(chan func(), 1)
		time.AfterFunc(time.Second, func() { hurried <- p.hurry() })
		require.Equal(t, time.Second, waited(), "a wait under way ends")
		require.Equal(t, minSettleDelay, waited())
		(<-hurried)()
		require.Equal(t, maxSettleDelay, waited())
	})
}
