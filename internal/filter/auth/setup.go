// Package auth is the filter that authenticates the caller's client account by
// its key.
package auth

import "github.com/camphorlever/camphorlever/internal/filter"

// New returns the filter.
func New() filter.Filter {
	return &handler{counters: filter.Counters("auth")}
}
