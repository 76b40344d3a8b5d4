package router

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/camphorlever/camphorlever/internal/budget"
	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/fleet"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/refusal"
	"github.com/camphorlever/camphorlever/internal/settings"
)

// budgetAdapter implements admit.Budget with the router's grants.
type budgetAdapter struct {
	grants *budget.Grants
	holder ident.Incarnation
}

// Acquire implements admit.Budget. A request of zero tokens needs no grant.
func (a *budgetAdapter) Acquire(ctx context.Context, team ident.TeamID, tokens int64) (filter.Reservation, *refusal.Refusal) {
	if tokens == 0 {
		return zeroReservation{holder: a.holder}, nil
	}
	r, refused := a.grants.Acquire(ctx, team, tokens)
	if refused != nil {
		return nil, refused
	}
	return &reservation{grants: a.grants, Reservation: r}, nil
}

// reservation implements filter.Reservation.
type reservation struct {
	budget.Reservation
	grants *budget.Grants
}

// Settle implements filter.Reservation.
func (r *reservation) Settle(actual int64) {
	r.grants.Settle(r.Reservation, actual)
}

// KeepReserved implements filter.Reservation.
func (r *reservation) KeepReserved(key ident.Key, gate ident.Incarnation) {
	r.grants.TrackUnresolved(r.Reservation, key, gate)
}

// zeroReservation is the reservation of a request that costs no tokens.
type zeroReservation struct {
	holder ident.Incarnation
}

func (f zeroReservation) Holder() ident.Incarnation               { return f.holder }
func (zeroReservation) Settle(int64)                              {}
func (zeroReservation) KeepReserved(ident.Key, ident.Incarnation) {}

// budgetFleet implements budget.Fleet with the view of the fleet stream.
type budgetFleet struct {
	members func() *fleet.View
}

// Routers implements budget.Fleet.
func (f budgetFleet) Routers() []budget.Router {
	view := f.members()
	routers := make([]budget.Router, 0, len(view.Routers))
	for _, m := range view.Routers {
		routers = append(routers, budget.Router{Incarnation: m.Incarnation, DataCentre: m.Registration.DataCentre})
	}
	return routers
}

// Sealed implements budget.Fleet.
func (f budgetFleet) Sealed(incarnation ident.Incarnation) bool {
	return f.members().Sealed(incarnation)
}

// Closed implements budget.Fleet.
func (f budgetFleet) Closed(incarnation ident.Incarnation) bool {
	return f.members().Closed(incarnation)
}

// teamLister returns a function that lists the teams of the current settings.
func teamLister(currentTree func() *settings.Tree) func() []ident.TeamID {
	return func() []ident.TeamID {
		return slices.Collect(maps.Keys(currentTree().Teams))
	}
}

// sizingPolicy returns a function that reads a team's sizing policy from the
// current settings.
func sizingPolicy(currentTree func() *settings.Tree) func(ident.TeamID) budget.Policy {
	return func(team ident.TeamID) budget.Policy {
		t := currentTree()
		return budget.Policy{
			Horizon: time.Duration(t.Fleet.OutageHorizonS) * time.Second,
			Caution: t.Teams[team].Caution,
		}
	}
}
