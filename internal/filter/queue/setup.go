// Package queue queues requests until a backend server has capacity for them: by
// priority, and within a priority by start-time fair queuing of tokens between the
// teams. Requests that would wait too long are shed at once.
package queue

import (
	"time"

	"github.com/camphorlever/camphorlever/internal/filter"
)

// Limits of the queue.
const (
	// MaxWait is the longest time that a request may wait.
	MaxWait = 20 * time.Second
	// maxWaiting limits the requests that wait in one scheduler, which serves one
	// model, adapter and service.
	maxWaiting = 4096
	// priorities is the number of priorities; 0 is the highest.
	priorities = 10
)

// ConcurrencyLimit limits the concurrent runs on the backend servers.
type ConcurrencyLimit interface {
	// ConcurrencyLimit returns how many runs of the request's kind this router may
	// have in flight.
	ConcurrencyLimit(r *filter.Request) int
}

// Filter is the filter that queues requests.
type Filter struct {
	handler
}

// New returns the filter.
func New(limit ConcurrencyLimit) *Filter {
	return &Filter{handler{limit: limit, counters: filter.Counters("queue"), schedulers: map[schedulerKey]*Scheduler{}}}
}

// DispatchWaiting grants slots to waiting requests of all schedulers. It is called
// after the capacity of the servers may have grown.
func (f *Filter) DispatchWaiting() {
	f.mu.Lock()
	schedulers := make([]*Scheduler, 0, len(f.schedulers))
	for _, s := range f.schedulers {
		schedulers = append(schedulers, s)
	}
	f.mu.Unlock()
	for _, s := range schedulers {
		s.DispatchWaiting()
	}
}
