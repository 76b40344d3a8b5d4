package budget

import "github.com/camphorlever/camphorlever/internal/ident"

// Holding is what a router has in hand under one holder's grant.
type Holding struct {
	Holder   ident.Incarnation
	Free     int64 // may be reserved
	Reserved int64 // for runs in progress or of unknown outcome
	Borrowed int64 // by loans, in all; zero for the own grant
	Repaid   int64 // of loans, in all
	Lent     int64 // of the own grant: lent and not repaid
	Revoked  bool  // the holder is sealed
}

// Holdings lists what is in hand for a team, the own grant first.
func (g *Grants) Holdings(team ident.TeamID) []Holding {
	h := g.lookup(team)
	if h == nil {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	list := []Holding{h.own.holding()}
	for _, entry := range h.lent {
		list[0].Lent += entry.tokens - entry.repaid
	}
	for _, s := range h.loans {
		list = append(list, s.holding())
	}
	return list
}

func (s *source) holding() Holding {
	return Holding{
		Holder:   s.holder,
		Free:     s.free,
		Reserved: s.reserved,
		Borrowed: s.borrowed,
		Repaid:   s.repaid,
		Revoked:  s.revoked,
	}
}
