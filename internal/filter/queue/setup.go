// Package queue makes requests wait for room at the backend servers: by
// priority, and fairly by tokens between the teams of one priority. What
// would wait too long is shed at once.
package queue

import (
	"time"

	"github.com/camphorlever/camphorlever/internal/filter"
)

// Limits of waiting.
const (
	// MaxWait is the longest wait.
	MaxWait = 20 * time.Second
	// maxWaiting bounds the requests that wait for one model or service.
	maxWaiting = 4096
	// priorities is the number of priorities, 0 first.
	priorities = 10
)

// Limiter tells how many runs of a request's kind the router may have in flight.
type Limiter interface {
	ConcurrencyLimit(r *filter.Request) int
}

// Filter is the queue's filter.
type Filter struct {
	handler
}

// New returns the filter.
func New(room Limiter) *Filter {
	return &Filter{handler{room: room, counters: filter.Counters("queue"), pools: map[poolKey]*Scheduler{}}}
}

// DispatchWaiting lets waiting requests go on if there is more room than before.
func (f *Filter) DispatchWaiting() {
	f.mu.Lock()
	pools := make([]*Scheduler, 0, len(f.pools))
	for _, p := range f.pools {
		pools = append(pools, p)
	}
	f.mu.Unlock()
	for _, p := range pools {
		p.DispatchWaiting()
	}
}
