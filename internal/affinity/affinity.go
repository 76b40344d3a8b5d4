// Package affinity places requests on backend servers. Requests that share a
// part of their prompt go to the same server, unless its load is far above the
// mean. This suits loads in which processing a long shared part again costs far
// more than a short wait, and in which every router sees the same mix of
// requests. The load of a server that answers slowly or fails requests is
// multiplied by a penalty. In a large fleet, loads are those of all routers'
// requests.
package affinity

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/camphorlever/camphorlever/internal/coldlimit"
	"github.com/camphorlever/camphorlever/internal/loadview"
	"github.com/camphorlever/camphorlever/internal/membership"
)

// Limits on load and avoidance.
const (
	// loadBound limits the load of a server that is preferred for its cache, as
	// a multiple of the mean load; 1.25 is the usual bound of consistent hashing
	// with bounded loads.
	loadBound = 1.25
	// loadSlack is the load allowed on top of that limit, in requests, so that at
	// low load single requests do not divert others.
	loadSlack = 2
	// avoidPeriod is how long a server is avoided after its first failure, about
	// the time in which every server writes its entry once. It doubles with each
	// further failure in a row, up to maxAvoidPeriod.
	avoidPeriod    = 500 * time.Millisecond
	maxAvoidPeriod = 4 * time.Second
	// ReturnPeriod is how long the share of requests for which a server may be chosen
	// grows after a pause that it asked for, from none to all.
	ReturnPeriod = 2 * time.Second
)

// Query describes a request that needs a server.
type Query struct {
	Key   string   // requests with the same key share a cached prompt part; empty: any server
	Tried []string // IDs of the servers already tried

	PromptTokens int64 // zero if unknown
	// UniqueTokens are those of the last prompt part, which no server is taken to have cached.
	UniqueTokens int64
}

// Placer chooses servers and counts this router's requests in flight at each of
// them. It is safe for concurrent use.
type Placer struct {
	dataCentre string
	cold       *coldlimit.Limiter // nil if cold servers are not limited

	mu       sync.Mutex // guards all fields below and the objects they point to
	nodes    map[string]*node
	services map[string]*baseline
	fleet    *fleetLoads // of all routers; nil if only this router's requests are known
}

// node is the state of one incarnation of a server, as observed by this router's
// own requests.
type node struct {
	startedMS  int64
	inFlight   int
	failures   int       // consecutive
	avoidUntil time.Time // after a failure
	pauseUntil time.Time // the server asked for no requests before; zero if it never did
	sequence   int64     // sequence number of the server's newest entry
	replaced   bool      // another server now answers at the address in that entry
	health     health
	credit     float64          // in the choice by room; see fleetLoads.byRoom
	shared     *loadview.Server // the server in the fleet's loads; nil until first needed
}

// New returns a placer for a router in the given data centre.
func New(dataCentre string) *Placer {
	return &Placer{dataCentre: dataCentre, nodes: map[string]*node{}, services: map[string]*baseline{}}
}

// Placement is a request placed on a server. Done must be called exactly once.
type Placement struct {
	Server membership.Server
	// InFlight is the number of the router's requests in flight at the server
	// before this one, MeanInFlight the mean over all candidates.
	InFlight     int
	MeanInFlight float64
	// Load is the load of the server before this request, and MeanLoad the mean over all
	// candidates. If loads are exchanged, they include the requests of other routers and
	// unread prompt tokens, and View says how well they are known.
	Load, MeanLoad float64
	View           loadview.View
	LoadPenalty    float64 // factor on the load of the server for slowness and failures, at least 1
	// Suspect means that the server failed recently or was replaced. It was chosen
	// because this holds for all servers not tried yet.
	Suspect bool
	Cold    bool // the server is cold

	reservation *coldlimit.Reservation // nil unless the server is cold

	placer   *Placer
	node     *node
	baseline *baseline
	entry    *loadview.Entry // nil if no loads are exchanged
	begun    time.Time
}

// Pick chooses one of the servers, all of one service, and counts the request
// as in flight there. It returns false if all have been tried or asked for a pause.
func (p *Placer) Pick(servers []membership.Server, q Query) (*Placement, bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cold != nil && p.cold.AnyCold() {
		if warm, cold := p.splitCold(servers, now); len(cold) > 0 {
			return p.pickBesideCold(warm, cold, q, now)
		}
	}
	candidates, total := p.candidates(servers, q.Tried, now)
	if len(candidates) == 0 {
		return nil, false
	}
	baseline := p.baseline(servers[0].Service)
	baseline.setPenalties(candidates, now)
	l := p.setLoads(candidates, total)
	return p.place(p.choose(candidates, q.Key, l, baseline, now), q, l, baseline, now), true
}

// loads is the load of all candidates of a choice.
type loads struct {
	meanInFlight float64 // of this router's requests
	mean         float64
	view         loadview.View
	exchanged    bool // mean and the candidates' loads are those of all routers' requests
}

