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

// admission lets the filters reserve tokens.
type admission struct {
	grants *budget.Grants
	self   ident.Incarnation
}

// Acquire implements admit.Budget. A call that costs nothing needs no grant.
func (a *admission) Acquire(ctx context.Context, team ident.TeamID, tokens int64) (filter.Reservation, *refusal.Refusal) {
	if tokens == 0 {
		return freeOfCharge{holder: a.self}, nil
	}
	r, refused := a.grants.Acquire(ctx, team, tokens)
	if refused != nil {
		return nil, refused
	}
	return &reservation{grants: a.grants, Reservation: r}, nil
}

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

// freeOfCharge reserves nothing.
type freeOfCharge struct {
	holder ident.Incarnation
}

func (f freeOfCharge) Holder() ident.Incarnation               { return f.holder }
func (freeOfCharge) Settle(int64)                              {}
func (freeOfCharge) KeepReserved(ident.Key, ident.Incarnation) {}

// budgetFleet tells the budget of the other routers.
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
func (f budgetFleet) Sealed(life ident.Incarnation) bool {
	return f.members().Sealed(life)
}

// Closed implements budget.Fleet.
func (f budgetFleet) Closed(life ident.Incarnation) bool {
	return f.members().Closed(life)
}

// teamsOf lists the teams of the settings.
func teamsOf(tree func() *settings.Tree) func() []ident.TeamID {
	return func() []ident.TeamID {
		return slices.Collect(maps.Keys(tree().Teams))
	}
}

// policyOf returns the sizing policy that the settings give a team.
func policyOf(tree func() *settings.Tree) func(ident.TeamID) budget.Policy {
	return func(team ident.TeamID) budget.Policy {
		t := tree()
		return budget.Policy{
			Horizon: time.Duration(t.Fleet.OutageHorizonS) * time.Second,
			Caution: t.Teams[team].Caution,
		}
	}
}
