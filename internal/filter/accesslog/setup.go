// Package accesslog is the filter that logs and counts each request.
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
