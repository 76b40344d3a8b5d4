package placement

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// Picker places the runs of one router. It is safe for concurrent use: each
// server's state has its own lock, and the set of servers is replaced as a
// whole.
type Picker struct {
	config Config

	mu      sync.RWMutex // guards the maps; nodes and groups have their own locks
	nodes   map[ident.Incarnation]*node
	servers []*Server
	groups  map[Requirements]*group
}

// group holds the state shared by the servers that meet the same Requirements.
type group struct {
	nodes   []*node // the router's subset
	servers []*Server

	mu      sync.Mutex // guards all fields below
	costs   costs
	rand    *rand.Rand
	scratch []candidate // buffer reused by each Pick
}

// Estimates before the first sample, in seconds.
const (
	initialBlockCost = 0.005
	initialRunCost   = 2.0
)

// New returns a Picker without servers.
func New(config Config) *Picker {
	return &Picker{
		config: config.withDefaults(),
		nodes:  map[ident.Incarnation]*node{},
		groups: map[Requirements]*group{},
	}
}

// Update replaces the set of servers. The state of those that remain is kept.
func (p *Picker) Update(servers []*Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	nodes := make(map[ident.Incarnation]*node, len(servers))
	for _, s := range servers {
		n, ok := p.nodes[s.Gate]
		if !ok {
			n = newNode(s, p.config.CacheBlocks)
		}
		n.setServer(s)
		nodes[s.Gate] = n
	}
	p.nodes = nodes
	p.servers = servers
	old := p.groups
	p.groups = map[Requirements]*group{}
	for required, g := range old {
		p.groups[required] = p.newGroup(required, g.estimates())
	}
}

// setServer replaces the description of a server. Once a server is leaving, only
// a report can undo that.
func (n *node) setServer(s *Server) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.server = s
	n.leaving = n.leaving || s.Leaving
}

func (g *group) estimates() costs {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.costs
}

// newGroup builds the group of the servers that meet the requirements. The
// caller holds p.mu.
func (p *Picker) newGroup(required Requirements, initial costs) *group {
	seed := p.config.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	g := &group{costs: initial, rand: rand.New(rand.NewPCG(seed, 1))}
	for _, s := range p.servers {
		if s.Serves(required) {
			g.servers = append(g.servers, s)
		}
	}
	for _, s := range Subset(p.config.Router, g.servers, p.config.Subset) {
		g.nodes = append(g.nodes, p.nodes[s.Gate])
	}
	return g
}

func (p *Picker) group(required Requirements) *group {
	p.mu.RLock()
	g, ok := p.groups[required]
	p.mu.RUnlock()
	if ok {
		return g
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if g, ok = p.groups[required]; ok {
		return g
	}
	g = p.newGroup(required, costs{block: initialBlockCost, run: initialRunCost})
	p.groups[required] = g
	return g
}

func (p *Picker) node(gate ident.Incarnation) *node {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.nodes[gate]
}

// Owners returns the owner servers of a key, best first, among those that meet
// the requirements.
func (p *Picker) Owners(required Requirements, key ident.Key) []*Server {
	return Owners(key, p.group(required).servers)
}

// PolledServers returns the servers whose reports the router needs: its subset
// for each of the Requirements that have been queried.
func (p *Picker) PolledServers() []*Server {
	p.mu.RLock()
	defer p.mu.RUnlock()
	seen := map[ident.Incarnation]bool{}
	var servers []*Server
	for _, g := range p.groups {
		for _, n := range g.nodes {
			if s := n.currentServer(); !seen[s.Gate] {
				seen[s.Gate] = true
				servers = append(servers, s)
			}
		}
	}
	return servers
}

func (n *node) currentServer() *Server {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.server
}

// overcommit is how many runs per slot a router sends to a server. A value above
// 1 gives the engines a short queue from which they keep their batches full.
const overcommit = 1.5

// ConcurrencyLimit returns how many runs this router may have in flight on the
// servers that meet the requirements. It is at least 1.
func (p *Picker) ConcurrencyLimit(required Requirements) int {
	limit := 0
	for _, n := range p.group(required).nodes {
		limit += n.concurrencyLimit()
	}
	return max(1, limit)
}

func (n *node) concurrencyLimit() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leaving {
		return 0
	}
	return max(0, int(overcommit*float64(n.slots))-n.otherLoad)
}

