package fleet

import (
	"cmp"
	"slices"

	"github.com/camphorlever/camphorlever/internal/ident"
)

// View is the membership of the fleet at an offset. It is immutable.
type View struct {
	Offset  ident.Offset
	Routers []Member // neither sealed nor closed, by incarnation
	Sides   []Member // neither sealed nor closed, by incarnation; including those that are leaving
	Pending []Sealed // sealed and not closed, by incarnation
	// RecentlyClosed lists the incarnations that were closed last, oldest first.
	RecentlyClosed []ident.Incarnation
	members        map[ident.Incarnation]Member
}

// Sealed is a sealed incarnation that is not closed.
type Sealed struct {
	Member
	SealedAt  ident.Offset // offset of the seal
	Destroyed bool
	acked     []ident.Incarnation
}

// AckedBy reports whether a process has acknowledged the seal.
func (s Sealed) AckedBy(by ident.Incarnation) bool {
	return slices.Contains(s.acked, by)
}

// View returns the present membership.
func (s *State) View() *View {
	v := &View{Offset: s.offset, RecentlyClosed: s.recentlyClosed, members: make(map[ident.Incarnation]Member, len(s.members))}
	for _, m := range s.sortedMembers() {
		v.members[m.Incarnation] = m.Member
		switch {
		case m.Sealed:
			v.Pending = append(v.Pending, m.toSealed())
		case m.Registration.Role == RoleRouter:
			v.Routers = append(v.Routers, m.Member)
		default:
			v.Sides = append(v.Sides, m.Member)
		}
	}
	return v
}

func (m *member) toSealed() Sealed {
	return Sealed{Member: m.Member, SealedAt: m.sealedAt, Destroyed: m.destroyed, acked: m.ackOrder}
}

func (s *State) sortedMembers() []*member {
	members := make([]*member, 0, len(s.members))
	for _, m := range s.members {
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b *member) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	return members
}

// Member returns an incarnation that is registered and not closed; it may be
// sealed.
func (v *View) Member(incarnation ident.Incarnation) (Member, bool) {
	m, ok := v.members[incarnation]
	return m, ok
}

// Live reports whether an incarnation is registered and neither sealed nor
// closed.
func (v *View) Live(incarnation ident.Incarnation) bool {
	m, ok := v.members[incarnation]
	return ok && !m.Sealed
}

// Sealed reports whether an incarnation is sealed or closed.
func (v *View) Sealed(incarnation ident.Incarnation) bool {
	m, ok := v.members[incarnation]
	if ok {
		return m.Sealed
	}
	return v.Closed(incarnation)
}

// Closed reports whether an incarnation has deregistered or was sealed and
// settled. Once true, it stays true.
func (v *View) Closed(incarnation ident.Incarnation) bool {
	_, member := v.members[incarnation]
	return incarnation != 0 && wasRegisteredUpTo(incarnation, v.Offset) && !member
}

// SideFor returns the newest live side process of a backend server, or false if
// there is none.
func (v *View) SideFor(server ident.ServerID) (Member, bool) {
	for _, m := range slices.Backward(v.Sides) {
		if m.Registration.Server == server {
			return m, true
		}
	}
	return Member{}, false
}

// ClosedRangeStart returns the start of the longest range of incarnations that
// ends with the given closed one and contains only closed ones.
func (v *View) ClosedRangeStart(closed ident.Incarnation) ident.Incarnation {
	first := ident.Incarnation(1)
	for incarnation := range v.members {
		if incarnation < closed {
			first = max(first, incarnation+1)
		}
	}
	return first
}
