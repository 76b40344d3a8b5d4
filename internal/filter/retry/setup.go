// Package retry is the filter that repeats attempts that did not run, or that are
// safe to repeat, within the retry budget and the caller's deadline.
package retry

import (
	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/retry"
)

// maxAttempts limits the attempts of one request.
const maxAttempts = 4

// New returns the filter.
func New(budget *retry.Budget) filter.Filter {
	return &handler{budget: budget, retries: counter.NewSet("retries"), refusals: filter.Counters("retry")}
}
