package placement

import (
	"sort"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// cache is the router's estimate of one server's prefix cache: what it placed
// there itself, corrected by the engine's late events. Not safe for
// concurrent use.
type cache struct {
	blocks *simplelru.LRU[uint64, int64] // when this router last placed it there, Unix ns; 0: only told
	epoch  uint64
	told   map[uint64]struct{} // the last view of this epoch
}

func newCache(capacity int) *cache {
	blocks, err := simplelru.NewLRU[uint64, int64](capacity, nil)
	if err != nil {
		panic(err) // the capacity is not positive
	}
	return &cache{blocks: blocks}
}

// depth returns how many blocks from the first on are probably cached.
func (c *cache) depth(blocks []uint64) int {
	// A block is used whenever one after it is, so what is held is a prefix.
	return sort.Search(len(blocks), func(i int) bool { return !c.blocks.Contains(blocks[i]) })
}

// placed notes that a prompt with these blocks goes to the server. The first
// blocks end as the most recent, so that tails are forgotten first.
func (c *cache) placed(blocks []uint64, now time.Time) {
	for i := len(blocks) - 1; i >= 0; i-- {
		c.blocks.Add(blocks[i], now.UnixNano())
	}
}

// correct takes in a view of what the engine told in an epoch. What a view
// had and the next one of the same epoch lacks was removed, unless it was
// placed again within the lag. A new epoch says nothing of what was stored
// before it: that stays until it is forgotten as the oldest, since a wrong
// guess costs one prefill and a forgotten prefix costs one per server.
func (c *cache) correct(epoch uint64, entries []uint64, now time.Time, lag time.Duration) {
	known := make(map[uint64]struct{}, len(entries))
	for _, block := range entries {
		known[block] = struct{}{}
	}
	old := now.Add(-lag).UnixNano()
	if epoch == c.epoch {
		c.dropRemoved(known, old)
	}
	for _, block := range entries {
		if !c.blocks.Contains(block) {
			c.blocks.Add(block, 0)
		}
	}
	c.epoch, c.told = epoch, known
}

// dropRemoved forgets what the last view had and the newest lacks.
func (c *cache) dropRemoved(known map[uint64]struct{}, old int64) {
	for block := range c.told {
		if _, ok := known[block]; ok {
			continue
		}
		if placed, ok := c.blocks.Peek(block); ok && placed < old {
			c.blocks.Remove(block)
		}
	}
}
