package budget

// central is one pool that every router reaches at all times, whatever the
// faults. It reserves bounds, as it does not know what a run will use: no
// policy that can be built refuses less in a scenario without a cut.
type central struct {
	free []int64
}

func newCentral(s *scenario) *central {
	return &central{free: make([]int64, len(s.d.teams))}
}

func (p *central) publish(_ *world, t topUp) {
	p.free[t.team] += t.tokens
}

func (p *central) tick(*world) {}

func (p *central) admit(_ *world, _ int, r *request) (ticket, bool) {
	if p.free[r.team] < r.bound {
		return nil, false
	}
	p.free[r.team] -= r.bound
	return nil, true
}

func (p *central) finish(_ *world, _ int, r *request, _ ticket) {
	p.free[r.team] += r.bound - r.cost()
}
