package fleet

import (
	"slices"

	"github.com/camphorlever/camphorlever/internal/ident"
)

// An incarnation is closed, and its member dropped from the state, once no run
// can be started any more by it, at it or under its grants, and the settlements
// of all earlier runs are in the ledger. The rule is at settled.

// deregister closes an incarnation at its own request. The process does this only
// once it has returned its grants and settled its runs.
func (s *State) deregister(writer ident.Incarnation, r Deregister) Outcome {
	if writer != r.Incarnation {
		return RefusedWriter
	}
	s.closeMember(writer)
	s.closeAllSettled()
	return Accepted
}

func (s *State) seal(r Seal) Outcome {
	m := s.members[r.Incarnation]
	if m == nil || m.Sealed {
		return Repeated
	}
	s.sealMember(m)
	s.closeIfSettled(m)
	return Accepted
}

func (s *State) sealMember(m *member) {
	m.Sealed = true
	m.sealedAt = s.offset
	m.ackedBy = map[ident.Incarnation]struct{}{}
}

// acknowledge accepts acknowledgements only between a router and a side process,
// since runs are started only by such pairs.
func (s *State) acknowledge(writer ident.Incarnation, r Acknowledge) Outcome {
	m := s.members[r.Sealed]
	if m == nil {
		return Repeated
	}
	if !m.Sealed || m.Registration.Role == s.members[writer].Registration.Role {
		return RefusedInvalid
	}
	if _, known := m.ackedBy[writer]; known {
		return Repeated
	}
	m.ackedBy[writer] = struct{}{}
	m.ackOrder = append(m.ackOrder, writer)
	s.closeIfSettled(m)
	return Accepted
}

func (s *State) destroy(r Destroyed) Outcome {
	for incarnation, m := range s.members {
		named := len(r.VMs) == 0 || slices.Contains(r.VMs, m.Registration.VM)
		if !named || incarnation > r.UpTo {
			continue
		}
		m.destroyed = true
		if !m.Sealed {
			s.sealMember(m)
		}
	}
	s.closeAllSettled()
	return Accepted
}

// closeIfSettled closes a sealed member if it is settled. That may make others
// settled, which are then closed too.
func (s *State) closeIfSettled(m *member) {
	if !s.settled(m) {
		return
	}
	s.closeMember(m.Incarnation)
	s.closeAllSettled()
}

// closeMember drops a member and keeps only its incarnation.
func (s *State) closeMember(incarnation ident.Incarnation) {
	delete(s.members, incarnation)
	s.recentlyClosed = append(s.recentlyClosed, incarnation)
	if len(s.recentlyClosed) > maxRecentlyClosed {
		s.recentlyClosed = s.recentlyClosed[len(s.recentlyClosed)-maxRecentlyClosed:]
	}
}

// closeAllSettled closes sealed members that are settled until none is left.
func (s *State) closeAllSettled() {
	for changed := true; changed; {
		changed = false
		for _, m := range s.sortedMembers() {
			if m.Sealed && s.settled(m) {
				s.closeMember(m.Incarnation)
				changed = true
			}
		}
	}
}

// settled reports whether a sealed member can be closed.
//
// A side process is settled when pairSettled holds for it and every router. A
// router is settled, and its grants may be closed, when every side process has
// acknowledged the router's seal or was registered after that seal. Closed side
// processes are no longer among the members.
func (s *State) settled(m *member) bool {
	for _, other := range s.members {
		if other.Registration.Role != m.Registration.Role && s.blocks(other, m) {
			return false
		}
	}
	return true
}

// blocks reports whether a sealed member cannot be closed yet because of another
// member, which has the other role.
func (s *State) blocks(other, sealed *member) bool {
	if sealed.Registration.Role == RoleSide {
		return !pairSettled(other, sealed)
	}
	return !hasReleased(other, sealed)
}

// hasReleased reports whether a process has stopped dealing with a sealed one: it
// has acknowledged the seal, or it was registered later and knew the seal from
// the start.
func hasReleased(by, sealed *member) bool {
	if !sealed.Sealed {
		return false
	}
	if _, acked := sealed.ackedBy[by.Incarnation]; acked {
		return true
	}
	return registrationOffset(by) > sealed.sealedAt
}

// pairSettled reports whether every run that a router started at a side process
// has ended and is settled, and no further run can be started. That holds if
// either has released the other, or if the VMs of both are destroyed. One
// destroyed VM is not enough: the process on the other may continue and settle
// later.
func pairSettled(router, side *member) bool {
	if hasReleased(router, side) || hasReleased(side, router) {
		return true
	}
	return router.destroyed && side.destroyed
}

func registrationOffset(m *member) ident.Offset {
	return ident.Offset(m.Incarnation) - 1
}

// Closable reports whether the grants of a holder may be closed. They may once its
// incarnation is closed.
func (s *State) Closable(holder ident.Incarnation) bool {
	return s.Closed(holder)
}

// Closed reports whether an incarnation has deregistered or was sealed and
// settled. Once true, it stays true.
func (s *State) Closed(incarnation ident.Incarnation) bool {
	known := incarnation != 0 && wasRegisteredUpTo(incarnation, s.offset)
	return known && s.members[incarnation] == nil
}

func wasRegisteredUpTo(incarnation ident.Incarnation, offset ident.Offset) bool {
	return offset >= 0 && uint64(incarnation) <= uint64(offset)+1
}

// Blocker is a member that keeps a sealed incarnation from being closed. If it is
// a sealed side process, WaitsOn lists the routers that it waits for in turn.
type Blocker struct {
	Member  Member
	WaitsOn []Member
}

// Blockers lists the members that keep a sealed incarnation from being closed, by
// incarnation. It returns nil if the incarnation is not sealed or is closed.
func (s *State) Blockers(sealed ident.Incarnation) []Blocker {
	m := s.members[sealed]
	if m == nil || !m.Sealed {
		return nil
	}
	var blockers []Blocker
	for _, other := range s.blockersOf(m) {
		b := Blocker{Member: other.Member}
		if other.Sealed && other.Registration.Role == RoleSide {
			for _, router := range s.blockersOf(other) {
				b.WaitsOn = append(b.WaitsOn, router.Member)
			}
		}
		blockers = append(blockers, b)
	}
	return blockers
}

func (s *State) blockersOf(m *member) []*member {
	var blockers []*member
	for _, other := range s.sortedMembers() {
		if other.Registration.Role != m.Registration.Role && s.blocks(other, m) {
			blockers = append(blockers, other)
		}
	}
	return blockers
}
