package budget

// equalSplit gives every router the same part of every top-up.
type equalSplit struct {
	seen  [][]int64 // top-ups known, by router and team
	taken [][]int64 // spent and reserved, by router and team
}

func newEqualSplit(s *scenario) *equalSplit {
	return &equalSplit{seen: table(s), taken: table(s)}
}

// table returns a zero for every router and team.
func table(s *scenario) [][]int64 {
	t := make([][]int64, routerCount)
	for i := range t {
		t[i] = make([]int64, len(s.d.teams))
	}
	return t
}

func (p *equalSplit) publish(*world, topUp) {}

func (p *equalSplit) tick(w *world) {
	for router := range p.seen {
		if !w.s.logReaches(siteOf(router), w.now) || w.s.asleep(router, w.now) {
			continue
		}
		for team := range p.seen[router] {
			p.seen[router][team] = w.s.publishedBy(team, w.now) / routerCount
		}
	}
}

func (p *equalSplit) admit(_ *world, router int, r *request) (ticket, bool) {
	if p.seen[router][r.team]-p.taken[router][r.team] < r.bound {
		return nil, false
	}
	p.taken[router][r.team] += r.bound
	return nil, true
}

func (p *equalSplit) finish(_ *world, router int, r *request, _ ticket) {
	p.taken[router][r.team] -= r.bound - r.cost()
}

// fixedRuns is how many average runs a grant of fixedGrant pays for.
const fixedRuns = 60

// fixedGrant draws grants of one size when a router is short and gives none
// back.
type fixedGrant struct {
	size int64
	free []int64   // in the ledger, by team
	hand [][]int64 // by router and team
}

func newFixedGrant(s *scenario) *fixedGrant {
	var total int64
	for i := range s.trace {
		total += s.trace[i].cost()
	}
	size := fixedRuns * total / int64(len(s.trace))
	return &fixedGrant{size: size, free: make([]int64, len(s.d.teams)), hand: table(s)}
}

func (p *fixedGrant) publish(_ *world, t topUp) {
	p.free[t.team] += t.tokens
}

func (p *fixedGrant) tick(*world) {}

func (p *fixedGrant) admit(w *world, router int, r *request) (ticket, bool) {
	hand := &p.hand[router][r.team]
	if *hand < r.bound && w.s.logReaches(siteOf(router), w.now) {
		tokens := min(max(p.size, r.bound-*hand), p.free[r.team])
		*hand += tokens
		p.free[r.team] -= tokens
	}
	if *hand < r.bound {
		return nil, false
	}
	*hand -= r.bound
	return nil, true
}

func (p *fixedGrant) finish(_ *world, router int, r *request, _ ticket) {
	p.hand[router][r.team] += r.bound - r.cost()
}
