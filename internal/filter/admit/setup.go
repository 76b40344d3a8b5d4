// Package admit is the filter that reserves a request's token bound from the
// team's budget.
package admit

import (
	"context"

	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/refusal"
)

// Budget reserves tokens from grants.
type Budget interface {
	// Try reserves tokens of the team. If the grants of this router are too small,
	// it draws or borrows tokens.
	Try(ctx context.Context, team ident.TeamID, tokens int64) (filter.Reservation, *refusal.Refusal)
	// Acquire does the same as Try. If that fails, it waits for a limited time
	// until runs in progress release the tokens that they do not use.
	Acquire(ctx context.Context, team ident.TeamID, tokens int64) (filter.Reservation, *refusal.Refusal)
}

// Tokenizer counts the tokens of a prompt exactly.
type Tokenizer interface {
	// Count returns false if no side process returned a count.
	Count(ctx context.Context, r *filter.Request) (int64, bool)
}

// New returns the filter. The chain contains it before the queue, so that a
// request without budget does not wait there, and again before each attempt.
func New(budget Budget, tokenizer Tokenizer) filter.Filter {
	return &handler{budget: budget, tokenizer: tokenizer, counters: filter.Counters("admit")}
}
