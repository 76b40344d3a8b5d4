// Package place is the filter that chooses the backend server of each attempt.
package place

import (
	"github.com/camphorlever/camphorlever/internal/filter"
)

// Placer chooses a backend server.
type Placer interface {
	// Pick chooses among the servers that can serve the request and have not been
	// tried. It returns false if there is none.
	Pick(r *filter.Request) (Choice, bool)
}

// Choice is a chosen server. The attempt counts towards the server's load until
// Done is called.
type Choice interface {
	filter.AttemptObserver
	Target() filter.Target
	Done()
}

// New returns the filter.
func New(placer Placer) filter.Filter {
	return &handler{placer: placer, counters: filter.Counters("place")}
}
