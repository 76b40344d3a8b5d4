// Package auth finds the client account that a caller's key belongs to.
package auth

import "github.com/camphorlever/camphorlever/internal/filter"

// New returns the filter.
func New() filter.Filter {
	return &handler{counters: filter.Counters("auth")}
}
