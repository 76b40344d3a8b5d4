package affinity

import (
	"math"
	"time"
)

// Judging servers by what their requests see. It answers a load in which some
// servers have turned slow, or fail part of what they are sent, while their
// entries say that they are well. A server is compared with the others of its
// service, so that what all of them share, such as long prompts, a high load or a
// usual share of failures, is held against none.
const (
	// memory is over what time results count, in seconds: long enough for some
	// results at a few requests a second and server, short enough that a server
	// which has recovered gets work again within some seconds.
	memory = 3.0
	// prior is how many average results are assumed of a server that is not
	// known, so that single results decide little.
	prior = 3.0
	// slowFrom is how many times as long as elsewhere answers take before a
	// server counts as slow; a part of a prompt that is not cached costs less.
	slowFrom = 2.0
	// failsFrom is the share of failures beyond the usual one from which a
	// server counts as failing.
	failsFrom = 0.15
	// failureCost is how much fuller a server counts that fails all requests: a
	// failure costs a request all its worth, a full server a part of it.
	failureCost = 10.0
	// leastWeight is the weight of the results of a route below which they say
	// nothing any more.
	leastWeight = 1e-3
	// mostBurden bounds how much fuller a server may count.
	mostBurden = 16.0
)

// tally is a sum in which results lose weight with their age.
type tally struct {
	sum, weight float64
	at          time.Time
}

// age lets the results lose weight up to a time.
func (t *tally) age(now time.Time) {
	if t.weight > 0 {
		kept := math.Exp(-max(now.Sub(t.at).Seconds(), 0) / memory)
		t.sum *= kept
		t.weight *= kept
	}
	t.at = now
}

func (t *tally) add(now time.Time, value float64) {
	t.age(now)
	t.sum += value
	t.weight++
}

// mean returns the mean with some results at a usual value added.
func (t *tally) mean(now time.Time, usual float64) float64 {
	if t.weight == 0 {
		return usual
	}
	t.age(now)
	return (t.sum + prior*usual) / (t.weight + prior)
}

// health is what the results of requests say of a server.
type health struct {
	pace     tally // time to the first answer, by the usual one of its route
	failures tally // 1 for a failed request, 0 for a good one
}

// baseline is what requests of a service see at all its servers.
type baseline struct {
	delays   map[string]*tally // time to the first answer by route, in seconds
	failures tally
}

func newBaseline() *baseline {
	return &baseline{delays: map[string]*tally{}}
}

// answered takes the time to the first answer of a request into account.
func (b *baseline) answered(h *health, route string, delay time.Duration, now time.Time) {
	t := b.delays[route]
	if t == nil {
		t = &tally{}
		b.delays[route] = t
	}
	t.add(now, delay.Seconds())
	if mean := t.sum / t.weight; mean > 0 {
		h.pace.add(now, delay.Seconds()/mean)
	}
}

// forget drops the routes that had no requests for long.
func (b *baseline) forget(now time.Time) {
	for route, t := range b.delays {
		if t.age(now); t.weight < leastWeight {
			delete(b.delays, route)
		}
	}
}

// ended takes the end of a request into account.
func (b *baseline) ended(h *health, failed bool, now time.Time) {
	value := 0.0
	if failed {
		value = 1
	}
	b.failures.add(now, value)
	h.failures.add(now, value)
}

// burden returns how much fuller a server counts than it is, 1 for a healthy
// one. The pace is that of the healthy servers of the service.
func (b *baseline) burden(h *health, pace float64, now time.Time) float64 {
	burden := 1.0
	if slow := h.pace.mean(now, 1) / pace; slow > slowFrom {
		burden = slow * slow // so that one just beyond the limit is passed by when idle
	}
	share := b.failures.mean(now, 0)
	if beyond := h.failures.mean(now, share) - share; beyond > failsFrom {
		burden += failureCost * beyond
	}
	return min(burden, mostBurden)
}

// burdens sets the burden of all candidates.
func (b *baseline) burdens(candidates []candidate, now time.Time) {
	pace := healthyPace(candidates, now)
	for i := range candidates {
		candidates[i].burden = b.burden(&candidates[i].node.health, pace, now)
	}
}

// healthyPace returns the mean pace of those servers that are not slower than
// the mean of all, so that slow ones do not hide each other.
func healthyPace(candidates []candidate, now time.Time) float64 {
	sum := 0.0
	for _, c := range candidates {
		sum += c.node.health.pace.mean(now, 1)
	}
	mean, healthy, n := sum/float64(len(candidates)), 0.0, 0
	for _, c := range candidates {
		if pace := c.node.health.pace.mean(now, 1); pace <= mean {
			healthy += pace
			n++
		}
	}
	if n == 0 {
		return mean // all are equal but for rounding
	}
	return healthy / float64(n)
}
