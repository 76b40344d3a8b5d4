// Package recovery is the filter that turns a panic of a later filter into a
// refusal, so that a broken invariant in one request does not affect the others.
package recovery

import (
	"github.com/rs/zerolog"

	"github.com/camphorlever/camphorlever/internal/filter"
)

// New returns the filter.
func New(log zerolog.Logger) filter.Filter {
	return &handler{log: log, counters: filter.Counters("recovery")}
}
