package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/engine"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// Replies are lost, delayed and duplicated, and the engine's events have gaps.
// The estimate must converge to the server's view: it contains every stored block
// and no block whose removal was reported.
func TestCacheConvergesDespiteLostAndDuplicateReplies(t *testing.T) {
	type reply struct {
		known   wire.CacheMark
		changes wire.CacheChanges
	}
	for seed := range uint64(100) {
		r := rand.New(rand.NewPCG(seed, 2))
		server, c := engine.NewCacheView(), newCache(8192)
		stored := map[uint64]bool{}
		mayBeStale := map[uint64]bool{} // blocks of an earlier epoch that were not reported again since
		page := engine.CachePage{First: 1}
		var sent []reply
		for range 60 {
			page.Events = nil
			if r.IntN(15) == 0 {
				page.Epoch++
				for block := range uint64(1000) {
					mayBeStale[block] = true
				}
				stored = map[uint64]bool{}
			}
			for range r.IntN(300) {
				block, kind := r.Uint64N(1000), "stored"
				stored[block] = true
				if r.IntN(2) == 0 {
					kind = "removed"
					delete(stored, block)
				}
				seq := page.First + uint64(len(page.Events))
				page.Events = append(page.Events, engine.CacheEvent{Seq: seq, Kind: kind, Block: block})
			}
			server.Apply(page)
			page.First += uint64(len(page.Events))
			sent = append(sent, reply{c.mark, server.ChangesSince(c.mark)})
			for range r.IntN(3) {
				got := sent[len(sent)-1-r.IntN(min(4, len(sent)))]
				applyReply(mayBeStale, c, got.known, got.changes, sent[len(sent)-1].changes.Mark.Epoch)
			}
		}
		for range 8 {
			changes := server.ChangesSince(c.mark)
			applyReply(mayBeStale, c, c.mark, changes, changes.Mark.Epoch)
		}
		for block := range stored {
			require.Equal(t, 1, c.cachedPrefix([]uint64{block}), "seed %d: block %d is stored", seed, block)
		}
		for block := range uint64(1000) {
			known := c.cachedPrefix([]uint64{block}) == 1
			require.False(t, known && !stored[block] && !mayBeStale[block], "seed %d: block %d was removed", seed, block)
		}
	}
}

// applyReply applies a reply to a cache. Blocks reported as stored in the present
// epoch are taken out of mayBeStale: their removal must reach the cache.
func applyReply(mayBeStale map[uint64]bool, c *cache, since wire.CacheMark, changes wire.CacheChanges, epoch uint64) {
	accepted := c.mark == since && changes.Mark.Epoch == epoch
	c.applyChanges(since, &changes, time.Unix(1, 0), 0)
	if !accepted {
		return
	}
	for stored := range changes.Stored.All {
		delete(mayBeStale, blockOf[stored])
	}
}

// blockOf maps the short form of the test's blocks to the blocks.
var blockOf = func() map[wire.ShortHash]uint64 {
	blocks := map[wire.ShortHash]uint64{}
	for block := range uint64(1000) {
		blocks[wire.ShortenHash(block)] = block
	}
	return blocks
}()
