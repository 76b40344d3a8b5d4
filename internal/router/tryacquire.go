package router

import (
	"context"

	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/refusal"
)

// Try implements admit.Budget. A request of zero tokens needs no grant.
func (a *budgetAdapter) Try(ctx context.Context, team ident.TeamID, tokens int64) (filter.Reservation, *refusal.Refusal) {
	if tokens == 0 {
		return zeroReservation{holder: a.holder}, nil
	}
	r, refused := a.grants.TryAcquire(ctx, team, tokens)
	if refused != nil {
		return nil, refused
	}
	return &reservation{grants: a.grants, Reservation: r}, nil
}
