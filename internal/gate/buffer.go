package gate

import (
	"sync"
	"sync/atomic"
	"time"
)

// buffer accounts for the memory of all answers of a gate and chooses what to
// drop. The answers themselves are stored in their runs.
type buffer struct {
	bytes     atomic.Int64 // retained events of all runs, and bodies of the requests in progress
	droppable atomic.Int64 // part of bytes that belongs to finished runs
	limit     atomic.Int64 // bytes

	// mu guards the fields below. No other lock is acquired while it is held.
	mu        sync.Mutex
	retention time.Duration
	running   map[*run]struct{}
	finished  []finishedRun // oldest first
}

// finishedRun is a finished run whose answer is still retained.
type finishedRun struct {
	run        *run
	finishedAt time.Time
}

func (b *buffer) init(limit int64, retention time.Duration) {
	b.limit.Store(limit)
	b.retention = retention
	b.running = make(map[*run]struct{})
}

// setLimits changes the limits. Values that are not positive leave a limit
// unchanged.
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

func (b *buffer) addRunning(r *run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running[r] = struct{}{}
}

// moveToFinished moves a run from the running to the finished runs and returns
// the runs whose answers were dropped.
func (b *buffer) moveToFinished(r *run, now time.Time) []*run {
	b.bytes.Add(-r.bodyBytes)
	b.droppable.Add(r.eventBytes.Load())
	b.mu.Lock()
	delete(b.running, r)
	b.finished = append(b.finished, finishedRun{run: r, finishedAt: now})
	b.mu.Unlock()
	return b.reclaim(now)
}

// addBytes accounts for size more bytes and reports whether the limit is
// exceeded.
func (b *buffer) addBytes(size int64) bool {
	return b.bytes.Add(size) > b.limit.Load()
}

// full reports whether a request body of the given size does not fit into the
// buffer even if every finished answer were dropped. An eighth of the buffer
// is reserved so that the answers of the runs in progress can grow.
func (b *buffer) full(size int64) bool {
	limit := b.limit.Load()
	return b.bytes.Load()-b.droppable.Load()+size > limit-limit/8
}

// reclaim drops finished answers past their retention, and more while the
// limit is exceeded. If that is not enough, it trims the answers of the largest
// runs in progress. It returns the finished runs whose answers were dropped.
func (b *buffer) reclaim(now time.Time) []*run {
	var dropped []*run
	for {
		r := b.popOldestFinished(now)
		if r == nil {
			break
		}
		freed := r.dropEvents()
		b.bytes.Add(-freed)
		b.droppable.Add(-freed)
		dropped = append(dropped, r)
	}
	for b.bytes.Load() > b.limit.Load() {
		r := b.largestRunning()
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

// popOldestFinished removes and returns the oldest finished run if its
// retention has passed or the limit is exceeded. Otherwise it returns nil.
func (b *buffer) popOldestFinished(now time.Time) *run {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.finished) == 0 {
		return nil
	}
	head := b.finished[0]
	if b.bytes.Load() <= b.limit.Load() && now.Sub(head.finishedAt) < b.retention {
		return nil
	}
	b.finished[0] = finishedRun{}
	b.finished = b.finished[1:]
	return head.run
}

// largestRunning returns the run in progress with the largest answer, nil if
// there is none.
func (b *buffer) largestRunning() *run {
	b.mu.Lock()
	defer b.mu.Unlock()
	var largest *run
	for r := range b.running {
		if largest == nil || r.eventBytes.Load() > largest.eventBytes.Load() {
			largest = r
		}
	}
	return largest
}

// dropEvents drops all events of a finished run and returns their size in
// bytes.
func (r *run) dropEvents() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.firstOffset += uint64(len(r.events))
	r.events = nil
	r.dropped = true
	r.wakeReaders()
	return r.eventBytes.Swap(0)
}

// trim drops the events of a run in progress that all its readers have read.
// If there are none, or the run has no readers, it drops the older half of the
// events. It returns the number of bytes freed.
func (r *run) trim() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return 0 // the size of a finished run is already counted as droppable
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
	r.firstOffset += uint64(count)
	r.eventBytes.Add(-freed)
	r.wakeReaders()
	return freed
}

// readByAll returns how many of the retained events every reader has read. It
// requires r.mu.
func (r *run) readByAll() int {
	if len(r.readers) == 0 {
		return 0
	}
	slowest := r.firstOffset + uint64(len(r.events))
	for a := range r.readers {
		slowest = min(slowest, a.nextOffset)
	}
	return int(slowest - min(slowest, r.firstOffset))
}
