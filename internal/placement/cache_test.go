package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/engine"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// Replies get lost, arrive late and arrive twice, and the engine's events have
// gaps. The estimate must be the server's view in the end, without a block of
// an epoch that is void.
func TestCacheFollowsTheServerThroughABadNetwork(t *testing.T) {
	type reply struct {
		known   wire.CacheMark
		changes wire.CacheChanges
	}
	for seed := range uint64(100) {
		r := rand.New(rand.NewPCG(seed, 2))
		server, c := engine.NewCache(), newCache(8192)
		held := map[uint64]bool{}
		page := engine.CachePage{First: 1}
		var sent []reply
		for range 60 {
			page.Events = nil
			if r.IntN(15) == 0 {
				page.Epoch++
				held = map[uint64]bool{}
			}
			for range r.IntN(300) {
				block, kind := r.Uint64N(1000), "stored"
				held[block] = true
				if r.IntN(2) == 0 {
					kind = "removed"
					delete(held, block)
				}
				seq := page.First + uint64(len(page.Events))
				page.Events = append(page.Events, engine.CacheEvent{Seq: seq, Kind: kind, Block: block})
			}
			server.Apply(page)
			page.First += uint64(len(page.Events))
			sent = append(sent, reply{c.mark, server.Since(c.mark)})
			for range r.IntN(3) {
				got := sent[len(sent)-1-r.IntN(min(4, len(sent)))]
				c.correct(got.known, &got.changes, time.Unix(1, 0), 0)
			}
		}
		for range 8 {
			changes := server.Since(c.mark)
			c.correct(c.mark, &changes, time.Unix(1, 0), 0)
		}
		require.Equal(t, len(held), c.blocks.Len(), "seed %d", seed)
		for block := range held {
			require.Equal(t, 1, c.depth([]uint64{block}), "seed %d", seed)
		}
	}
}
