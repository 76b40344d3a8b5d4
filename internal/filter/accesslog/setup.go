// Package accesslog writes one line and one count per request.
package accesslog

import (
	"github.com/rs/zerolog"

	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/filter"
)

// New returns the filter.
func New(log zerolog.Logger) filter.Filter {
	return &handler{
		log:      log,
		requests: filter.Counters("accesslog"),
		refusals: counter.NewSet("refusals"),
	}
}
