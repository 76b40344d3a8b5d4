package engine

import (
	"container/heap"
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"
)

// slots admits runs by priority, and in order of arrival within one.
type slots struct {
	mu      sync.Mutex // guards all fields; a waiter is in the queue or admitted
	total   int
	running int
	arrived uint64
	queue   waiters
}

type waiter struct {
	priority int
	order    uint64
	admitted chan struct{}
	gone     bool
}

type waiters []*waiter

func (q waiters) Len() int { return len(q) }
func (q waiters) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}
	return q[i].order < q[j].order
}
func (q waiters) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *waiters) Push(x any)   { *q = append(*q, x.(*waiter)) }
func (q *waiters) Pop() any {
	last := len(*q) - 1
	w := (*q)[last]
	*q = (*q)[:last]
	return w
}

func newSlots(total int) *slots {
	return &slots{total: total}
}

// acquire waits for a slot and reports whether it got one.
func (s *slots) acquire(ctx context.Context, priority int) bool {
	w := s.enqueue(priority)
	select {
	case <-w.admitted:
		return true
	case <-ctx.Done():
		return s.abandon(w)
	}
}

func (s *slots) enqueue(priority int) *waiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrived++
	w := &waiter{priority: priority, order: s.arrived, admitted: make(chan struct{})}
	heap.Push(&s.queue, w)
	s.admitLocked()
	return w
}

// abandon takes a waiter out; it reports true if it was admitted meanwhile.
func (s *slots) abandon(w *waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-w.admitted:
		return true
	default:
		w.gone = true
		return false
	}
}

func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.admitLocked()
}

func (s *slots) admitLocked() {
	for s.running < s.total && s.queue.Len() > 0 {
		w := heap.Pop(&s.queue).(*waiter)
		if w.gone {
			continue
		}
		s.running++
		close(w.admitted)
	}
}

// counts returns the runs in slots and in the queue.
func (s *slots) counts() (running, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.queue {
		if !w.gone {
			queued++
		}
	}
	return s.running, queued
}

// Load is the engine's report of its load.
type Load struct {
	Running int   `json:"running"`
	Queued  int   `json:"queued"`
	Slots   int   `json:"slots"`
	AsOfMS  int64 `json:"as_of_ms"`
}

// loadReport samples the load at most once per lag.
type loadReport struct {
	slots *slots
	mu    sync.Mutex // guards last
	last  Load
}

func (l *loadReport) get(lag time.Duration) Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now().UnixMilli()
	if now-l.last.AsOfMS >= lag.Milliseconds() {
		running, queued := l.slots.counts()
		l.last = Load{Running: running, Queued: queued, Slots: l.slots.total, AsOfMS: now}
	}
	return l.last
}

func (e *Engine) loadNow(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	now, _ := e.faults.get()
	reply(w, e.load.get(now.loadLag))
}
