package engine

import (
	"context"
	"sync"

	"github.com/camphorlever/camphorlever/internal/wire"
)

// firstEpoch differs from that of the zero mark.
const firstEpoch = 1

// cacheStored is the kind of an event that adds a block.
const cacheStored = "stored"

// CacheView follows an engine's cache events. A gap in them makes the view void:
// it starts over empty under a new epoch, since a removal may be among the
// lost events.
type CacheView struct {
	mu     sync.Mutex // guards all fields
	epoch  uint64     // own, raised by each loss
	engine uint64     // the engine's epoch
	last   uint64     // sequence number of the last event
	synced bool
	view   *cacheLog
}

// NewCacheView returns an empty view.
func NewCacheView() *CacheView {
	return &CacheView{epoch: firstEpoch, view: newCacheLog()}
}

// Poll reads the events since the last poll.
func (c *CacheView) Poll(ctx context.Context, client *Client) error {
	page, err := client.CacheEvents(ctx, c.position())
	if err != nil {
		return err
	}
	if c.Apply(page) {
		client.counts.Inc("cache_gap")
	}
	return nil
}

func (c *CacheView) position() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last
}

// Apply takes a page of events and reports whether some were lost before it.
func (c *CacheView) Apply(page CachePage) (lost bool) {
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
func (c *CacheView) restart(last uint64) {
	c.epoch++
	c.last = last
	c.view = newCacheLog()
}

// take is called under the lock.
func (c *CacheView) take(e CacheEvent) {
	if e.Kind == cacheStored {
		c.view.store(e.Block)
	} else {
		c.view.remove(e.Block)
	}
}

// ChangesSince returns the changes of the view after a mark, as many as fit a reply.
// A mark of another epoch, or one older than the removals that are still
// known, starts a whole view.
func (c *CacheView) ChangesSince(known wire.CacheMark) wire.CacheChanges {
	c.mu.Lock()
	defer c.mu.Unlock()
	var changes wire.CacheChanges
	if known.Epoch != c.epoch || !c.view.covers(known) {
		changes.Whole = true
		known = wire.CacheMark{Epoch: c.epoch, Start: c.view.seq}
	}
	changes.Mark = known
	c.view.since(&changes)
	return changes
}
