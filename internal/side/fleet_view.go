package side

import (
	"github.com/camphorlever/camphorlever/internal/fleet"
	"github.com/camphorlever/camphorlever/internal/gate"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// Membership is the part of node.Node that reports which incarnations are live.
type Membership interface {
	Members() *fleet.View
	Offsets() wire.Offsets
}

// fleetView implements gate.FleetView on the fleet stream that the node follows.
type fleetView struct {
	node Membership
}

var _ gate.FleetView = fleetView{}

// IncarnationState implements gate.FleetView.
func (v fleetView) IncarnationState(incarnation ident.Incarnation) gate.IncarnationState {
	members := v.node.Members()
	switch {
	case members.Live(incarnation):
		return gate.Live
	case members.Sealed(incarnation):
		return gate.Sealed
	default:
		return gate.Unregistered
	}
}

// Offsets implements gate.FleetView.
func (v fleetView) Offsets() wire.Offsets {
	return v.node.Offsets()
}
