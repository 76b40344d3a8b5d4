package prepaid

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/logservice"
)

// TestFirstRouterDecidesTheLayout: later routers use the recorded number of shards,
// also if their own settings name another one.
func TestFirstRouterDecidesTheLayout(t *testing.T) {
	ctx := context.Background()
	log := &fakeLog{}
	streams := Streams{Budgets: stream, Layout: "layout", Shards: 6}
	first, err := loadLayout(ctx, log, streams)
	require.NoError(t, err)
	require.Equal(t, 6, first)
	streams.Shards = 16
	second, err := loadLayout(ctx, log, streams)
	require.NoError(t, err)
	require.Equal(t, 6, second)
	require.Len(t, log.stream("layout").entries, 1)
}

// TestConcurrentStartsAgreeOnTheLayout: the append of one of two routers that read no
// layout fails, and it uses the layout of the other.
func TestConcurrentStartsAgreeOnTheLayout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &fakeLog{}
		log.setLatency(10 * time.Millisecond)
		results := make(chan int, 2)
		for _, shards := range []int{3, 5} {
			go func() {
				n, err := loadLayout(t.Context(), log, Streams{Budgets: stream, Layout: "layout", Shards: shards})
				require.NoError(t, err)
				results <- n
			}()
		}
		require.Equal(t, <-results, <-results)
	})
}

// TestLedgerWithoutLayoutHasOneShard: the draws of a ledger written before layouts
// existed must stay in force.
func TestLedgerWithoutLayoutHasOneShard(t *testing.T) {
	log := &fakeLog{}
	_, err := newTestLedger(log, "old/1").Apply(t.Context(), []Change{{Account: "maps", Paid: 100, SettingsVersion: 1, Draw: 70}})
	require.NoError(t, err)
	shards, err := loadLayout(t.Context(), log, Streams{Budgets: stream, Layout: "layout", Shards: 16})
	require.NoError(t, err)
	require.Equal(t, 1, shards)
	require.Equal(t, stream, Streams{Budgets: stream}.shardStream(0, shards))
}

// TestInvalidLayoutIsRefused: a router must not guess the number of shards.
func TestInvalidLayoutIsRefused(t *testing.T) {
	for name, value := range map[string][]byte{
		"not decodable":   {0xc1},
		"no shards":       {0x81, 0xa1, 's', 0},
		"too many shards": {0x81, 0xa1, 's', 0xcd, 0xff, 0xff},
		"negative":        {0x81, 0xa1, 's', 0xff},
	} {
		log := &fakeLog{}
		log.stream("layout").entries = []logservice.KeyedEntry{{Key: layoutKey, Value: value}}
		_, err := loadLayout(t.Context(), log, Streams{Budgets: stream, Layout: "layout", Shards: 16})
		require.Error(t, err, name)
	}
}

// TestLayoutIsNotGuessedIfTheLogFails: the append of the layout got no reply and can't
// be read back.
func TestLayoutIsNotGuessedIfTheLogFails(t *testing.T) {
	log := &fakeLog{}
	log.setDown(true)
	_, err := loadLayout(t.Context(), log, Streams{Budgets: stream, Layout: "layout", Shards: 16})
	require.Error(t, err)
}
