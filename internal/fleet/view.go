package fleet

import (
	"cmp"
	"slices"

	"github.com/camphorlever/camphorlever/internal/ident"
)

// View is the membership at an offset. It is immutable.
type View struct {
	Offset  ident.Offset
	Routers []Member // neither sealed nor ended, by incarnation
	Sides   []Member // neither sealed nor ended, by incarnation; also those that leave
	Pending []Sealed // sealed and not decided, by incarnation
	// RecentlyClosed lists the lives that ended last, oldest first.
	RecentlyClosed []ident.Incarnation
	members        map[ident.Incarnation]Member
}

// Sealed is a sealed life that is not decided.
type Sealed struct {
	Member
	SealedAt  ident.Offset // of the seal
	Destroyed bool
	acked     []ident.Incarnation
}

// AckedBy reports whether a process has acknowledged the seal.
func (s Sealed) AckedBy(by ident.Incarnation) bool {
	return slices.Contains(s.acked, by)
}

// View returns the membership now.
func (s *State) View() *View {
	v := &View{Offset: s.offset, RecentlyClosed: s.ended, members: make(map[ident.Incarnation]Member, len(s.members))}
	for _, m := range s.sorted() {
		v.members[m.Incarnation] = m.Member
		switch {
		case m.Sealed:
			v.Pending = append(v.Pending, m.pending())
		case m.Registration.Role == RoleRouter:
			v.Routers = append(v.Routers, m.Member)
		default:
			v.Sides = append(v.Sides, m.Member)
		}
	}
	return v
}

func (m *member) pending() Sealed {
	return Sealed{Member: m.Member, SealedAt: m.sealedAt, Destroyed: m.destroyed, acked: m.ackedIn}
}

func (s *State) sorted() []*member {
	members := make([]*member, 0, len(s.members))
	for _, m := range s.members {
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b *member) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	return members
}

// Member returns a life that is live or sealed and not decided.
func (v *View) Member(incarnation ident.Incarnation) (Member, bool) {
	m, ok := v.members[incarnation]
	return m, ok
}

// Live reports whether a life is registered and not sealed.
func (v *View) Live(incarnation ident.Incarnation) bool {
	m, ok := v.members[incarnation]
	return ok && !m.Sealed
}

// Sealed reports whether a life is sealed or over.
func (v *View) Sealed(incarnation ident.Incarnation) bool {
	m, ok := v.members[incarnation]
	if ok {
		return m.Sealed
	}
	return v.Closed(incarnation)
}

// Closed reports whether a life has deregistered or is decided. It stays true.
func (v *View) Closed(incarnation ident.Incarnation) bool {
	_, member := v.members[incarnation]
	return incarnation != 0 && registeredBefore(incarnation, v.Offset) && !member
}

// SideFor returns the newest live side process of a backend server.
func (v *View) SideFor(server ident.ServerID) (Member, bool) {
	for _, m := range slices.Backward(v.Sides) {
		if m.Registration.Server == server {
			return m, true
		}
	}
	return Member{}, false
}

// ClosedRangeStart returns the first of the uninterrupted incarnations up to the
// given closed one that are all closed.
func (v *View) ClosedRangeStart(closed ident.Incarnation) ident.Incarnation {
	first := ident.Incarnation(1)
	for incarnation := range v.members {
		if incarnation < closed {
			first = max(first, incarnation+1)
		}
	}
	return first
}
