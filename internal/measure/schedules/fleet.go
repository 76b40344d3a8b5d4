package schedules

import "github.com/camphorlever/camphorlever/internal/ident"

// fleetKind is a kind of event of the model's fleet stream.
type fleetKind uint8

const (
	registerRouter fleetKind = iota
	registerSide
	seal
	acknowledge
	deregister
	destroyed
)

// fleetEvent is one record of the fleet stream; its position plus one is the
// incarnation of a registration.
type fleetEvent struct {
	kind    fleetKind
	subject ident.Incarnation // who is sealed, acknowledged, deregistered or destroyed
	author  ident.Incarnation
}

// ackOf is the acknowledgement of one seal by one process.
type ackOf struct {
	by     ident.Incarnation
	sealed ident.Incarnation
}

// fleetFold is what a process knows of the fleet.
type fleetFold struct {
	read    int
	routers []ident.Incarnation
	sides   []ident.Incarnation
	sealed  map[ident.Incarnation]bool
	gone    map[ident.Incarnation]bool // deregistered
	dead    map[ident.Incarnation]bool // stated to be destroyed
	acks    map[ackOf]bool
}

func newFleetFold() *fleetFold {
	return &fleetFold{
		sealed: map[ident.Incarnation]bool{},
		gone:   map[ident.Incarnation]bool{},
		dead:   map[ident.Incarnation]bool{},
		acks:   map[ackOf]bool{},
	}
}

// follow reads the stream to its end.
func (f *fleetFold) follow(events []fleetEvent) {
	for ; f.read < len(events); f.read++ {
		event := events[f.read]
		switch event.kind {
		case registerRouter:
			f.routers = append(f.routers, ident.Incarnation(f.read+1))
		case registerSide:
			f.sides = append(f.sides, ident.Incarnation(f.read+1))
		case seal:
			f.sealed[event.subject] = true
		case acknowledge:
			f.acks[ackOf{by: event.author, sealed: event.subject}] = true
		case deregister:
			f.gone[event.subject] = true
		case destroyed:
			f.dead[event.subject] = true
			f.sealed[event.subject] = true
		}
	}
}

// holderFree reports whether the tokens of a holder may be freed: no side
// process can start or still owes the settlement of a run under its grants,
// or of one that it began.
func (f *fleetFold) holderFree(holder ident.Incarnation, rule Rule) bool {
	if f.gone[holder] {
		return true
	}
	if !f.sealed[holder] {
		return false
	}
	for _, side := range f.sides {
		if !f.sideFree(side, holder, rule) {
			return false
		}
	}
	return true
}

// sideFree reports whether one side process stands in no one's way.
func (f *fleetFold) sideFree(side, holder ident.Incarnation, rule Rule) bool {
	if f.gone[side] || f.acks[ackOf{by: side, sealed: holder}] {
		return true
	}
	if rule == RuleSplitDestroyed && f.dead[side] {
		return true
	}
	return f.abandoned(side, rule)
}

// gateClosed reports whether no settlement of a side process's runs can be
// owed any more.
func (f *fleetFold) gateClosed(side ident.Incarnation, rule Rule) bool {
	return f.gone[side] || f.abandoned(side, rule)
}

// abandoned reports whether a side process is sealed and every router has
// settled what it began there.
func (f *fleetFold) abandoned(side ident.Incarnation, rule Rule) bool {
	if !f.sealed[side] {
		return false
	}
	for _, router := range f.routers {
		if f.gone[router] || f.acks[ackOf{by: router, sealed: side}] {
			continue
		}
		if f.dead[router] && (f.dead[side] || rule == RuleSplitDestroyed) {
			continue
		}
		return false
	}
	return true
}
