package placement

import (
	"slices"
	"sync"
	"time"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// Parameters of the estimate of a server's speed.
const (
	sampleWeight     = 0.2              // weight of a new sample
	minSamples       = 4                // needed before a server may count as slow
	slowThreshold    = 2.0              // ratio to the median from which a server counts as slow
	maxSlowdown      = 16.0             // upper bound of the slowdown
	slowdownHalfTime = 20 * time.Second // age of the last sample at which the excess over 1 is halved
	sampleExpiry     = 2 * time.Minute  // age of the last sample from which it is ignored
	avoidPeriod      = 3 * time.Second  // how long a failed server is avoided
)

// The router keeps a history of its own load in steps, to subtract it from the
// load in a report that describes an earlier moment.
const (
	historyStep = 100 * time.Millisecond
	historyLen  = 64
)

// node is a Picker's state for one server.
type node struct {
	gate ident.Incarnation

	mu           sync.Mutex // guards all fields below: inFlight and history change together
	server       *Server
	inFlight     int
	history      [historyLen]int32 // inFlight at the end of each step
	currentStep  int64             // newest step in history, counted since the Unix epoch
	otherLoad    int               // load from other routers, by the last report
	leaving      bool
	models       []ident.ModelID // loaded at the moment; empty if not reported
	slots        int
	latencyRatio float64 // actual over expected time to the first token, smoothed
	samples      int
	sampledAt    time.Time
	avoidUntil   time.Time // after a failure
	cache        *cache
}

func newNode(s *Server, capacity int) *node {
	slots := s.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	return &node{gate: s.Gate, server: s, leaving: s.Leaving, slots: slots, latencyRatio: 1, cache: newCache(capacity)}
}

// candidate is a policy's view of a server that can take the request.
type candidate struct {
	node         *node
	load         float64 // estimated runs that are running or queued
	slots        float64
	cachedBlocks int     // estimated cached blocks of the prompt
	latencyRatio float64 // actual over expected time to the first token
	freshness    float64 // weight of latencyRatio by the age of its last sample, 0 to 1
	slowdown     float64 // factor on the expected latency, at least 1; set by computeSlowdowns
}

// candidate returns the node as a candidate for a query, or false if it takes
// no new runs.
func (n *node) candidate(q *Query, now time.Time) (candidate, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leaving || !n.servesModel(q.Model) {
		return candidate{}, false
	}
	v := candidate{
		node:         n,
		load:         float64(n.otherLoad + n.inFlight),
		slots:        float64(n.slots),
		cachedBlocks: n.cache.cachedPrefix(q.Blocks),
		latencyRatio: 1,
	}
	if age := now.Sub(n.sampledAt); n.samples >= minSamples && age < sampleExpiry {
		v.latencyRatio = n.latencyRatio
		v.freshness = 1 / (1 + float64(age)/float64(slowdownHalfTime))
	}
	return v, true
}

func (n *node) servesModel(model ident.ModelID) bool {
	return model == "" || len(n.models) == 0 || slices.Contains(n.models, model)
}

func (n *node) isAvoided(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return now.Before(n.avoidUntil)
}

func (n *node) addRun(q *Query, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cache.recordPlacement(q.Blocks, now)
	n.changeInFlight(now, 1)
}

func (n *node) removeRun(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.changeInFlight(now, -1)
}

// changeInFlight adds to the number of runs in flight and updates the history.
func (n *node) changeInFlight(now time.Time, by int) {
	n.advanceHistory(now)
	n.inFlight += by
	n.history[n.currentStep%historyLen] = int32(n.inFlight)
}

func (n *node) advanceHistory(now time.Time) {
	current := now.UnixNano() / int64(historyStep)
	if current-n.currentStep > historyLen {
		n.currentStep = current - historyLen
	}
	for n.currentStep < current {
		n.currentStep++
		n.history[n.currentStep%historyLen] = int32(n.inFlight)
	}
}

// applyReport corrects the estimates with a report of the server.
func (n *node) applyReport(r *Report, now time.Time, loadLag, cacheLag time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.advanceHistory(now)
	n.leaving = n.server.Leaving || r.Leaving
	n.models = r.Models
	if r.Slots > 0 {
		n.slots = r.Slots
	}
	own := n.ownInFlightAt(now.Add(-loadLag))
	n.otherLoad = max(0, r.Running+r.Queued-own)
	n.cache.applyChanges(r.Since, &r.Changes, now, cacheLag)
}

func (n *node) cacheMark() wire.CacheMark {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cache.mark
}

// ownInFlightAt returns how many of this router's runs were in flight at a past
// time, as far back as the history reaches.
func (n *node) ownInFlightAt(t time.Time) int {
	step := t.UnixNano() / int64(historyStep)
	step = min(n.currentStep, max(step, n.currentStep-historyLen+1))
	return int(n.history[step%historyLen])
}

// recordLatencyRatio records the ratio of the actual to the expected time to
// the first token.
func (n *node) recordLatencyRatio(ratio float64, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.samples++
	n.sampledAt = now
	if n.samples == 1 {
		n.latencyRatio = ratio
		return
	}
	n.latencyRatio += sampleWeight * (ratio - n.latencyRatio)
}

func (n *node) markFailed(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.avoidUntil = now.Add(avoidPeriod)
}
