package side

import (
	"context"
	"sync"
	"time"
)

const (
	// settleAppendsPerS is the share of the log service's appends that the
	// settlements of all side processes together may use.
	settleAppendsPerS = 100
	// minSettleDelay and maxSettleDelay bound how long settlements gather.
	// The delay costs no caller anything: a router frees what a run did not
	// use when the run ends, not when it is billed.
	minSettleDelay = 200 * time.Millisecond
	maxSettleDelay = time.Minute
)

// pace says how long a side process lets settlements of a shard gather. All
// side processes together then keep to the log service's appends, however
// many there are.
type pace struct {
	sides  func() int
	shards int

	mu      sync.Mutex // guards urgent and changed
	urgent  int        // how many wait for settlements
	changed chan struct{}
}

func newPace(sides func() int, shards int) *pace {
	return &pace{sides: sides, shards: shards, changed: make(chan struct{})}
}

// delay is the time between two appends to one shard.
func (p *pace) delay() time.Duration {
	writers := p.sides() * p.shards
	share := time.Duration(writers) * time.Second / settleAppendsPerS
	return min(max(share, minSettleDelay), maxSettleDelay)
}

// hurry cuts the delay to its least until done is called.
func (p *pace) hurry() (done func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.urgent++
	close(p.changed)
	p.changed = make(chan struct{})
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.urgent--
	}
}

func (p *pace) state() (urgent bool, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.urgent > 0, p.changed
}

// wait lets settlements gather, at most until ctx ends.
func (p *pace) wait(ctx context.Context) {
	urgent, changed := p.state()
	if urgent {
		pauseFor(ctx, minSettleDelay)
		return
	}
	timer := time.NewTimer(p.delay())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-changed:
	case <-ctx.Done():
	}
}
