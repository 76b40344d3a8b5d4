// Package limits checks what the caller's team may ask for and works out the
// bound on the tokens of the run.
package limits

import "github.com/camphorlever/camphorlever/internal/filter"

// Values in force when the settings say nothing.
const (
	defaultMaxOutput      = 32768 // tokens
	defaultPriority       = 5
	defaultTemplateTokens = 8 // per message
	lowestPriority        = 9
)

// New returns the filter.
func New() filter.Filter {
	return &handler{counters: filter.Counters("limits")}
}
