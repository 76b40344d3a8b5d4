package placement

import (
	"sort"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/camphorlever/camphorlever/internal/wire"
)

// cache is the router's estimate of one server's prefix cache: what it placed
// there itself, corrected by the engine's late events. Not safe for
// concurrent use.
type cache struct {
	blocks *simplelru.LRU[wire.ShortHash, int64] // when this router last placed it there, Unix ns; 0: only told
	mark   wire.CacheMark                        // up to where changes were taken in
}

func newCache(capacity int) *cache {
	blocks, err := simplelru.NewLRU[wire.ShortHash, int64](capacity, nil)
	if err != nil {
		panic(err) // the capacity is not positive
	}
	return &cache{blocks: blocks}
}

// depth returns how many blocks from the first on are probably cached.
func (c *cache) depth(blocks []uint64) int {
	// A block is used whenever one after it is, so what is held is a prefix.
	return sort.Search(len(blocks), func(i int) bool { return !c.blocks.Contains(wire.ShortenHash(blocks[i])) })
}

// placed notes that a prompt with these blocks goes to the server. The first
// blocks end as the most recent, so that tails are forgotten first.
func (c *cache) placed(blocks []uint64, now time.Time) {
	for i := len(blocks) - 1; i >= 0; i-- {
		c.blocks.Add(wire.ShortenHash(blocks[i]), now.UnixNano())
	}
}

// correct takes in the changes that a server told to a router with the mark
// known. If that is not the mark any more, the reply is late or repeated and
// is left out; what it told is asked for again. A removed block is forgotten
// unless it was placed again within the lag.
func (c *cache) correct(known wire.CacheMark, changes *wire.CacheChanges, now time.Time, lag time.Duration) {
	if known != c.mark {
		return
	}
	sameEpoch := c.mark.Epoch == changes.Mark.Epoch
	c.mark = changes.Mark
	if changes.Whole && sameEpoch {
		c.forgetTold()
	}
	old := now.Add(-lag).UnixNano()
	for block := range changes.Removed.All {
		if placed, ok := c.blocks.Peek(block); ok && placed < old {
			c.blocks.Remove(block)
		}
	}
	for block := range changes.Stored.All {
		if !c.blocks.Contains(block) {
			c.blocks.Add(block, 0)
		}
	}
}

// forgetTold drops the server's older view, of which removals were missed.
// What the router placed itself stays until it is forgotten as the oldest or
// told as removed. A new epoch drops nothing: the side process has lost events
// too and tells only what it has heard since, which proves nothing of the rest.
// A wrong guess costs one prefill, a forgotten prefix costs one per server.
func (c *cache) forgetTold() {
	for _, block := range c.blocks.Keys() {
		if placed, ok := c.blocks.Peek(block); ok && placed == 0 {
			c.blocks.Remove(block)
		}
	}
}
