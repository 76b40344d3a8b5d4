package placement

import (
	"math"
	"math/rand/v2"
)

// Policy returns the index of the chosen candidate. There is at least one
// candidate.
type Policy func(c *choice) int

// choice is the input of one decision.
type choice struct {
	candidates []candidate
	blocks     int
	costs      costs
	rand       *rand.Rand
}

// costs are a group's estimates, in seconds.
type costs struct {
	block float64 // time to prefill one block
	run   float64 // time that a run occupies its slot
}

// Random chooses a candidate uniformly at random.
func Random(c *choice) int {
	return c.rand.IntN(len(c.candidates))
}

// LeastLoad chooses the candidate with the least load per slot.
func LeastLoad(c *choice) int {
	best := 0
	for i := range c.candidates {
		if loadPerSlot(&c.candidates[i]) < loadPerSlot(&c.candidates[best]) {
			best = i
		}
	}
	return best
}

// TwoChoices chooses the less loaded of two random candidates.
func TwoChoices(c *choice) int {
	a, b := c.twoRandom()
	if loadPerSlot(&c.candidates[b]) < loadPerSlot(&c.candidates[a]) {
		return b
	}
	return a
}

// Affinity chooses the least loaded of the candidates with the longest cached
// prefix. If no candidate has a cached prefix, it is TwoChoices.
func Affinity(c *choice) int {
	longest := c.longestPrefix()
	if longest == 0 {
		return TwoChoices(c)
	}
	best := -1
	for i := range c.candidates {
		v := &c.candidates[i]
		if v.cachedBlocks == longest && (best < 0 || loadPerSlot(v) < loadPerSlot(&c.candidates[best])) {
			best = i
		}
	}
	return best
}

// Parameters of LeastLatency.
const (
	// loadBound limits the load per slot of a candidate that is preferred for
	// its cache, as a multiple of the mean load per slot.
	loadBound = 1.25
	// loadSlack is the load allowed on top of that limit, in slots.
	loadSlack = 1.0
	// loadUncertainty is the standard error of an estimated load as a multiple
	// of its square root.
	loadUncertainty = 0.6
)

// LeastLatency compares two random candidates and one with the longest cached
// prefix and chooses the one with the least expected time to the first token.
func LeastLatency(c *choice) int {
	best, cost := -1, 0.0
	limit := c.loadLimit()
	consider := func(i int) {
		v := &c.candidates[i]
		if best >= 0 && v.load > max(limit*v.slots+loadSlack, v.slots) {
			return
		}
		if estimate := c.timeToFirstToken(v); best < 0 || estimate < cost {
			best, cost = i, estimate
		}
	}
	a, b := c.twoRandom()
	consider(a)
	consider(b)
	if i := c.prefixHolder(); i >= 0 {
		consider(i)
	}
	return best
}

// timeToFirstToken estimates the time to the first token on a candidate, in
// seconds.
func (c *choice) timeToFirstToken(v *candidate) float64 {
	wait := expectedQueue(v.load+1, v.slots) / v.slots * c.costs.run
	// Prefills on one server alternate with the other runs there, which slow
	// this one down.
	share := 1 + min(v.load, v.slots)/v.slots
	prefill := float64(c.blocks-v.cachedBlocks+1) * c.costs.block
	return v.slowdown * (wait + prefill*share)
}

// expectedQueue returns the expected number of waiting runs given an outdated
// estimate of the load: approximately the mean excess over the slots if the
// error of the load is loadUncertainty times its square root.
func expectedQueue(load, slots float64) float64 {
	spread := loadUncertainty * math.Sqrt(load)
	return spread * math.Log1p(math.Exp((load-slots)/spread))
}

// loadLimit returns the load per slot above which a cached prefix no longer
// counts.
func (c *choice) loadLimit() float64 {
	load, slots := 0.0, 0.0
	for i := range c.candidates {
		load += c.candidates[i].load
		slots += c.candidates[i].slots
	}
	return loadBound * load / slots
}

// prefixHolder returns a candidate with the longest cached prefix, or -1 if none
// has a cached block. The scan starts at a random candidate, so that not all
// routers choose the same one among equals: all routers see the load late, so if
// each took the least loaded they would overload the same server.
func (c *choice) prefixHolder() int {
	best := -1
	start := c.rand.IntN(len(c.candidates))
	for k := range c.candidates {
		i := (start + k) % len(c.candidates)
		depth := c.candidates[i].cachedBlocks
		if depth > 0 && (best < 0 || depth > c.candidates[best].cachedBlocks) {
			best = i
		}
	}
	return best
}

func (c *choice) longestPrefix() int {
	longest := 0
	for i := range c.candidates {
		longest = max(longest, c.candidates[i].cachedBlocks)
	}
	return longest
}

// twoRandom draws two random candidates, distinct if there are at least two.
func (c *choice) twoRandom() (int, int) {
	n := len(c.candidates)
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

// loadPerSlot returns the load of a candidate per slot. It does not account for
// slow servers; only LeastLatency does.
func loadPerSlot(v *candidate) float64 {
	return v.load / v.slots
}
