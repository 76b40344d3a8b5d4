// Package limits is the filter that checks the request against the team's
// permissions and limits and computes the maximum number of tokens of the run.
package limits

import "github.com/camphorlever/camphorlever/internal/filter"

// Values used if the settings have none.
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
