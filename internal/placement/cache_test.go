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
		left := map[uint64]bool{} // not told in this epoch: it may stay known from an earlier one
		page := engine.CachePage{First: 1}
		var sent []reply
		for range 60 {
			page.Events = nil
			if r.IntN(15) == 0 {
				page.Epoch++
				for block := range uint64(1000) {
					left[block] = true
				}
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
				told(left, c, got.known, got.changes, sent[len(sent)-1].changes.Mark.Epoch)
			}
		}
		for range 8 {
			changes := server.Since(c.mark)
			told(left, c, c.mark, changes, changes.Mark.Epoch)
		}
		for block := range held {
			require.Equal(t, 1, c.depth([]uint64{block}), "seed %d: %d is held", seed, block)
		}
		for block := range uint64(1000) {
			known := c.depth([]uint64{block}) == 1
			require.False(t, known && !held[block] && !left[block], "seed %d: %d was removed", seed, block)
		}
	}
}

// told gives a cache a reply, and takes what it was told to be stored in the
// present epoch out of left: the removal of such a block must reach it.
func told(left map[uint64]bool, c *cache, known wire.CacheMark, changes wire.CacheChanges, epoch uint64) {
	fits := c.mark == known && changes.Mark.Epoch == epoch
	c.correct(known, &changes, time.Unix(1, 0), 0)
	if !fits {
		return
	}
	for stored := range changes.Stored.All {
		delete(left, blockOf[stored])
	}
}

// blockOf finds the test's blocks by their short form.
var blockOf = func() map[wire.ShortHash]uint64 {
	blocks := map[wire.ShortHash]uint64{}
	for block := range uint64(1000) {
		blocks[wire.ShortenHash(block)] = block
	}
	return blocks
}()
