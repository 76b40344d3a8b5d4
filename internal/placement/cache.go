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
	blocks *simplelru.LRU[uint64, int64] // when the block was last placed or told, Unix ns
	epoch  uint64
	told   bool // the engine tells of its cache
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

// correct takes in what the engine told. Blocks placed within the lag are
// kept, since the engine's events may not tell of them yet.
func (c *cache) correct(epoch uint64, entries []uint64, now time.Time, lag time.Duration) {
	if epoch == 0 && len(entries) == 0 && !c.told {
		return
	}
	// An engine that lost events starts a new epoch with what it holds now, so
	// the same rule covers both: what is old and not told again is gone.
	c.told = true
	c.epoch = epoch
	known := make(map[uint64]struct{}, len(entries))
	for _, e := range entries {
		known[e] = struct{}{}
	}
	old := now.Add(-lag).UnixNano()
	for _, block := range c.blocks.Keys() {
		at, _ := c.blocks.Peek(block)
		if _, ok := known[block]; !ok && at < old {
			c.blocks.Remove(block)
		}
	}
	for _, e := range entries {
		if !c.blocks.Contains(e) {
			c.blocks.Add(e, old)
		}
	}
}
