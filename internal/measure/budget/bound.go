package budget

import (
	"math"
	"slices"
)

// Steps of the search for the best division.
const (
	shareSteps = 60
	sizeSteps  = 12
)

// proportional returns the false refusals per 10,000 requests of a division by
// demand: it knows how the demand is spread but not that there will be a cut.
func proportional(s *scenario) float64 {
	if s.cut == (span{}) {
		return 0
	}
	var total int
	for team := range s.d.teams {
		var requests []*request
		var all, off int64
		for i := range s.trace {
			r := &s.trace[i]
			if r.team != team {
				continue
			}
			requests = append(requests, r)
			all += r.cost()
			if siteOf(r.router) == 0 {
				off += r.cost()
			}
		}
		total += divide(s, requests, float64(off)/float64(all), math.MaxInt64)
	}
	return float64(total) * 10_000 / float64(len(s.trace))
}

// fewest returns the false refusals per 10,000 requests of the best division
// that was found: it knows the trace, shares each budget between the two sides
// of a cut when the cut begins, and refuses requests above some size on the
// cut-off side. Without a cut a common pool refuses nothing falsely.
func fewest(s *scenario) float64 {
	if s.cut == (span{}) {
		return 0
	}
	var total int
	for team := range s.d.teams {
		total += fewestOf(s, team)
	}
	return float64(total) * 10_000 / float64(len(s.trace))
}

func fewestOf(s *scenario, team int) int {
	var requests []*request
	var costs []int64
	for i := range s.trace {
		if r := &s.trace[i]; r.team == team {
			requests = append(requests, r)
			costs = append(costs, r.cost())
		}
	}
	slices.Sort(costs)
	best := len(requests)
	for share := range shareSteps + 1 {
		for size := range sizeSteps {
			limit := costs[len(costs)-1-size*len(costs)/sizeSteps]
			best = min(best, divide(s, requests, float64(share)/shareSteps, limit))
			if best == 0 {
				return 0
			}
		}
	}
	return best
}

// divide plays one division of a budget and returns the false refusals.
func divide(s *scenario, requests []*request, share float64, limit int64) int {
	var pool, cutPool, published int64
	var split bool
	var refused int
	for _, r := range requests {
		now := s.publishedBy(r.team, r.at)
		pool += now - published
		published = now
		inCut := s.cut.has(r.at)
		if inCut && !split {
			cutPool = int64(float64(pool) * share)
			pool -= cutPool
		}
		if !inCut && split {
			pool, cutPool = pool+cutPool, 0
		}
		split = inCut
		from := &pool
		off := inCut && siteOf(r.router) == 0
		if off {
			from = &cutPool
		}
		switch {
		case *from >= r.cost() && (!off || r.cost() <= limit):
			*from -= r.cost()
		case pool+cutPool >= r.cost():
			refused++
		}
	}
	return refused
}
