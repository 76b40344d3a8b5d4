package queue

import (
	"context"
	"sync"
	"time"

	"github.com/camphorlever/camphorlever/internal/ident"
)

// Job describes a request to the queue.
type Job struct {
	Team     ident.TeamID
	Weight   float64
	Priority int     // 0 first
	Cost     float64 // tokens
}

// Shed says why a request was not let in.
type Shed struct {
	Reason     string // the counter's name
	RetryAfter time.Duration
}

// Reasons of Shed.
const (
	shedWait    = "shed_wait"    // it would have waited too long
	shedTimeout = "shed_timeout" // it has waited too long
	shedFull    = "shed_full"    // the queue is full of what goes before it
	shedEvicted = "shed_evicted" // the queue is full, others go before it
)

// Estimate of how long a run holds its place.
const (
	firstPerToken = 1.0 / 2000 // seconds per token of cost
	smoothing     = 0.1
)

// Scheduler is the queue in front of the servers of one kind. It is safe for
// concurrent use.
type Scheduler struct {
	mu       sync.Mutex // guards all: running, the order and the estimate move together
	running  int
	room     func() int
	order    order
	perToken float64 // seconds of a place per token of cost
	now      func() time.Time
}

// NewScheduler returns an empty queue. The clock may be nil for the real one; it
// measures how long runs hold their places.
func NewScheduler(now func() time.Time) *Scheduler {
	if now == nil {
		now = time.Now
	}
	return &Scheduler{perToken: firstPerToken, room: func() int { return 1 }, now: now}
}

// Waiter is one request in the queue.
type Waiter struct {
	ticket  Job
	start   float64 // virtual time at which its turn begins
	ready   chan struct{}
	granted bool
	shed    Shed
}

// Ready is closed when the request's turn has come or it was evicted.
func (w *Waiter) Ready() <-chan struct{} {
	return w.ready
}

// Slot is a place among the running requests.
type Slot struct {
	pool  *Scheduler
	cost  float64
	since time.Time
}

// Acquire waits for the request's turn. It returns nil and the reason if the
// request is shed, and nil if the context ends. Room returns how many may run.
func (p *Scheduler) Acquire(ctx context.Context, t Job, room func() int) (*Slot, Shed) {
	t.Priority = min(max(0, t.Priority), priorities-1)
	w, shed := p.Enqueue(t, room)
	if w == nil {
		return nil, shed
	}
	timer := time.NewTimer(MaxWait)
	defer timer.Stop()
	select {
	case <-w.ready:
	case <-timer.C:
		p.withdraw(w, Shed{Reason: shedTimeout, RetryAfter: MaxWait})
	case <-ctx.Done():
		p.withdraw(w, Shed{})
	}
	return p.Slot(w)
}

// Slot returns the place of a waiter that is ready, or why it has none.
func (p *Scheduler) Slot(w *Waiter) (*Slot, Shed) {
	if !w.granted {
		return nil, w.shed
	}
	return &Slot{pool: p, cost: w.ticket.Cost, since: p.now()}, Shed{}
}

// Enqueue puts a request into the queue or sheds it; it returns nil then. It
// does not wait. Waiters are changed only under the lock until their ready
// channel is closed.
func (p *Scheduler) Enqueue(t Job, room func() int) (*Waiter, Shed) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.room = room
	if wait := p.estimate(t); wait > MaxWait {
		return nil, Shed{Reason: shedWait, RetryAfter: wait}
	}
	if p.order.count >= maxWaiting && !p.evict(t) {
		return nil, Shed{Reason: shedFull, RetryAfter: MaxWait}
	}
	w := &Waiter{ticket: t, ready: make(chan struct{})}
	p.order.push(w)
	p.dispatch()
	return w, Shed{}
}

// estimate returns how long a new request would wait.
func (p *Scheduler) estimate(t Job) time.Duration {
	if p.order.count == 0 && p.running < p.room() {
		return 0
	}
	seconds := p.order.ahead(t) * p.perToken / float64(max(1, p.room()))
	return time.Duration(seconds * float64(time.Second))
}

// evict makes place for a request of a higher priority.
func (p *Scheduler) evict(t Job) bool {
	victim := p.order.last()
	if victim == nil || victim.ticket.Priority <= t.Priority {
		return false
	}
	p.order.remove(victim)
	victim.shed = Shed{Reason: shedEvicted, RetryAfter: MaxWait}
	close(victim.ready)
	return true
}

// withdraw takes a waiter out, unless its turn came at the same moment.
func (p *Scheduler) withdraw(w *Waiter, shed Shed) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !w.granted && p.order.remove(w) {
		w.shed = shed
	}
}

// DispatchWaiting lets waiting requests go on if there is more room than before.
func (p *Scheduler) DispatchWaiting() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatch()
}

// dispatch needs the lock.
func (p *Scheduler) dispatch() {
	for p.order.count > 0 && p.running < max(1, p.room()) {
		w := p.order.pop()
		p.running++
		w.granted = true
		close(w.ready)
	}
}

// Release frees the place.
func (t *Slot) Release() {
	p := t.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
	sample := p.now().Sub(t.since).Seconds() / t.cost
	p.perToken += smoothing * (sample - p.perToken)
	p.dispatch()
}

// Running returns the number of requests that have their turn.
func (p *Scheduler) Running() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running
}
