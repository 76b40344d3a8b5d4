package gate

import "sync"

// runNumbers allocates the numbers of the runs and tracks below which number
// all runs are settled.
type runNumbers struct {
	// mu guards the fields below. No other lock is acquired while it is held.
	mu      sync.Mutex
	floor   uint64 // the lowest number whose run is not settled
	settled []bool // for the numbers from floor on
}

func (n *runNumbers) init() {
	n.floor = 1
}

// next allocates the next number; the first is 1.
func (n *runNumbers) next() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.settled = append(n.settled, false)
	return n.floor + uint64(len(n.settled)) - 1
}

// settle marks the run of a number as settled.
func (n *runNumbers) settle(number uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.settled[number-n.floor] = true
	for len(n.settled) > 0 && n.settled[0] {
		n.settled = n.settled[1:]
		n.floor++
	}
}

// lowestUnsettled returns the lowest number whose run is not settled. It may
// not be allocated yet.
func (n *runNumbers) lowestUnsettled() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.floor
}
