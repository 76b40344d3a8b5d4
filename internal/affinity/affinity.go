// Package affinity places requests on backend servers: those that share a
// prompt part go to the same server, as long as it is not much fuller than the
// others. It answers a load in which reading a long shared part again costs far
// more than a short wait, and in which every router sees an equal mix. Servers
// that answer slowly or fail requests count as fuller than they are.
package affinity

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/camphorlever/camphorlever/internal/membership"
)

// Limits of the choice.
const (
	// loadBound is how far above the mean a server may be loaded for the sake
	// of its cache; 1.25 is the usual bound of consistent hashing with bounded
	// loads.
	loadBound = 1.25
	// loadSlack is allowed on top, in requests, so that single requests do not
	// push others off at low load.
	loadSlack = 2
	// suspectFor is how long a server that failed is avoided the first time,
	// about a round of the entries of the servers; it doubles up to
	// suspectLongest.
	suspectFor     = 500 * time.Millisecond
	suspectLongest = 4 * time.Second
)

// Query asks for a server.
type Query struct {
	Key   string // requests with the same key share a cache; empty: any server
	Tried []string
}

// Placer counts what this router has in flight at each server. It is safe for
// concurrent use.
type Placer struct {
	dataCentre string

	mu       sync.Mutex // guards all below and what it points to
	nodes    map[string]*node
	services map[string]*baseline
}

// node is what a router knows of one server from its own requests.
type node struct {
	born     int64
	inFlight int
	failures int       // in a row
	suspect  time.Time // until then it is avoided
	sequence int64     // of its newest entry
	replaced bool      // another server has the address of that entry
	health   health
}

// New returns a placer of a router in a data centre.
func New(dataCentre string) *Placer {
	return &Placer{dataCentre: dataCentre, nodes: map[string]*node{}, services: map[string]*baseline{}}
}

// Placement is a request at a server. Done is called once.
type Placement struct {
	Server membership.Server
	// InFlight is how many requests the router had there before, and Mean over
	// all candidates.
	InFlight     int
	MeanInFlight float64
	LoadPenalty  float64 // how much fuller the server counts for being slow or failing
	Suspect      bool    // it has failed lately or was replaced, and so have all others

	placer   *Placer
	node     *node
	baseline *baseline
}

// Pick chooses one of the servers and counts the request there. It returns
// false if all were tried.
func (p *Placer) Pick(servers []membership.Server, q Query) (*Placement, bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	candidates, total := p.candidates(servers, q.Tried, now)
	if len(candidates) == 0 {
		return nil, false
	}
	mean := float64(total) / float64(len(candidates))
	baseline := p.baseline(servers[0].Service)
	baseline.burdens(candidates, now)
	var best candidate
	if q.Key == "" {
		best = p.leastLoaded(candidates)
	} else {
		best = preferred(candidates, q.Key, loadBound*mean+loadSlack)
	}
	placed := &Placement{
		Server: *best.server, InFlight: best.node.inFlight, MeanInFlight: mean, LoadPenalty: best.burden, Suspect: best.node.avoided(now),
		placer: p, node: best.node, baseline: baseline,
	}
	best.node.inFlight++
	return placed, true
}

type candidate struct {
	server *membership.Server
	node   *node
	burden float64
}

// load is how full a candidate counts. A burdened one counts as busy even if
// nothing is in flight there.
func (c candidate) load() float64 {
	return float64(c.node.inFlight+1)*c.burden - 1
}

// candidates lists the servers that were not tried; suspects only if there is
// no other.
func (p *Placer) candidates(servers []membership.Server, tried []string, now time.Time) (list []candidate, total int) {
	list = make([]candidate, 0, len(servers))
	var suspects []candidate
	for i := range servers {
		s := &servers[i]
		if contains(tried, s.ID) {
			continue
		}
		n := p.node(s)
		if n.avoided(now) {
			suspects = append(suspects, candidate{server: s, node: n})
			continue
		}
		list = append(list, candidate{server: s, node: n})
		total += n.inFlight
	}
	if len(list) > 0 {
		return list, total
	}
	for _, c := range suspects {
		total += c.node.inFlight
	}
	return suspects, total
}

