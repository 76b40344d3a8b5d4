package placement

import (
	"sort"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/camphorlever/camphorlever/internal/wire"
)

// cache is the router's estimate of one server's prefix cache: the blocks that
// the router sent there itself, corrected by the engine's events, which arrive
// late. It is not safe for concurrent use.
type cache struct {
	blocks *simplelru.LRU[wire.ShortHash, int64] // when this router last sent the block there, in Unix ns; 0 if only the server reported it
	mark   wire.CacheMark                        // position of the last change applied
}

func newCache(capacity int) *cache {
	blocks, err := simplelru.NewLRU[wire.ShortHash, int64](capacity, nil)
	if err != nil {
		panic(err) // the capacity is not positive
	}
	return &cache{blocks: blocks}
}

// cachedPrefix returns how many leading blocks are probably cached.
func (c *cache) cachedPrefix(blocks []uint64) int {
	// A block is used whenever a later one is, so the cached blocks form a prefix
	// and a binary search finds its end.
	return sort.Search(len(blocks), func(i int) bool { return !c.blocks.Contains(wire.ShortenHash(blocks[i])) })
}

// recordPlacement records that a prompt with these blocks is sent to the server.
// The first blocks become the most recently used, so that the tails of prompts
// are evicted first.
func (c *cache) recordPlacement(blocks []uint64, now time.Time) {
	for i := len(blocks) - 1; i >= 0; i-- {
		c.blocks.Add(wire.ShortenHash(blocks[i]), now.UnixNano())
	}
}

// applyChanges applies the changes that a server reported after the mark since.
// If the cache's mark is a different one by now, the reply is late or a
// duplicate: it is ignored, and the next request asks for the changes again. A
// removed block is dropped unless this router sent it there again within the
// lag.
func (c *cache) applyChanges(since wire.CacheMark, changes *wire.CacheChanges, now time.Time, lag time.Duration) {
	if since != c.mark {
		return
	}
	sameEpoch := c.mark.Epoch == changes.Mark.Epoch
	c.mark = changes.Mark
	if changes.Whole && sameEpoch {
		c.dropReported()
	}
	horizon := now.Add(-lag).UnixNano()
	for block := range changes.Removed.All {
		if sentAt, ok := c.blocks.Peek(block); ok && sentAt < horizon {
			c.blocks.Remove(block)
		}
	}
	for block := range changes.Stored.All {
		if !c.blocks.Contains(block) {
			c.blocks.Add(block, 0)
		}
	}
}

// dropReported drops the blocks known only from the server's reports, since
// removals of them may have been missed. Blocks that the router sent itself stay
// until they are evicted or reported as removed. A new epoch drops nothing: the
// side process has lost events too and reports only those since, which says
// nothing about other blocks. A block wrongly assumed to be cached costs one
// prefill, a prefix wrongly dropped costs one on each server.
func (c *cache) dropReported() {
	for _, block := range c.blocks.Keys() {
		if sentAt, ok := c.blocks.Peek(block); ok && sentAt == 0 {
			c.blocks.Remove(block)
		}
	}
}
