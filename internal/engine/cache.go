package engine

import (
	"context"
	"sync"

	"github.com/camphorlever/camphorlever/internal/wire"
)

// maxCacheEntries bounds the blocks that are remembered; the oldest go first.
const maxCacheEntries = 4096

// cacheStored is the kind of an event that adds a block.
const cacheStored = "stored"

// Cache follows an engine's cache events. A gap in them makes the view void:
// it starts over empty under a new epoch, since a removal may be among the
// lost events.
type Cache struct {
	mu     sync.Mutex // guards all fields
	epoch  uint64     // own, raised by each loss
	engine uint64     // the engine's epoch
	last   uint64     // sequence number of the last event
	synced bool
	blocks map[uint64]uint64 // block to the number of its store event
	order  []uint64          // blocks in order of their store events
}

// NewCache returns an empty view.
func NewCache() *Cache {
	return &Cache{blocks: map[uint64]uint64{}}
}

// Poll reads the events since the last poll.
func (c *Cache) Poll(ctx context.Context, client *Client) error {
	page, err := client.CacheEvents(ctx, c.position())
	if err != nil {
		return err
	}
	if c.Apply(page) {
		client.counts.Inc("cache_gap")
	}
	return nil
}

func (c *Cache) position() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last
}

// Apply takes a page of events and reports whether some were lost before it.
func (c *Cache) Apply(page CachePage) (lost bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.synced && page.Epoch != c.engine {
		lost = true
	}
	c.engine = page.Epoch
	c.synced = true
	if lost {
		c.restart(0)
	}
	if page.First > c.last+1 && c.last > 0 {
		lost = true
		c.restart(page.First - 1)
	}
	for _, e := range page.Events {
		if e.Seq <= c.last {
			continue // late
		}
		if e.Seq != c.last+1 && c.last > 0 {
			lost = true
			c.restart(e.Seq - 1)
		}
		c.last = e.Seq
		c.take(e)
	}
	return lost
}

// restart forgets all blocks. It is called under the lock.
func (c *Cache) restart(last uint64) {
	c.epoch++
	c.last = last
	c.blocks = map[uint64]uint64{}
	c.order = nil
}

// take is called under the lock.
func (c *Cache) take(e CacheEvent) {
	if e.Kind != cacheStored {
		delete(c.blocks, e.Block)
		return
	}
	if _, known := c.blocks[e.Block]; !known {
		c.order = append(c.order, e.Block)
	}
	c.blocks[e.Block] = e.Seq
	for len(c.blocks) > maxCacheEntries || len(c.order) > 2*maxCacheEntries {
		delete(c.blocks, c.order[0])
		c.order = c.order[1:]
	}
}

// View returns the blocks that the engine is thought to hold.
func (c *Cache) View() wire.CacheView {
	c.mu.Lock()
	defer c.mu.Unlock()
	view := wire.CacheView{Epoch: c.epoch, Entries: make([]uint64, 0, len(c.blocks))}
	for block := range c.blocks {
		view.Entries = append(view.Entries, block)
	}
	return view
}
