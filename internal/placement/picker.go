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
// server's state stands under its own lock, and the set of servers is
// replaced as a whole.
type Picker struct {
	config Config

	mu      sync.RWMutex // guards the maps; nodes and groups have their own locks
	nodes   map[ident.Incarnation]*node
	servers []*Server
	groups  map[Requirements]*group
}

// group holds what the servers of one Want have in common.
type group struct {
	nodes []*node // the router's subset
	all   []*Server

	mu    sync.Mutex // guards the estimates and the source of random numbers
	costs costs
	rand  *rand.Rand
	views []view // scratch of one decision
}

// Estimates before the first sample, in seconds.
const (
	firstBlockCost = 0.005
	firstRunCost   = 2.0
)

// New returns a Picker without servers.
func New(config Config) *Picker {
	return &Picker{
		config: config.withDefaults(),
		nodes:  map[ident.Incarnation]*node{},
		groups: map[Requirements]*group{},
	}
}

// Update replaces the set of servers. What is known of those that stay is kept.
func (p *Picker) Update(servers []*Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	nodes := make(map[ident.Incarnation]*node, len(servers))
	for _, s := range servers {
		n, ok := p.nodes[s.Gate]
		if !ok {
			n = newNode(s, p.config.CacheBlocks)
		}
		n.describe(s)
		nodes[s.Gate] = n
	}
	p.nodes = nodes
	p.servers = servers
	old := p.groups
	p.groups = map[Requirements]*group{}
	for want, g := range old {
		p.groups[want] = p.newGroup(want, g.estimates())
	}
}

// describe replaces the description of a server that stays.
func (n *node) describe(s *Server) {
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

// newGroup needs the Picker's lock.
func (p *Picker) newGroup(want Requirements, known costs) *group {
	seed := p.config.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	g := &group{costs: known, rand: rand.New(rand.NewPCG(seed, 1))}
	for _, s := range p.servers {
		if s.Serves(want) {
			g.all = append(g.all, s)
		}
	}
	for _, s := range Subset(p.config.Router, g.all, p.config.Subset) {
		g.nodes = append(g.nodes, p.nodes[s.Gate])
	}
	return g
}

func (p *Picker) group(want Requirements) *group {
	p.mu.RLock()
	g, ok := p.groups[want]
	p.mu.RUnlock()
	if ok {
		return g
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if g, ok = p.groups[want]; ok {
		return g
	}
	g = p.newGroup(want, costs{block: firstBlockCost, run: firstRunCost})
	p.groups[want] = g
	return g
}

func (p *Picker) node(gate ident.Incarnation) *node {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.nodes[gate]
}

// Owners returns the home servers of a key among those that serve the Want.
func (p *Picker) Owners(want Requirements, key ident.Key) []*Server {
	return Owners(key, p.group(want).all)
}

// PolledServers returns the servers whose reports the router needs: its subsets of
// all that was asked for.
func (p *Picker) PolledServers() []*Server {
	p.mu.RLock()
	defer p.mu.RUnlock()
	seen := map[ident.Incarnation]bool{}
	var watched []*Server
	for _, g := range p.groups {
		for _, n := range g.nodes {
			if s := n.description(); !seen[s.Gate] {
				seen[s.Gate] = true
				watched = append(watched, s)
			}
		}
	}
	return watched
}

func (n *node) description() *Server {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.server
}

// Overcommit is how many runs per slot a router sends to the servers: the
// engines keep their batches full from a short queue of their own.
const overcommit = 1.5

// ConcurrencyLimit returns how many runs this router may have in flight for a Want.
func (p *Picker) ConcurrencyLimit(want Requirements) int {
	room := 0
	for _, n := range p.group(want).nodes {
		room += n.room()
	}
	return max(1, room)
}

func (n *node) room() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leaving {
		return 0
	}
	return max(0, int(overcommit*float64(n.slots))-n.others)
}

// ApplyReport takes in what a server told of itself.
func (p *Picker) ApplyReport(gate ident.Incarnation, r *Report) {
	if n := p.node(gate); n != nil {
		n.report(r, p.config.Now(), p.config.ReportLag, p.config.CacheLag)
	}
}

// CacheMark returns up to where the changes of a server's cache are known.
func (p *Picker) CacheMark(gate ident.Incarnation) wire.CacheMark {
	if n := p.node(gate); n != nil {
		return n.cacheMark()
	}
	return wire.CacheMark{}
}

// MarkFailed notes that a server could not be reached or broke a run off.
func (p *Picker) MarkFailed(gate ident.Incarnation) {
	if n := p.node(gate); n != nil {
		n.fail(p.config.Now())
	}
}

// Run is a placed run. Done must be called once.
type Run struct {
	Server *Server

	picker   *Picker
	group    *group
	node     *node
	started  time.Time
	expected float64 // time to the first token, in seconds, if not slow
	missing  int     // blocks to prefill
	idle     bool    // no wait was expected
}

// Pick chooses a server and counts the run as in flight there. It returns
// false if no server can take it.
func (p *Picker) Pick(q *Query) (*Run, bool) {
	g := p.group(q.Requirements)
	nodes := g.nodes
	if len(q.Allowed) > 0 {
		nodes = p.only(q)
	}
	now := p.config.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	views := g.look(nodes, q, now)
	if len(views) == 0 {
		return nil, false
	}
	c := choice{views: views, blocks: len(q.Blocks), costs: g.costs, rand: g.rand}
	v := &views[p.config.Policy(&c)]
	run := &Run{
		Server:  v.node.description(),
		picker:  p,
		group:   g,
		node:    v.node,
		started: now,
		missing: len(q.Blocks) - v.depth + 1,
		idle:    v.load < v.slots,
	}
	v.slow = 1
	run.expected = c.firstToken(v)
	v.node.start(q, now)
	return run, true
}

// look collects the candidates; it needs the group's lock. Suspected servers
// are left out as long as there are others.
func (g *group) look(nodes []*node, q *Query, now time.Time) []view {
	views, suspects := g.views[:0], 0
	for _, n := range nodes {
		if slices.Contains(q.Exclude, n.gate) {
			continue
		}
		v, ok := n.look(q, now)
		if !ok {
			continue
		}
		views = append(views, v)
		if n.suspected(now) {
			last := len(views) - 1
			views[last], views[suspects] = views[suspects], views[last]
			suspects++
		}
	}
	g.views = views
	if suspects < len(views) {
		views = views[suspects:]
	}
	markSlow(views)
	return views
}

func (p *Picker) only(q *Query) []*node {
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

// FirstToken tells that the run's first token came now.
func (r *Run) FirstToken() {
	now := r.picker.config.Now()
	took := now.Sub(r.started).Seconds()
	r.node.sample(took/r.expected, now)
	if r.idle {
		r.group.learn(took/float64(r.missing), 0)
	}
}

// Done tells that the run is over or was never begun.
func (r *Run) Done() {
	now := r.picker.config.Now()
	r.node.end(now)
	r.group.learn(0, now.Sub(r.started).Seconds())
}

// learn takes samples of the group's costs in; zero means no sample.
func (g *group) learn(block, run float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if block > 0 {
		g.costs.block += smoothing / 4 * (block - g.costs.block)
	}
	if run > 0 {
		g.costs.run += smoothing / 4 * (run - g.costs.run)
	}
}
