// Package place chooses the backend server of each attempt.
package place

import (
	"github.com/camphorlever/camphorlever/internal/filter"
)

// Placer chooses among the servers that can take the request and have not
// been tried.
type Placer interface {
	Pick(r *filter.Request) (Choice, bool)
}

// Choice is a chosen server, counted as busy with the attempt until Done.
type Choice interface {
	filter.AttemptObserver
	Target() filter.Target
	Done()
}

// New returns the filter.
func New(placer Placer) filter.Filter {
	return &handler{placer: placer, counters: filter.Counters("place")}
}