func contains(list []string, id string) bool {
	for _, s := range list {
		if s == id {
			return true
		}
	}
	return false
}

// node returns what is known of a life of a server. The lock is held.
func (p *Placer) node(s *membership.Server) *node {
	n := p.nodes[s.ID]
	if n == nil || n.born != s.StartedMS {
		n = &node{born: s.StartedMS}
		p.nodes[s.ID] = n
	}
	if s.Sequence > n.sequence {
		n.sequence, n.replaced = s.Sequence, false
	}
	return n
}

// baseline returns what is known of all servers of a service. The lock is held.
func (p *Placer) baseline(service string) *baseline {
	b := p.services[service]
	if b == nil {
		b = newBaseline()
		p.services[service] = b
	}
	return b
}

// avoided reports whether a server gets work only if there is no other.
func (n *node) avoided(now time.Time) bool {
	return n.replaced || now.Before(n.suspect)
}

// preferred returns the candidate that a key prefers most among those that are
// not too full.
func preferred(candidates []candidate, key string, bound float64) candidate {
	best, bestScore := -1, uint64(0)
	least, digest := 0, xxhash.New()
	for i, c := range candidates {
		if c.load() < candidates[least].load() {
			least = i
		}
		if c.load() > bound {
			continue
		}
		digest.Reset()
		_, _ = digest.WriteString(key) // it never fails
		_, _ = digest.WriteString(c.server.ID)
		if score := digest.Sum64(); best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		best = least
	}
	return candidates[best]
}

// leastLoaded returns a candidate with the fewest requests in flight per slot;
// among equals one of the own data centre.
func (p *Placer) leastLoaded(candidates []candidate) candidate {
	from := rand.IntN(len(candidates))
	best := candidates[from]
	for k := 1; k < len(candidates); k++ {
		c := candidates[(from+k)%len(candidates)]
		a, b := c.load()*float64(best.server.Slots), best.load()*float64(c.server.Slots)
		if a < b || (a == b && c.server.DataCentre == p.dataCentre && best.server.DataCentre != p.dataCentre) {
			best = c
		}
	}
	return best
}

// Done ends a request at its server.
func (p *Placement) Done() {
	p.placer.mu.Lock()
	defer p.placer.mu.Unlock()
	p.node.inFlight--
}

// RecordFirstResponse notes the first part of an answer to a request of a route, which came
// some time after the request was sent.
func (p *Placement) RecordFirstResponse(route string, delay time.Duration) {
	p.placer.mu.Lock()
	defer p.placer.mu.Unlock()
	p.baseline.answered(&p.node.health, route, delay, time.Now())
}

// RecordAnswer notes that the server answered, and whether with a failure.
func (p *Placement) RecordAnswer(failed bool) {
	p.placer.mu.Lock()
	defer p.placer.mu.Unlock()
	p.node.failures = 0
	p.node.suspect = time.Time{}
	p.baseline.ended(&p.node.health, failed, time.Now())
}

// RecordRefusal notes that the server did not run the request.
func (p *Placement) RecordRefusal() {
	p.placer.mu.Lock()
	defer p.placer.mu.Unlock()
	p.baseline.ended(&p.node.health, true, time.Now())
}

// MarkReplaced notes that another server has the address. The entry of the server is
// old, and it is avoided until there is a newer one.
func (p *Placement) MarkReplaced() {
	p.placer.mu.Lock()
	defer p.placer.mu.Unlock()
	p.node.replaced = p.Server.Sequence == p.node.sequence
}

// MarkFailed notes that the server could not be reached or broke off, and returns
// for how long it is avoided.
func (p *Placement) MarkFailed() time.Duration {
	p.placer.mu.Lock()
	defer p.placer.mu.Unlock()
	pause := min(suspectFor<<min(p.node.failures, 8), suspectLongest)
	p.node.failures++
	p.node.suspect = time.Now().Add(pause)
	return pause
}

// RetainServers forgets the servers that are not kept, and routes without requests.
func (p *Placer) RetainServers(kept func(id string) bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, n := range p.nodes {
		if n.inFlight == 0 && !kept(id) {
			delete(p.nodes, id)
		}
	}
	for _, b := range p.services {
		b.forget(now)
	}
}
