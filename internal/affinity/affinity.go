// Package affinity places requests on backend servers: those that share a
// prompt part go to the same server, as long as it is not much fuller than the
// others. It answers a load in which reading a long shared part again costs far
// more than a short wait, and in which every router sees an equal mix.
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

	mu    sync.Mutex // guards the map and what it points to
	nodes map[string]*node
}

// node is what a router knows of one server from its own requests.
type node struct {
	born     int64
	inFlight int
	failures int // in a row
	suspect  time.Time
}

// New returns a placer of a router in a data centre.
func New(dataCentre string) *Placer {
	return &Placer{dataCentre: dataCentre, nodes: map[string]*node{}}
}

// Placed is a request at a server. Done is called once.
type Placed struct {
	Server membership.Server
	// InFlight is how many requests the router had there before, and Mean over
	// all candidates.
	InFlight int
	Mean     float64
	Suspect  bool // it has failed lately, and so have all others

	placer *Placer
	node   *node
}

// Pick chooses one of the servers and counts the request there. It returns
// false if all were tried.
func (p *Placer) Pick(servers []membership.Server, q Query) (*Placed, bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	candidates, total := p.candidates(servers, q.Tried, now)
	if len(candidates) == 0 {
		return nil, false
	}
	mean := float64(total) / float64(len(candidates))
	var best candidate
	if q.Key == "" {
		best = p.leastLoaded(candidates)
	} else {
		best = preferred(candidates, q.Key, loadBound*mean+loadSlack)
	}
	placed := &Placed{
		Server: best.server, InFlight: best.node.inFlight, Mean: mean, Suspect: now.Before(best.node.suspect),
		placer: p, node: best.node,
	}
	best.node.inFlight++
	return placed, true
}

type candidate struct {
	server membership.Server
	node   *node
}

// candidates lists the servers that were not tried; suspects only if there is
// no other.
func (p *Placer) candidates(servers []membership.Server, tried []string, now time.Time) (list []candidate, total int) {
	var suspects []candidate
	for _, s := range servers {
		if contains(tried, s.ID) {
			continue
		}
		n := p.node(s)
		if now.Before(n.suspect) {
			suspects = append(suspects, candidate{s, n})
			continue
		}
		list = append(list, candidate{s, n})
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
func (p *Placer) node(s membership.Server) *node {
	n := p.nodes[s.ID]
	if n == nil || n.born != s.Born {
		n = &node{born: s.Born}
		p.nodes[s.ID] = n
	}
	return n
}

// preferred returns the candidate that a key prefers most among those that are
// not too full.
func preferred(candidates []candidate, key string, bound float64) candidate {
	best, bestScore := -1, uint64(0)
	least := 0
	for i, c := range candidates {
		if c.node.inFlight < candidates[least].node.inFlight {
			least = i
		}
		if float64(c.node.inFlight) > bound {
			continue
		}
		if score := xxhash.Sum64String(c.server.ID + "/" + key); best < 0 || score > bestScore {
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
		a, b := c.node.inFlight*best.server.Slots, best.node.inFlight*c.server.Slots
		if a < b || (a == b && c.server.DataCentre == p.dataCentre && best.server.DataCentre != p.dataCentre) {
			best = c
		}
	}
	return best
}

// Done ends a request at its server.
func (p *Placed) Done() {
	p.placer.mu.Lock()
	defer p.placer.mu.Unlock()
	p.node.inFlight--
}

// Answered notes that the server answered.
func (p *Placed) Answered() {
	p.placer.mu.Lock()
	defer p.placer.mu.Unlock()
	p.node.failures = 0
	p.node.suspect = time.Time{}
}

// Failed notes that the server could not be reached or broke off, and returns
// for how long it is avoided.
func (p *Placed) Failed() time.Duration {
	p.placer.mu.Lock()
	defer p.placer.mu.Unlock()
	pause := min(suspectFor<<min(p.node.failures, 8), suspectLongest)
	p.node.failures++
	p.node.suspect = time.Now().Add(pause)
	return pause
}

// Keep forgets the servers that are not kept.
func (p *Placer) Keep(kept func(id string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, n := range p.nodes {
		if n.inFlight == 0 && !kept(id) {
			delete(p.nodes, id)
		}
	}
}
