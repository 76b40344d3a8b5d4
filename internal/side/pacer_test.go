package side

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestSettlementAppendRateIsBounded(t *testing.T) {
	for _, c := range []struct{ sides, shards int }{{1, 1}, {15, 4}, {21, 4}, {300, 16}} {
		p := newAppendPacer(func() int { return c.sides }, c.shards)
		appends := float64(c.sides*c.shards) / p.delay().Seconds()
		require.LessOrEqual(t, appends, float64(maxSettleAppendsPerS)*1.001, "%d sides, %d shards", c.sides, c.shards)
	}
}

func TestExpediteShortensDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newAppendPacer(func() int { return 900 }, 16)
		waited := func() time.Duration {
			start := time.Now()
			p.wait(context.Background())
			return time.Since(start)
		}
		require.Equal(t, maxSettleDelay, waited())
		expedited := make(chan func(), 1)
		time.AfterFunc(time.Second, func() { expedited <- p.expedite() })
		require.Equal(t, time.Second, waited(), "expedite ends a wait in progress")
		require.Equal(t, minSettleDelay, waited())
		(<-expedited)()
		require.Equal(t, maxSettleDelay, waited())
	})
}