// setLoads sets the loads of the candidates, which have a number of this router's requests in
// flight. The caller holds p.mu.
func (p *Placer) setLoads(candidates []candidate, inFlight int) loads {
	l := loads{meanInFlight: float64(inFlight) / float64(len(candidates))}
	l.mean, l.view, l.exchanged = p.fleet.setLoads(candidates, l.meanInFlight)
	return l
}

// limit is the highest load of a server that is preferred for its cache.
func (l loads) limit() float64 { return loadBound*l.mean + loadSlack }

// choose returns the candidate for a request with a key, which may be empty. The caller holds
// p.mu.
func (p *Placer) choose(candidates []candidate, key string, l loads, baseline *baseline, now time.Time) candidate {
	switch {
	case l.exchanged:
		return p.fleet.choose(candidates, key, l.mean, l.view, baseline.meanDuration(now))
	case key == "":
		return p.leastLoaded(candidates)
	default:
		return preferred(candidates, key, l.limit())
	}
}

// place counts a request as in flight at a server. The caller holds p.mu.
func (p *Placer) place(best candidate, q Query, l loads, baseline *baseline, now time.Time) *Placement {
	placed := &Placement{
		Server: *best.server, InFlight: best.node.inFlight, MeanInFlight: l.meanInFlight,
		Load: best.requests, MeanLoad: l.mean, View: l.view, LoadPenalty: best.penalty, Suspect: best.node.isAvoided(now),
		placer: p, node: best.node, baseline: baseline, entry: p.fleet.begin(best, q, now), begun: now,
	}
	best.node.inFlight++
	return placed
}

// candidate is a server that may be chosen.
type candidate struct {
	server   *membership.Server
	node     *node
	requests float64 // load without the penalty: requests in flight
	penalty  float64
	pace     float64 // latency relative to the healthy servers
}

// load returns the requests in flight weighted by the penalty. A candidate with a
// penalty counts as busy even if nothing is in flight there.
func (c candidate) load() float64 {
	return (c.requests+1)*c.penalty - 1
}

// candidates returns the servers that have not been tried and asked for no pause, and
// their total requests in flight. Those that are avoided, or that return from a pause and
// are not due for this request, are included only if there are no others.
func (p *Placer) candidates(servers []membership.Server, tried []string, now time.Time) (eligible []candidate, total int) {
	eligible = make([]candidate, 0, len(servers))
	var avoided []candidate
	for i := range servers {
		s := &servers[i]
		if contains(tried, s.ID) {
			continue
		}
		n := p.node(s)
		returning := false
		if !n.pauseUntil.IsZero() {
			if n.isPaused(now) {
				continue
			}
			returning = !n.isDue(now)
		}
		if returning || n.isAvoided(now) {
			avoided = append(avoided, candidate{server: s, node: n, requests: float64(n.inFlight)})
			continue
		}
		eligible = append(eligible, candidate{server: s, node: n, requests: float64(n.inFlight)})
		total += n.inFlight
	}
	if len(eligible) > 0 {
		return eligible, total
	}
	for _, c := range avoided {
		total += c.node.inFlight
	}
	return avoided, total
}

func contains(list []string, id string) bool {
	for _, s := range list {
		if s == id {
			return true
		}
	}
	return false
}

// node returns the state of the present incarnation of a server, creating it if
// needed. The caller holds p.mu.
func (p *Placer) node(s *membership.Server) *node {
	n := p.nodes[s.ID]
	if n == nil || n.startedMS != s.StartedMS {
		n = &node{startedMS: s.StartedMS, credit: rand.Float64()}
		p.nodes[s.ID] = n
	}
	if s.Sequence > n.sequence {
		n.sequence, n.replaced = s.Sequence, false
	}
	return n
}

// baseline returns the results of all servers of a service, creating them if
// needed. The caller holds p.mu.
func (p *Placer) baseline(service string) *baseline {
	b := p.services[service]
	if b == nil {
		b = newBaseline()
		p.services[service] = b
	}
	return b
}

// isPaused reports whether a server has asked for no requests now.
func (n *node) isPaused(now time.Time) bool {
	return now.Before(n.pauseUntil)
}

// isDue reports whether a server that returns from a pause may be chosen for a request. It
// is true for a growing share of them, so that their number does not jump.
func (n *node) isDue(now time.Time) bool {
	since := now.Sub(n.pauseUntil)
	return since >= ReturnPeriod || rand.N(ReturnPeriod) < since
}

// Pause records that a server asked for no requests until a time, and reports whether it
// was not paused before. A shorter pause does not end a longer one.
func (p *Placer) Pause(s membership.Server, until time.Time) (begins bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.node(&s)
	begins = !n.isPaused(time.Now())
	if until.After(n.pauseUntil) {
		n.pauseUntil = until
	}
	return begins
}

// Availability tells whether one of several servers may be chosen.
type Availability struct {
	Available bool
	// PausedUntil is when the first of the servers that asked for a pause may be chosen
	// again, zero if none asked.
	PausedUntil time.Time
}