// ApplyReport updates the state of a server from its report. Reports of unknown
// servers are ignored.
func (p *Picker) ApplyReport(gate ident.Incarnation, r *Report) {
	if n := p.node(gate); n != nil {
		n.applyReport(r, p.config.Now(), p.config.ReportLag, p.config.CacheLag)
	}
}

// CacheMark returns the mark up to which the changes of a server's prefix cache
// have been applied, the zero mark for an unknown server.
func (p *Picker) CacheMark(gate ident.Incarnation) wire.CacheMark {
	if n := p.node(gate); n != nil {
		return n.cacheMark()
	}
	return wire.CacheMark{}
}

// MarkFailed records that a server was unreachable or aborted a run. It is then
// avoided for avoidPeriod.
func (p *Picker) MarkFailed(gate ident.Incarnation) {
	if n := p.node(gate); n != nil {
		n.markFailed(p.config.Now())
	}
}

// Run is a run placed on a server. Done must be called exactly once.
type Run struct {
	Server *Server

	picker          *Picker
	group           *group
	node            *node
	started         time.Time
	expectedLatency float64 // expected time to the first token on a server that is not slow, in seconds
	uncachedBlocks  int     // blocks to prefill
	noWait          bool    // the server had a free slot
}

// Pick chooses a server and counts the run as in flight there. It returns
// false if no server can take the run.
func (p *Picker) Pick(q *Query) (*Run, bool) {
	g := p.group(q.Requirements)
	nodes := g.nodes
	if len(q.Allowed) > 0 {
		nodes = p.allowedNodes(q)
	}
	now := p.config.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	candidates := g.candidates(nodes, q, now)
	if len(candidates) == 0 {
		return nil, false
	}
	c := choice{candidates: candidates, blocks: len(q.Blocks), costs: g.costs, rand: g.rand}
	v := &candidates[p.config.Policy(&c)]
	run := &Run{
		Server:         v.node.currentServer(),
		picker:         p,
		group:          g,
		node:           v.node,
		started:        now,
		uncachedBlocks: len(q.Blocks) - v.cachedBlocks + 1,
		noWait:         v.load < v.slots,
	}
	v.slowdown = 1
	run.expectedLatency = c.timeToFirstToken(v)
	v.node.addRun(q, now)
	return run, true
}

// candidates returns the nodes that can take the query. Nodes that failed
// recently are left out unless there are no others. The caller holds g.mu.
func (g *group) candidates(nodes []*node, q *Query, now time.Time) []candidate {
	candidates, avoided := g.scratch[:0], 0
	for _, n := range nodes {
		if slices.Contains(q.Exclude, n.gate) {
			continue
		}
		v, ok := n.candidate(q, now)
		if !ok {
			continue
		}
		candidates = append(candidates, v)
		if n.isAvoided(now) {
			last := len(candidates) - 1
			candidates[last], candidates[avoided] = candidates[avoided], candidates[last]
			avoided++
		}
	}
	g.scratch = candidates
	if avoided < len(candidates) {
		candidates = candidates[avoided:]
	}
	computeSlowdowns(candidates)
	return candidates
}

func (p *Picker) allowedNodes(q *Query) []*node {
	p.mu.RLock()
	defer p.mu.RUnlock()
	var nodes []*node
	for _, gate := range q.Allowed {
		if n := p.nodes[gate]; n != nil {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// FirstToken records that the run's first token has just arrived.
func (r *Run) FirstToken() {
	now := r.picker.config.Now()
	latency := now.Sub(r.started).Seconds()
	r.node.recordLatencyRatio(latency/r.expectedLatency, now)
	if r.noWait {
		r.group.updateCosts(latency/float64(r.uncachedBlocks), 0)
	}
}

// Done records that the run has ended or was never started.
func (r *Run) Done() {
	now := r.picker.config.Now()
	r.node.removeRun(now)
	r.group.updateCosts(0, now.Sub(r.started).Seconds())
}

// updateCosts adds samples, in seconds, to the group's cost estimates; zero means
// no sample.
func (g *group) updateCosts(block, run float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if block > 0 {
		g.costs.block += sampleWeight / 4 * (block - g.costs.block)
	}
	if run > 0 {
		g.costs.run += sampleWeight / 4 * (run - g.costs.run)
	}
}
