package placement

import (
	"container/heap"
	"time"
)

// clock runs events in the order of their times; equal times in the order in
// which they were put in.
type clock struct {
	now    time.Duration
	events events
	count  int
}

type event struct {
	at    time.Duration
	order int
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// epoch is the start of simulated time, far from the zero time.
var epoch = time.Unix(1_700_000_000, 0)

// Now is the simulated time for the code under measurement.
func (c *clock) Now() time.Time {
	return epoch.Add(c.now)
}

func (c *clock) at(t time.Duration, run func()) {
	c.count++
	heap.Push(&c.events, event{at: t, order: c.count, run: run})
}

func (c *clock) after(d time.Duration, run func()) {
	c.at(c.now+d, run)
}

// runUntil runs all events up to a time.
func (c *clock) runUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
}
