package gate

import (
	"sync"
	"sync/atomic"
	"time"
)

// buffer accounts for the memory of all answers of a gate and chooses what is
// dropped. The answers themselves stand in their runs.
type buffer struct {
	bytes     atomic.Int64 // retained events of all runs, and requests in progress
	droppable atomic.Int64 // part of bytes that belongs to finished runs
	limit     atomic.Int64 // bytes

	// mu guards the lists. No other lock is taken under it.
	mu        sync.Mutex
	retention time.Duration
	running   map[*run]struct{}
	finished  []finishedRun // oldest first
}

// finishedRun is an answer that waits for its retention to end.
type finishedRun struct {
	run *run
	at  time.Time
}

func (b *buffer) init(limit int64, retention time.Duration) {
	b.limit.Store(limit)
	b.retention = retention
	b.running = make(map[*run]struct{})
}

func (b *buffer) setLimits(limit int64, retention time.Duration) {
	if limit > 0 {
		b.limit.Store(limit)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if retention > 0 {
		b.retention = retention
	}
}

func (b *buffer) started(r *run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running[r] = struct{}{}
}

// ended moves a run to the finished ones and returns what was dropped.
func (b *buffer) ended(r *run, now time.Time) []*run {
	b.bytes.Add(-r.bodyBytes)
	b.droppable.Add(r.size.Load())
	b.mu.Lock()
	delete(b.running, r)
	b.finished = append(b.finished, finishedRun{run: r, at: now})
	b.mu.Unlock()
	return b.shrink(now)
}

// grow accounts for new events and reports whether the limit is exceeded.
func (b *buffer) grow(size int64) bool {
	return b.bytes.Add(size) > b.limit.Load()
}

// full reports whether a request would take more than its share of the buffer
// even if every finished answer were dropped. An eighth is left for the runs
// in progress to grow.
func (b *buffer) full(size int64) bool {
	limit := b.limit.Load()
	return b.bytes.Load()-b.droppable.Load()+size > limit-limit/8
}

// shrink drops what is past its retention, and more while the limit is
// exceeded. It returns the finished runs whose answers were dropped.
func (b *buffer) shrink(now time.Time) []*run {
	var dropped []*run
	for {
		r := b.oldest(now)
		if r == nil {
			break
		}
		freed := r.drop()
		b.bytes.Add(-freed)
		b.droppable.Add(-freed)
		dropped = append(dropped, r)
	}
	for b.bytes.Load() > b.limit.Load() {
		r := b.largest()
		if r == nil {
			break
		}
		freed := r.trim()
		b.bytes.Add(-freed)
		if freed == 0 {
			break
		}
	}
	return dropped
}

// oldest removes and returns the oldest finished run if it has to be dropped.
func (b *buffer) oldest(now time.Time) *run {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.finished) == 0 {
		return nil
	}
	head := b.finished[0]
	if b.bytes.Load() <= b.limit.Load() && now.Sub(head.at) < b.retention {
		return nil
	}
	b.finished[0] = finishedRun{}
	b.finished = b.finished[1:]
	return head.run
}

// largest returns the running run with the largest answer.
func (b *buffer) largest() *run {
	b.mu.Lock()
	defer b.mu.Unlock()
	var largest *run
	for r := range b.running {
		if largest == nil || r.size.Load() > largest.size.Load() {
			largest = r
		}
	}
	return largest
}

// drop forgets the events of a finished run and returns their size in bytes.
func (r *run) drop() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.first += uint64(len(r.events))
	r.events = nil
	r.dropped = true
	r.wake()
	return r.size.Swap(0)
}

// trim forgets the older half of a running answer, or less if that suffices to
// forget all that every reader has read. It returns the freed bytes.
func (r *run) trim() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return 0 // its size is accounted for as droppable
	}
	count := r.readByAll()
	if count == 0 {
		count = (len(r.events) + 1) / 2
	}
	var freed int64
	for _, e := range r.events[:count] {
		freed += int64(len(e.data) + eventOverhead)
	}
	r.events = append([]event(nil), r.events[count:]...)
	r.first += uint64(count)
	r.size.Add(-freed)
	r.wake()
	return freed
}

// readByAll returns how many retained events every reader has read. It is
// called under the lock.
func (r *run) readByAll() int {
	if len(r.readers) == 0 {
		return 0
	}
	slowest := r.first + uint64(len(r.events))
	for a := range r.readers {
		slowest = min(slowest, a.next)
	}
	return int(slowest - min(slowest, r.first))
}