// Availability returns whether one of the servers that have not been tried may be chosen.
func (p *Placer) Availability(servers []membership.Server, tried []string) Availability {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var a Availability
	for i := range servers {
		if contains(tried, servers[i].ID) {
			continue
		}
		n := p.node(&servers[i])
		if !n.isPaused(now) {
			return Availability{Available: true}
		}
		if a.PausedUntil.IsZero() || n.pauseUntil.Before(a.PausedUntil) {
			a.PausedUntil = n.pauseUntil
		}
	}
	return a
}

// isAvoided reports whether a server gets requests only if there is no other.
func (n *node) isAvoided(now time.Time) bool {
	return n.replaced || now.Before(n.avoidUntil)
}

// preferred returns the candidate with the highest rendezvous score for a key
// among those whose load is within the limit, or the least loaded one if there
// is none.
func preferred(candidates []candidate, key string, limit float64) candidate {
	if best := withinLimit(candidates, key, limit); best >= 0 {
		return candidates[best]
	}
	least := 0
	for i, c := range candidates {
		if c.load() < candidates[least].load() {
			least = i
		}
	}
	return candidates[least]
}

// withinLimit returns the index of the candidate with the highest rendezvous score for a
// key among those whose load is within the limit, -1 if there is none.
func withinLimit(candidates []candidate, key string, limit float64) int {
	best, bestScore := -1, uint64(0)
	digest := xxhash.New()
	for i := range candidates {
		c := &candidates[i]
		if c.load() > limit {
			continue
		}
		digest.Reset()
		_, _ = digest.WriteString(key) // never fails
		_, _ = digest.WriteString(c.server.ID)
		if score := digest.Sum64(); best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// leastLoaded returns a candidate with the least load per slot; among equals it
// prefers one in the router's data centre.
func (p *Placer) leastLoaded(candidates []candidate) candidate {
	start := rand.IntN(len(candidates))
	best := candidates[start]
	for k := 1; k < len(candidates); k++ {
		c := candidates[(start+k)%len(candidates)]
		a, b := c.load()*float64(best.server.Slots), best.load()*float64(c.server.Slots)
		if a < b || (a == b && c.server.DataCentre == p.dataCentre && best.server.DataCentre != p.dataCentre) {
			best = c
		}
	}
	return best
}

// Done records that the request is no longer in flight at its server.
func (p *Placement) Done() {
	p.placer.mu.Lock()
	defer p.placer.mu.Unlock()
	p.node.inFlight--
	if p.entry != nil {
		p.entry.End()
	}
	if p.reservation != nil {
		p.reservation.Release()
	}
}

// RecordFirstResponse records the first part of the answer to a request of a
// route, and its delay since the request was sent.
func (p *Placement) RecordFirstResponse(route string, delay time.Duration) {
	p.placer.mu.Lock()
	defer p.placer.mu.Unlock()
	if p.entry != nil {
		p.entry.Read()
	}
	p.baseline.recordLatency(&p.node.health, route, delay, time.Now())
}

// RecordAnswer records that the server answered, and whether with a failure. It
// clears the record of earlier connection failures.
func (p *Placement) RecordAnswer(failed bool) {
	p.placer.mu.Lock()
	defer p.placer.mu.Unlock()
	p.node.failures = 0
	p.node.avoidUntil = time.Time{}
	now := time.Now()
	p.baseline.recordResult(&p.node.health, failed, now)
	if !failed {
		p.baseline.recordDuration(now.Sub(p.begun), now)
	}
}

// RecordRefusal records that the server did not run the request, which counts as
// a failure.
func (p *Placement) RecordRefusal() {
	p.placer.mu.Lock()
	defer p.placer.mu.Unlock()
	p.baseline.recordResult(&p.node.health, true, time.Now())
}

// MarkReplaced records that another server answers at the address. The server's
// entry is outdated, so the server is avoided until a newer entry is known.
func (p *Placement) MarkReplaced() {
	p.placer.mu.Lock()
	defer p.placer.mu.Unlock()
	p.node.replaced = p.Server.Sequence == p.node.sequence
}

// MarkFailed records that the server was unreachable or aborted the request, and
// returns for how long the server is avoided.
func (p *Placement) MarkFailed() time.Duration {
	p.placer.mu.Lock()
	defer p.placer.mu.Unlock()
	pause := min(avoidPeriod<<min(p.node.failures, 8), maxAvoidPeriod)
	p.node.failures++
	p.node.avoidUntil = time.Now().Add(pause)
	return pause
}

// RetainServers drops the state of the servers that are not retained and have no
// requests in flight, and of routes without recent requests.
func (p *Placer) RetainServers(retain func(id string) bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, n := range p.nodes {
		if n.inFlight == 0 && !retain(id) {
			delete(p.nodes, id)
		}
	}
	for _, b := range p.services {
		b.dropIdleRoutes(now)
	}
}
