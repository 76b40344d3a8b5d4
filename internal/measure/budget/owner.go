package budget

import "time"

// Times of the lease.
const (
	leaseTime = 15 * time.Second
	// late is how long after it woke a paused owner answers the requests that
	// were forwarded to it meanwhile.
	late = 2 * time.Second
)

// ownerLease lets one router decide on a budget under a lease in the log. The
// next owner is granted exact knowledge of the runs in progress. An owner that
// was paused past its lease wakes, still believes it holds it, and decides on
// the requests in its sockets; the next owner learns of these runs when they
// are settled.
type ownerLease struct {
	teams   []ownership
	waiting map[*request]bool // forwarded to an owner that was asleep
}

type ownership struct {
	owner   int
	renewed time.Duration
	known   int64 // what the owner believes is left, with bounds reserved
	old     int   // the owner before
	stale   int64 // what that one believes is left
}

func newOwnerLease(s *scenario) *ownerLease {
	p := &ownerLease{teams: make([]ownership, len(s.d.teams)), waiting: map[*request]bool{}}
	for team := range p.teams {
		p.teams[team] = ownership{owner: team % routerCount, old: -1}
	}
	return p
}

func (p *ownerLease) publish(_ *world, t topUp) {
	p.teams[t.team].known += t.tokens
}

func (p *ownerLease) tick(w *world) {
	for team := range p.teams {
		o := &p.teams[team]
		if w.s.logReaches(siteOf(o.owner), w.now) && !w.s.asleep(o.owner, w.now) {
			o.renewed = w.now
			continue
		}
		if w.now-o.renewed >= leaseTime {
			p.takeOver(w, o)
		}
	}
}

// takeOver gives a lapsed lease to the next router that reaches the log.
func (p *ownerLease) takeOver(w *world, o *ownership) {
	for i := 1; i < routerCount; i++ {
		next := (o.owner + i) % routerCount
		if w.s.logReaches(siteOf(next), w.now) && !w.s.asleep(next, w.now) {
			o.old, o.stale = o.owner, o.known
			o.owner, o.renewed = next, w.now
			return
		}
	}
}

// byStale is the ticket of a run that an owner without a lease let in.
type byStale struct{}

func (p *ownerLease) admit(w *world, router int, r *request) (ticket, bool) {
	o := &p.teams[r.team]
	if p.waiting[r] && o.old == w.s.sleeper && w.now >= w.s.paused.to && w.now < w.s.paused.to+late {
		if o.stale < r.bound {
			return nil, false
		}
		o.stale -= r.bound
		return byStale{}, true
	}
	if !w.s.reaches(siteOf(router), siteOf(o.owner), w.now) || w.now-o.renewed >= leaseTime {
		return nil, false
	}
	if w.s.asleep(o.owner, w.now) {
		p.waiting[r] = true
		return nil, false
	}
	if o.known < r.bound {
		return nil, false
	}
	o.known -= r.bound
	return nil, true
}

func (p *ownerLease) finish(_ *world, _ int, r *request, t ticket) {
	o := &p.teams[r.team]
	if t == (byStale{}) {
		o.known -= r.cost()
		return
	}
	o.known += r.bound - r.cost()
}
