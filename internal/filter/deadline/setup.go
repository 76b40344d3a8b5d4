// Package deadline gives each request the time that it may take.
package deadline

import "github.com/camphorlever/camphorlever/internal/filter"

// New returns the filter.
func New() filter.Filter {
	return &handler{counters: filter.Counters("deadline")}
}
