package gate

import "sync"

// numbers gives out run numbers and knows below which all are settled.
type numbers struct {
	// mu guards the fields and is the innermost lock.
	mu      sync.Mutex
	floor   uint64 // the lowest number that is not settled
	settled []bool // of the numbers from floor on
}

func (n *numbers) init() {
	n.floor = 1
}

// next gives out the next number; the first is 1.
func (n *numbers) next() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.settled = append(n.settled, false)
	return n.floor + uint64(len(n.settled)) - 1
}

// settle marks a number as settled.
func (n *numbers) settle(number uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.settled[number-n.floor] = true
	for len(n.settled) > 0 && n.settled[0] {
		n.settled = n.settled[1:]
		n.floor++
	}
}

// settledBelow returns the lowest number that is not settled.
func (n *numbers) settledBelow() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.floor
}
