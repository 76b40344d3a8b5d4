package placement

import (
	"math"
	"math/rand/v2"
)

// Policy chooses one of at least one candidates.
type Policy func(c *choice) int

// choice is one decision.
type choice struct {
	views  []view
	blocks int
	costs  costs
	rand   *rand.Rand
}

// costs are the group's estimates, in seconds.
type costs struct {
	block float64 // to prefill one block
	run   float64 // that a run holds its slot
}

// Random takes any candidate.
func Random(c *choice) int {
	return c.rand.IntN(len(c.views))
}

// LeastLoad takes the candidate with the least load per slot.
func LeastLoad(c *choice) int {
	best := 0
	for i := range c.views {
		if relative(&c.views[i]) < relative(&c.views[best]) {
			best = i
		}
	}
	return best
}

// TwoChoices takes the less loaded of two random candidates.
func TwoChoices(c *choice) int {
	a, b := c.two()
	if relative(&c.views[b]) < relative(&c.views[a]) {
		return b
	}
	return a
}

// Affinity takes the candidate with the longest cached prefix; among equals,
// the less loaded of two.
func Affinity(c *choice) int {
	longest := c.longest()
	if longest == 0 {
		return TwoChoices(c)
	}
	best := -1
	for i := range c.views {
		v := &c.views[i]
		if v.depth == longest && (best < 0 || relative(v) < relative(&c.views[best])) {
			best = i
		}
	}
	return best
}

// Limits of Chosen.
const (
	// loadBound is how far above the mean load per slot a candidate may be
	// for the sake of its cache.
	loadBound = 1.25
	// loadSlack is allowed on top, in slots.
	loadSlack = 1.0
	// uncertainty is the spread of a load against its square root.
	uncertainty = 0.6
)

// LeastLatency weighs a candidate with the longest cached prefix and two random ones
// by the time that the first token will probably take.
func LeastLatency(c *choice) int {
	best, cost := -1, 0.0
	bound := c.bound()
	weigh := func(i int) {
		v := &c.views[i]
		if best >= 0 && v.load > max(bound*v.slots+loadSlack, v.slots) {
			return
		}
		if estimate := c.firstToken(v); best < 0 || estimate < cost {
			best, cost = i, estimate
		}
	}
	a, b := c.two()
	weigh(a)
	weigh(b)
	if i := c.holder(); i >= 0 {
		weigh(i)
	}
	return best
}

// firstToken estimates the time to the first token, in seconds.
func (c *choice) firstToken(v *view) float64 {
	wait := waiting(v.load+1, v.slots) / v.slots * c.costs.run
	// Prefills of one server take turns: what runs beside slows this one.
	share := 1 + min(v.load, v.slots)/v.slots
	prefill := float64(c.blocks-v.depth+1) * c.costs.block
	return v.slow * (wait + prefill*share)
}

// waiting returns how many runs probably wait, given a late estimate of the
// load: the mean of what exceeds the slots if the load is off by its square
// root.
func waiting(load, slots float64) float64 {
	spread := uncertainty * math.Sqrt(load)
	return spread * math.Log1p(math.Exp((load-slots)/spread))
}

// bound returns the load per slot from which on a cache does not count.
func (c *choice) bound() float64 {
	load, slots := 0.0, 0.0
	for i := range c.views {
		load += c.views[i].load
		slots += c.views[i].slots
	}
	return loadBound * load / slots
}

// holder returns a candidate with the longest prefix, or -1. Which one of many
// that hold the same is left to chance: routers that all took the least loaded
// would meet there, since they all know the load late.
func (c *choice) holder() int {
	best := -1
	from := c.rand.IntN(len(c.views))
	for k := range c.views {
		i := (from + k) % len(c.views)
		depth := c.views[i].depth
		if depth > 0 && (best < 0 || depth > c.views[best].depth) {
			best = i
		}
	}
	return best
}

func (c *choice) longest() int {
	longest := 0
	for i := range c.views {
		longest = max(longest, c.views[i].depth)
	}
	return longest
}

// two draws two candidates, different ones if there are two.
func (c *choice) two() (int, int) {
	n := len(c.views)
	a := c.rand.IntN(n)
	if n == 1 {
		return a, a
	}
	b := c.rand.IntN(n - 1)
	if b >= a {
		b++
	}
	return a, b
}

// relative is the load per slot. Only Chosen knows of slow servers.
func relative(v *view) float64 {
	return v.load / v.slots
}
