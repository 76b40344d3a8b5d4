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
	// Bound returns the most tokens that a run can use. Near the limit it
	// counts the prompt instead of taking the loose bound.
	Bound(ctx context.Context, team ident.TeamID, loose, output int64, count func(context.Context) (int64, error)) int64
	// Acquire reserves tokens of the team, drawing or borrowing if needed.
	Acquire(ctx context.Context, team ident.TeamID, tokens int64) (filter.Reservation, *refusal.Refusal)
}

// Tokenizer counts the tokens of a prompt exactly.
type Tokenizer interface {
	Count(ctx context.Context, r *filter.Request) (int64, error)
}

// New returns the filter. It stands in the chain once before the queue, so
// that a request without budget does not wait, and once before each attempt.
func New(budget Budget, tokenizer Tokenizer) filter.Filter {
	return &handler{budget: budget, tokenizer: tokenizer, counters: filter.Counters("admit")}
}
