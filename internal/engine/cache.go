package engine

import (
	"context"
	"sync"

	"github.com/camphorlever/camphorlever/internal/wire"
)

// initialEpoch differs from the epoch of the zero wire.CacheMark, so that a new
// reader gets the full view.
const initialEpoch = 1

// eventStored is the CacheEvent.Kind of an added block.
const eventStored = "stored"

// CacheView mirrors an engine's prefix cache from its cache events. When events
// are missing the view is reset: it is emptied and gets a new epoch, since the
// missing events may include removals. It is safe for concurrent use.
type CacheView struct {
	mu          sync.Mutex // guards all fields
	epoch       uint64     // the view's own, incremented by each reset
	engineEpoch uint64     // the epoch that the engine last reported
	lastSeq     uint64     // sequence number of the last applied event
	synced      bool       // whether a page has been applied
	changes     *cacheLog
}

// NewCacheView returns an empty view.
func NewCacheView() *CacheView {
	return &CacheView{epoch: initialEpoch, changes: newCacheLog()}
}

// Poll fetches the events after the last applied one from the engine and
// applies them. On an error the view is unchanged.
func (c *CacheView) Poll(ctx context.Context, client *Client) error {
	page, err := client.CacheEvents(ctx, c.lastSequence())
	if err != nil {
		return err
	}
	if c.Apply(page) {
		client.counts.Inc("cache_gap")
	}
	return nil
}

func (c *CacheView) lastSequence() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastSeq
}

// Apply applies a page of events and reports whether events were lost before or
// within it, in which case the view was reset.
func (c *CacheView) Apply(page CachePage) (lost bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.synced && page.Epoch != c.engineEpoch {
		lost = true
	}
	c.engineEpoch = page.Epoch
	c.synced = true
	if lost {
		c.reset(0)
	}
	if page.First > c.lastSeq+1 && c.lastSeq > 0 {
		lost = true
		c.reset(page.First - 1)
	}
	for _, e := range page.Events {
		if e.Seq <= c.lastSeq {
			continue // already applied
		}
		if e.Seq != c.lastSeq+1 && c.lastSeq > 0 {
			lost = true
			c.reset(e.Seq - 1)
		}
		c.lastSeq = e.Seq
		c.applyEvent(e)
	}
	return lost
}

// reset empties the view and starts a new epoch. lastSeq is the sequence number
// before the next event, 0 if it is not known. The caller holds c.mu.
func (c *CacheView) reset(lastSeq uint64) {
	c.epoch++
	c.lastSeq = lastSeq
	c.changes = newCacheLog()
}

// applyEvent requires that the caller holds c.mu.
func (c *CacheView) applyEvent(e CacheEvent) {
	if e.Kind == eventStored {
		c.changes.store(e.Block)
	} else {
		c.changes.remove(e.Block)
	}
}

// ChangesSince returns the changes of the view after a mark, at most
// wire.MaxCacheChanges. If the mark is of another epoch, or older than a removal
// that is no longer remembered, the reply starts a full view instead (Whole).
func (c *CacheView) ChangesSince(mark wire.CacheMark) wire.CacheChanges {
	c.mu.Lock()
	defer c.mu.Unlock()
	var changes wire.CacheChanges
	if mark.Epoch != c.epoch || !c.changes.covers(mark) {
		changes.Whole = true
		mark = wire.CacheMark{Epoch: c.epoch, Start: c.changes.seq}
	}
	changes.Mark = mark
	c.changes.appendChanges(&changes)
	return changes
}
