package engine

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/julienschmidt/httprouter"
)

// maxCacheEvents bounds the events kept for readers.
const maxCacheEvents = 4096

// CacheEvent tells of one block of the prefix cache.
type CacheEvent struct {
	Seq   uint64 `json:"seq"`
	Kind  string `json:"kind"` // stored or removed
	Block uint64 `json:"block"`
	at    time.Time
}

// CachePage is the reply to a read of cache events. Sequence numbers that are
// missing between First and Next are events that were lost.
type CachePage struct {
	Epoch  uint64       `json:"epoch"`
	First  uint64       `json:"first"`
	Next   uint64       `json:"next"`
	Events []CacheEvent `json:"events"`
}

// cache holds prompt blocks, the least recently used of which are evicted.
type cache struct {
	faults *faults
	mu     sync.Mutex // guards all fields below; seq numbers the last event
	epoch  uint64
	blocks *lru.Cache[uint64, struct{}]
	seq    uint64
	events []CacheEvent
	owed   float64 // events that the gap ratio still takes away
}

func newCache(capacity int, f *faults) *cache {
	c := &cache{faults: f, epoch: uint64(time.Now().UnixNano())}
	// The callback runs within use, which holds the lock. The size is
	// positive, which is the only thing that the library refuses.
	c.blocks, _ = lru.NewWithEvict(max(capacity, 1), func(block uint64, _ struct{}) { c.record("removed", block) })
	return c
}

// use stores the blocks of a prompt and returns how many of its first blocks
// were stored before.
func (c *cache) use(blocks []uint64) (cached int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for cached < len(blocks) && c.blocks.Contains(blocks[cached]) {
		cached++
	}
	for _, block := range blocks {
		if _, ok := c.blocks.Get(block); ok {
			continue
		}
		c.record("stored", block)
		c.blocks.Add(block, struct{}{})
	}
	return cached
}

// record adds an event or, by the gap ratio, loses it. The caller holds the lock.
func (c *cache) record(kind string, block uint64) {
	c.seq++
	now, _ := c.faults.get()
	c.owed += now.gapRatio
	if c.owed >= 1 {
		c.owed--
		return
	}
	c.events = append(c.events, CacheEvent{Seq: c.seq, Kind: kind, Block: block, at: time.Now()})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// after returns the events behind a sequence number that are old enough to be
// told.
func (c *cache) after(seq uint64, lag time.Duration) CachePage {
	c.mu.Lock()
	defer c.mu.Unlock()
	page := CachePage{Epoch: c.epoch, First: 1, Next: c.seq + 1, Events: []CacheEvent{}}
	if len(c.events) > 0 {
		page.First = c.events[0].Seq
	}
	told := time.Now().Add(-lag)
	for _, event := range c.events {
		if event.at.After(told) {
			page.Next = event.Seq
			break
		}
		if event.Seq > seq {
			page.Events = append(page.Events, event)
		}
	}
	return page
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		refuse(w, http.StatusBadRequest, "after: want a whole number")
		return
	}
	now, _ := e.faults.get()
	reply(w, e.cache.after(after, now.cacheLag))
}
