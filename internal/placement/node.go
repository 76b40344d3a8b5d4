package placement

import (
	"slices"
	"sync"
	"time"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// Estimation of a server's speed.
const (
	smoothing    = 0.2              // weight of a new sample
	minSamples   = 4                // before a server may count as slow
	slowRatio    = 2.0              // against the median, from which on it counts
	maxSlow      = 16.0             // of the factor
	slowMemory   = 20 * time.Second // after which half of the slowness is forgotten
	paceExpiry   = 2 * time.Minute  // after which all of it is
	suspectAfter = 3 * time.Second  // how long a failed server is avoided
)

// Own load is remembered in steps, to be told apart from that of others in a
// report that is late.
const (
	historyStep = 100 * time.Millisecond
	historyLen  = 64
)

// node is what a Picker knows of one server.
type node struct {
	gate ident.Incarnation

	mu       sync.Mutex // guards all below: in-flight numbers and history move together
	server   *Server
	inFlight int
	history  [historyLen]int32 // in flight at the end of each step
	step     int64             // newest step in history
	others   int               // load that was not this router's, as last reported
	leaving  bool
	models   []ident.ModelID // loaded now, if reported
	slots    int
	pace     float64 // time to the first token over the expected time, smoothed
	samples  int
	sampled  time.Time
	suspect  time.Time // avoided until then
	cache    *cache
}

func newNode(s *Server, capacity int) *node {
	slots := s.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	return &node{gate: s.Gate, server: s, leaving: s.Leaving, slots: slots, pace: 1, cache: newCache(capacity)}
}

// view is what a policy sees of a candidate.
type view struct {
	node  *node
	load  float64 // running and queued now, estimated
	slots float64
	depth int     // cached blocks of the prompt, estimated
	pace  float64 // raw, against the expectation
	fresh float64 // 0 to 1: how much the pace still counts
	slow  float64 // factor, at least 1; filled in by the group
}

// look returns the view of a node, or false if it takes no new work.
func (n *node) look(q *Query, now time.Time) (view, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leaving || !n.has(q.Model) {
		return view{}, false
	}
	v := view{
		node:  n,
		load:  float64(n.others + n.inFlight),
		slots: float64(n.slots),
		depth: n.cache.depth(q.Blocks),
		pace:  1,
	}
	if age := now.Sub(n.sampled); n.samples >= minSamples && age < paceExpiry {
		v.pace = n.pace
		v.fresh = 1 / (1 + float64(age)/float64(slowMemory))
	}
	return v, true
}

func (n *node) has(model ident.ModelID) bool {
	return model == "" || len(n.models) == 0 || slices.Contains(n.models, model)
}

func (n *node) suspected(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return now.Before(n.suspect)
}

func (n *node) start(q *Query, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cache.placed(q.Blocks, now)
	n.move(now, 1)
}

func (n *node) end(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.move(now, -1)
}

// move changes the number in flight and keeps the history whole.
func (n *node) move(now time.Time, by int) {
	n.advance(now)
	n.inFlight += by
	n.history[n.step%historyLen] = int32(n.inFlight)
}

func (n *node) advance(now time.Time) {
	current := now.UnixNano() / int64(historyStep)
	if current-n.step > historyLen {
		n.step = current - historyLen
	}
	for n.step < current {
		n.step++
		n.history[n.step%historyLen] = int32(n.inFlight)
	}
}

// report corrects the estimates by what the server told.
func (n *node) report(r *Report, now time.Time, loadLag, cacheLag time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.advance(now)
	n.leaving = n.server.Leaving || r.Leaving
	n.models = r.Models
	if r.Slots > 0 {
		n.slots = r.Slots
	}
	own := n.ownAt(now.Add(-loadLag))
	n.others = max(0, r.Running+r.Queued-own)
	n.cache.correct(r.Since, &r.Changes, now, cacheLag)
}

func (n *node) cacheMark() wire.CacheMark {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cache.mark
}

// ownAt returns how many of this router's runs were in flight at a past time.
func (n *node) ownAt(at time.Time) int {
	step := at.UnixNano() / int64(historyStep)
	step = min(n.step, max(step, n.step-historyLen+1))
	return int(n.history[step%historyLen])
}

// sample takes in the time to a first token against the expected one.
func (n *node) sample(ratio float64, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.samples++
	n.sampled = now
	if n.samples == 1 {
		n.pace = ratio
		return
	}
	n.pace += smoothing * (ratio - n.pace)
}

func (n *node) fail(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.suspect = now.Add(suspectAfter)
}
