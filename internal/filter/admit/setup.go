// Package admit reserves a request's whole bound from the team's budget.
package admit

import (
	"context"

	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/refusal"
)

// Budget hands out reservations of grants.
type Budget interface {
	// Try reserves tokens of the team, drawing or borrowing if needed.
	Try(ctx context.Context, team ident.TeamID, tokens int64) (filter.Reservation, *refusal.Refusal)
	// Acquire is Try, and then waits a while for runs in progress to give
	// back what they do not use.
	Acquire(ctx context.Context, team ident.TeamID, tokens int64) (filter.Reservation, *refusal.Refusal)
}

// Tokenizer counts the tokens of a prompt exactly.
type Tokenizer interface {
	// Count returns false if no side process could tell.
	Count(ctx context.Context, r *filter.Request) (int64, bool)
}

// New returns the filter. It stands in the chain once before the queue, so
// that a request without budget does not wait, and once before each attempt.
func New(budget Budget, tokenizer Tokenizer) filter.Filter {
	return &handler{budget: budget, tokenizer: tokenizer, counters: filter.Counters("admit")}
}
