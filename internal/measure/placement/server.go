package placement

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/camphorlever/camphorlever/internal/engine"
	"github.com/camphorlever/camphorlever/internal/placement"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// Shape of the simulated servers.
const (
	serverSlots = 8
	blockTime   = 12 * time.Millisecond // to prefill one block
	tokenTime   = 20 * time.Millisecond // between two tokens of one run
	cacheBlocks = 1500
	slowFactor  = 4 // of the one slow server
	loadLag     = 500 * time.Millisecond
	cacheLag    = 2 * time.Second
	gapRatio    = 0.05 // of the cache reports that tell of lost events
)

// server is one simulated backend server: runs wait for a slot, prefill one
// after the other, and then generate side by side.
type server struct {
	clock   *clock
	slow    time.Duration
	cache   *simplelru.LRU[uint64, time.Duration] // when the block was stored
	waiting []*run
	running int
	prefill time.Duration // busy until
	loads   []sample      // newest last
	caches  []cacheSample
	view    *engine.CacheView
	page    engine.CachePage // the last one that the view was told
	told    map[uint64]bool  // the blocks that it should have now
	gap     time.Duration    // events before it are lost
	leaving bool
}

// sample is a load that the server had at some time.
type sample struct {
	at              time.Duration
	running, queued int
}

type cacheSample struct {
	at     time.Duration
	blocks []uint64
	stored []time.Duration
}

// run is one request at a server.
type run struct {
	blocks     []uint64
	output     int
	hits       int
	firstToken func()
	done       func()
}

func newServer(c *clock, slow time.Duration) *server {
	cache, err := simplelru.NewLRU[uint64, time.Duration](cacheBlocks, nil)
	if err != nil {
		panic(err) // the size is not positive
	}
	return &server{clock: c, slow: slow, cache: cache, view: engine.NewCacheView(), page: engine.CachePage{First: 1}, told: map[uint64]bool{}}
}

func (s *server) submit(r *run) {
	s.waiting = append(s.waiting, r)
	s.start()
	s.note()
}

func (s *server) start() {
	for s.running < serverSlots && len(s.waiting) > 0 {
		r := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.running++
		s.begin(r)
	}
}

func (s *server) begin(r *run) {
	for r.hits < len(r.blocks) && s.cache.Contains(r.blocks[r.hits]) {
		r.hits++
	}
	for _, b := range slices.Backward(r.blocks) {
		if _, ok := s.cache.Get(b); !ok {
			s.cache.Add(b, s.clock.now)
		}
	}
	work := time.Duration(len(r.blocks)-r.hits+1) * blockTime * s.slow
	s.prefill = max(s.prefill, s.clock.now) + work
	s.clock.at(s.prefill, func() { s.generate(r) })
}

func (s *server) generate(r *run) {
	r.firstToken()
	s.clock.after(time.Duration(r.output)*tokenTime*s.slow, func() {
		s.running--
		r.done()
		s.start()
		s.note()
	})
}

// note keeps what a late report will tell.
func (s *server) note() {
	s.loads = append(s.loads, sample{at: s.clock.now, running: s.running, queued: len(s.waiting)})
	old := s.clock.now - 2*loadLag
	for len(s.loads) > 2 && s.loads[1].at < old {
		s.loads = s.loads[1:]
	}
}

// noteCache keeps the cache's content for late reports.
func (s *server) noteCache() {
	s.caches = append(s.caches, cacheSample{at: s.clock.now, blocks: s.cache.Keys(), stored: s.cache.Values()})
	for len(s.caches) > 2 && s.caches[1].at <= s.clock.now-cacheLag {
		s.caches = s.caches[1:]
	}
}

// report tells the load and the cache as they were a while ago, the cache as
// changes since a mark. Some reports start a new epoch, as after lost events:
// they tell only what was stored since.
func (s *server) report(r *rand.Rand, known wire.CacheMark) *placement.Report {
	report := &placement.Report{Slots: serverSlots, Leaving: s.leaving, Since: known}
	for _, l := range s.loads {
		if l.at <= s.clock.now-loadLag {
			report.Running, report.Queued = l.running, l.queued
		}
	}
	if r.Float64() < gapRatio {
		s.page.Epoch++
		s.told = map[uint64]bool{}
		s.gap = s.clock.now - cacheLag
	}
	s.tell()
	report.Changes = s.view.ChangesSince(known)
	return report
}

// tell gives the view the events from what it was told to what the cache held
// a while ago.
func (s *server) tell() {
	s.page.First = s.page.First + uint64(len(s.page.Events))
	s.page.Events = nil
	held := map[uint64]bool{}
	if len(s.caches) > 0 && s.caches[0].at <= s.clock.now-cacheLag {
		for i, b := range s.caches[0].blocks {
			if s.caches[0].stored[i] < s.gap {
				continue
			}
			held[b] = true
			if !s.told[b] {
				s.event("stored", b)
			}
		}
	}
	for _, b := range slices.Sorted(maps.Keys(s.told)) {
		if !held[b] {
			s.event("removed", b)
		}
	}
	s.told = held
	s.view.Apply(s.page)
}

func (s *server) event(kind string, block uint64) {
	seq := s.page.First + uint64(len(s.page.Events))
	s.page.Events = append(s.page.Events, engine.CacheEvent{Seq: seq, Kind: kind, Block: block})
}
