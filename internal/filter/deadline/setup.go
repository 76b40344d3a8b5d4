// Package deadline is the filter that sets the deadline of a request.
package deadline

import "github.com/camphorlever/camphorlever/internal/filter"

// New returns the filter.
func New() filter.Filter {
	return &handler{counters: filter.Counters("deadline")}
}
