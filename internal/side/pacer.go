package side

import (
	"context"
	"sync"
	"time"
)

const (
	// maxSettleAppendsPerS is the rate of appends to the log service that the
	// settlements of all side processes together may use.
	maxSettleAppendsPerS = 100
	// minSettleDelay and maxSettleDelay bound how long settlements are
	// collected before an append. The delay has no cost for callers: a router
	// releases a run's unused tokens when the run ends, not when it is billed.
	minSettleDelay = 200 * time.Millisecond
	maxSettleDelay = time.Minute
)

// appendPacer determines how long a side process collects the settlements of a
// shard before it appends them. The delay grows with the number of side
// processes, so that all together stay below maxSettleAppendsPerS, except where
// maxSettleDelay caps the delay.
type appendPacer struct {
	sideCount func() int
	shards    int

	mu      sync.Mutex // guards urgent and changed
	urgent  int        // number of expedite calls whose done has not been called
	changed chan struct{}
}

func newAppendPacer(sideCount func() int, shards int) *appendPacer {
	return &appendPacer{sideCount: sideCount, shards: shards, changed: make(chan struct{})}
}

// delay returns the time between two appends to one shard.
func (p *appendPacer) delay() time.Duration {
	writers := p.sideCount() * p.shards
	share := time.Duration(writers) * time.Second / maxSettleAppendsPerS
	return min(max(share, minSettleDelay), maxSettleDelay)
}

// expedite shortens the delay to minSettleDelay until done is called. It also
// ends waits in progress.
func (p *appendPacer) expedite() (done func()) {
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

func (p *appendPacer) state() (urgent bool, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.urgent > 0, p.changed
}

// wait blocks while settlements are collected. It returns early when ctx ends,
// or when expedite is called during the normal delay.
func (p *appendPacer) wait(ctx context.Context) {
	urgent, changed := p.state()
	if urgent {
		sleep(ctx, minSettleDelay)
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
