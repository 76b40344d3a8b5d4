package budget

import (
	"container/heap"
	"time"
)

// ticket is what a policy keeps of an admitted request.
type ticket any

// policy decides which requests are admitted.
type policy interface {
	// publish makes a top-up known to the ledger.
	publish(w *world, t topUp)
	// admit asks a router for a request.
	admit(w *world, router int, r *request) (ticket, bool)
	// finish ends a run at the router that admitted it.
	finish(w *world, router int, r *request, t ticket)
	// tick runs every second.
	tick(w *world)
}

// world is one run of a scenario under a policy, with the true state of the
// budgets.
type world struct {
	s      *scenario
	policy policy
	now    time.Duration
	queue  events
	serial int
	left   []int64 // top-ups - billed - what runs in progress will use, by team

	requests   int
	falseNo    int // the budget would have covered what the request uses
	falseBound int // and even the most that it may use
	overspend  int64
	admissions int
	exposed    float64 // sum over the ticks before the fault
	ticks      int
}

// event is something that happens at a time.
type event struct {
	at     time.Duration
	serial int
	do     func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].serial < e[j].serial
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func (w *world) after(d time.Duration, do func()) {
	w.serial++
	heap.Push(&w.queue, event{at: w.now + d, serial: w.serial, do: do})
}

// rechecks are the times between the attempts of a waiting request; the sum is
// how long it waits before it is refused. They are the same for all policies.
var rechecks = []time.Duration{
	50 * time.Millisecond, 150 * time.Millisecond, 450 * time.Millisecond, 1350 * time.Millisecond,
	2 * time.Second, 2 * time.Second, 2 * time.Second, 2 * time.Second,
}

// play runs a scenario to its end.
func play(s *scenario, p policy) *world {
	w := &world{s: s, policy: p, left: make([]int64, len(s.d.teams))}
	for _, t := range sorted(s.topUps) {
		w.after(t.at, func() {
			w.left[t.team] += t.tokens
			p.publish(w, t)
		})
	}
	for at := time.Duration(0); at < s.length; at += time.Second {
		w.after(at, func() { p.tick(w) })
	}
	for i := range s.trace {
		r := &s.trace[i]
		w.after(r.at, func() { w.attempt(r, 0) })
	}
	for len(w.queue) > 0 {
		next := heap.Pop(&w.queue).(event)
		w.now = next.at
		next.do()
	}
	return w
}

// attempt asks for admission, waits, and counts the refusal.
func (w *world) attempt(r *request, tries int) {
	if tries == 0 {
		w.requests++
	}
	router := w.s.route(r, w.now)
	t, ok := w.policy.admit(w, router, r)
	switch {
	case ok:
		w.start(router, r, t)
	case tries < len(rechecks) && w.waits(router, r):
		w.after(rechecks[tries], func() { w.attempt(r, tries+1) })
	case w.left[r.team] >= r.cost():
		w.falseNo++
		if w.left[r.team] >= r.bound {
			w.falseBound++
		}
	}
}

// patient is a policy that tells when waiting cannot help a request.
type patient interface {
	waits(w *world, router int, r *request) bool
}

func (w *world) waits(router int, r *request) bool {
	p, ok := w.policy.(patient)
	return !ok || p.waits(w, router, r)
}

// start lets an admitted request run.
func (w *world) start(router int, r *request, t ticket) {
	w.admissions++
	before := max(w.left[r.team], 0)
	w.left[r.team] -= r.cost()
	w.overspend += max(r.cost()-before, 0)
	w.after(r.length, func() { w.policy.finish(w, router, r, t) })
}

// exposure is the mean part of what is left that one router holds, of those
// policies that can tell, before a fault begins.
func (w *world) exposure() float64 {
	return w.exposed / float64(max(w.ticks, 1))
}

// per10k is a number of refusals per 10,000 requests.
func (w *world) per10k(refused int) float64 {
	return float64(refused) * 10_000 / float64(max(w.requests, 1))
}
