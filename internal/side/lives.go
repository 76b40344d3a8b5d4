package side

import (
	"github.com/camphorlever/camphorlever/internal/fleet"
	"github.com/camphorlever/camphorlever/internal/gate"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// Membership is the part of a node.Node that tells who is live.
type Membership interface {
	Members() *fleet.View
	Offsets() wire.Offsets
}

// lives is the gate's view of the fleet stream.
type lives struct {
	node Membership
}

var _ gate.FleetView = lives{}

// IncarnationState implements gate.Lives.
func (l lives) IncarnationState(life ident.Incarnation) gate.IncarnationState {
	members := l.node.Members()
	switch {
	case members.Live(life):
		return gate.Live
	case members.Sealed(life):
		return gate.Sealed
	default:
		return gate.Unregistered
	}
}

// Offsets implements gate.Lives.
func (l lives) Offsets() wire.Offsets {
	return l.node.Offsets()
}
