package queue

import (
	"context"
	"sync"
	"time"

	"github.com/camphorlever/camphorlever/internal/ident"
)

// Job describes a request to the scheduler.
type Job struct {
	Team     ident.TeamID
	Weight   float64
	Priority int     // 0 is served first
	Cost     float64 // upper bound of the tokens that the run uses
}

// Shed says why a request was rejected.
type Shed struct {
	Reason     string // one of the reasons below, also the counter's name; empty if the context ended
	RetryAfter time.Duration
}

// Reasons for shedding a request.
const (
	shedWait    = "shed_wait"    // the estimated wait exceeds MaxWait
	shedTimeout = "shed_timeout" // the request waited for MaxWait
	shedFull    = "shed_full"    // the queue is full and holds nothing of a lower priority
	shedEvicted = "shed_evicted" // removed from the full queue for a request of higher priority
)

// Parameters of the estimate of how long a run occupies its slot.
const (
	initialSecondsPerToken = 1.0 / 2000 // until the first run ends
	estimateSmoothing      = 0.1        // weight of a new sample in the moving average
)

// Scheduler limits the concurrent runs on the servers of one kind and queues the
// requests above the limit. It is safe for concurrent use.
type Scheduler struct {
	mu              sync.Mutex // guards all fields: running, the queue and the estimate change together
	running         int
	limit           func() int
	fairQueue       fairQueue
	secondsPerToken float64 // moving average of the time in a slot per token of cost
	now             func() time.Time
}

// NewScheduler returns a scheduler with an empty queue. The clock measures how long
// runs occupy their slots; nil means time.Now.
func NewScheduler(now func() time.Time) *Scheduler {
	if now == nil {
		now = time.Now
	}
	return &Scheduler{secondsPerToken: initialSecondsPerToken, limit: func() int { return 1 }, now: now}
}

// Waiter is one request in the queue.
type Waiter struct {
	job     Job
	start   float64 // virtual start time
	ready   chan struct{}
	granted bool
	shed    Shed
}

// Ready returns a channel that is closed when the request was granted a slot or
// evicted.
func (w *Waiter) Ready() <-chan struct{} {
	return w.ready
}

// Slot is the right to one run among the concurrent ones. It must be released.
type Slot struct {
	scheduler *Scheduler
	cost      float64
	grantedAt time.Time
}

// Acquire waits until the request is granted a slot. If the request is shed it
// returns nil and the reason; if the context ends, nil and an empty reason. The
// function limit returns how many requests may run at once.
func (s *Scheduler) Acquire(ctx context.Context, j Job, limit func() int) (*Slot, Shed) {
	j.Priority = min(max(0, j.Priority), priorities-1)
	w, shed := s.Enqueue(j, limit)
	if w == nil {
		return nil, shed
	}
	timer := time.NewTimer(MaxWait)
	defer timer.Stop()
	select {
	case <-w.ready:
	case <-timer.C:
		s.withdraw(w, Shed{Reason: shedTimeout, RetryAfter: MaxWait})
	case <-ctx.Done():
		s.withdraw(w, Shed{})
	}
	return s.Slot(w)
}

// Slot returns the slot of a waiter that is ready, or nil and the reason why it was
// shed.
func (s *Scheduler) Slot(w *Waiter) (*Slot, Shed) {
	if !w.granted {
		return nil, w.shed
	}
	return &Slot{scheduler: s, cost: w.job.Cost, grantedAt: s.now()}, Shed{}
}

// Enqueue adds a request to the queue without waiting. If the request is shed it
// returns nil and the reason. A waiter is modified only under the lock and only until
// its ready channel is closed.
func (s *Scheduler) Enqueue(j Job, limit func() int) (*Waiter, Shed) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
	if wait := s.estimateWait(j); wait > MaxWait {
		return nil, Shed{Reason: shedWait, RetryAfter: wait}
	}
	if s.fairQueue.count >= maxWaiting && !s.evictFor(j) {
		return nil, Shed{Reason: shedFull, RetryAfter: MaxWait}
	}
	w := &Waiter{job: j, ready: make(chan struct{})}
	s.fairQueue.push(w)
	s.dispatchLocked()
	return w, Shed{}
}

// estimateWait returns the expected wait of a new request. The caller must hold the
// lock.
func (s *Scheduler) estimateWait(j Job) time.Duration {
	if s.fairQueue.count == 0 && s.running < s.limit() {
		return 0
	}
	seconds := s.fairQueue.costAhead(j) * s.secondsPerToken / float64(max(1, s.limit()))
	return time.Duration(seconds * float64(time.Second))
}

// evictFor evicts the lowest-ranked request if the job has a higher priority. The
// caller must hold the lock.
func (s *Scheduler) evictFor(j Job) bool {
	victim := s.fairQueue.last()
	if victim == nil || victim.job.Priority <= j.Priority {
		return false
	}
	s.fairQueue.remove(victim)
	victim.shed = Shed{Reason: shedEvicted, RetryAfter: MaxWait}
	close(victim.ready)
	return true
}

// withdraw removes a waiter from the queue, unless it was granted a slot or evicted
// in the meantime.
func (s *Scheduler) withdraw(w *Waiter, shed Shed) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !w.granted && s.fairQueue.remove(w) {
		w.shed = shed
	}
}

// DispatchWaiting grants slots to waiting requests. It is called after the limit may
// have been raised.
func (s *Scheduler) DispatchWaiting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatchLocked()
}

// dispatchLocked grants free slots to waiting requests. At least one request may
// always run. The caller must hold the lock.
func (s *Scheduler) dispatchLocked() {
	for s.fairQueue.count > 0 && s.running < max(1, s.limit()) {
		w := s.fairQueue.pop()
		s.running++
		w.granted = true
		close(w.ready)
	}
}

// Release frees the slot and updates the estimate. It must be called exactly once.
func (slot *Slot) Release() {
	s := slot.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	sample := s.now().Sub(slot.grantedAt).Seconds() / slot.cost
	s.secondsPerToken += estimateSmoothing * (sample - s.secondsPerToken)
	s.dispatchLocked()
}

// Running returns the number of occupied slots.
func (s *Scheduler) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}
