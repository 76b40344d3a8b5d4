package fleet

import (
	"slices"

	"github.com/camphorlever/camphorlever/internal/ident"
)

// A life is decided, and dropped from the state, once nothing can be started
// by it, at it or under its grants any more and every settlement for what was
// is in the ledger. See decided for the rule.

// deregister ends a life by its own word: it holds nothing and owes nothing.
func (s *State) deregister(writer ident.Incarnation, r Deregister) Outcome {
	if writer != r.Incarnation {
		return RefusedWriter
	}
	s.drop(writer)
	s.decideAll()
	return Accepted
}

func (s *State) seal(r Seal) Outcome {
	m := s.members[r.Incarnation]
	if m == nil || m.Sealed {
		return Repeated
	}
	s.sealMember(m)
	s.decide(m)
	return Accepted
}

func (s *State) sealMember(m *member) {
	m.Sealed = true
	m.sealedAt = s.offset
	m.acked = map[ident.Incarnation]struct{}{}
}

// acknowledge counts only between a router and a side process: those are the
// pairs that start runs together.
func (s *State) acknowledge(writer ident.Incarnation, r Acknowledge) Outcome {
	m := s.members[r.Sealed]
	if m == nil {
		return Repeated
	}
	if !m.Sealed || m.Registration.Role == s.members[writer].Registration.Role {
		return RefusedInvalid
	}
	if _, known := m.acked[writer]; known {
		return Repeated
	}
	m.acked[writer] = struct{}{}
	m.ackedIn = append(m.ackedIn, writer)
	s.decide(m)
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
	s.decideAll()
	return Accepted
}

// decide drops a sealed life once it is decided; that may decide others.
func (s *State) decide(m *member) {
	if !s.decided(m) {
		return
	}
	s.drop(m.Incarnation)
	s.decideAll()
}

// drop forgets a life but for its name.
func (s *State) drop(incarnation ident.Incarnation) {
	delete(s.members, incarnation)
	s.ended = append(s.ended, incarnation)
	if len(s.ended) > endedKept {
		s.ended = s.ended[len(s.ended)-endedKept:]
	}
}

// decideAll drops decided lives until none is left.
func (s *State) decideAll() {
	for again := true; again; {
		again = false
		for _, m := range s.sorted() {
			if m.Sealed && s.decided(m) {
				s.drop(m.Incarnation)
				again = true
			}
		}
	}
}

// decided tells whether a sealed life can be dropped.
//
// A side process is decided when for every router the pair of both is
// resolved. A router is decided, and its grants may be closed, when every side
// process has acknowledged it or was registered after the seal; side processes
// that are decided themselves are no longer among the members.
func (s *State) decided(m *member) bool {
	for _, other := range s.members {
		if other.Registration.Role != m.Registration.Role && s.blocks(other, m) {
			return false
		}
	}
	return true
}

// blocks tells whether a sealed life waits for another of the other role.
func (s *State) blocks(other, sealed *member) bool {
	if sealed.Registration.Role == RoleSide {
		return !resolved(other, sealed)
	}
	return !released(other, sealed)
}

// released tells whether a process deals no more with a sealed one: it has
// said so, or it was registered later and knew the seal from the start.
func released(by, sealed *member) bool {
	if !sealed.Sealed {
		return false
	}
	if _, acked := sealed.acked[by.Incarnation]; acked {
		return true
	}
	return registeredAt(by) > sealed.sealedAt
}

// resolved tells whether every run that a router began at a side process is
// over and settled, and no other can follow. Either of the two says so of the
// other, or neither exists any more. That one of them is destroyed is not
// enough: the other may run on, and settle later.
func resolved(router, side *member) bool {
	if released(router, side) || released(side, router) {
		return true
	}
	return router.destroyed && side.destroyed
}

func registeredAt(m *member) ident.Offset {
	return ident.Offset(m.Incarnation) - 1
}

// Closable reports whether the grants of a holder may be closed.
func (s *State) Closable(holder ident.Incarnation) bool {
	return s.Closed(holder)
}

// Closed reports whether a life has deregistered or is decided. It stays true.
func (s *State) Closed(incarnation ident.Incarnation) bool {
	known := incarnation != 0 && registeredBefore(incarnation, s.offset)
	return known && s.members[incarnation] == nil
}

func registeredBefore(incarnation ident.Incarnation, offset ident.Offset) bool {
	return offset >= 0 && uint64(incarnation) <= uint64(offset)+1
}

// Blocker is a process that a sealed life waits for. A side process that is
// itself sealed waits in turn for routers.
type Blocker struct {
	Member  Member
	WaitsOn []Member
}

// Blockers lists whom a sealed life waits for, in order of incarnations.
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
	for _, other := range s.sorted() {
		if other.Registration.Role != m.Registration.Role && s.blocks(other, m) {
			blockers = append(blockers, other)
		}
	}
	return blockers
}
