package budget

import "github.com/camphorlever/camphorlever/internal/ident"

// SourceBalance is what a router has in hand under one holder's grant.
type SourceBalance struct {
	Holder   ident.Incarnation
	Free     int64 // may be reserved
	Reserved int64 // for runs in progress or of unknown outcome
	Borrowed int64 // by loans, in all; zero for the own grant
	Repaid   int64 // of loans, in all
	Lent     int64 // of the own grant: lent and not repaid
	Revoked  bool  // the holder is sealed
}

// Balances lists what is in hand for a team, the own grant first.
func (g *Grants) Balances(team ident.TeamID) []SourceBalance {
	h := g.lookup(team)
	if h == nil {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	list := []SourceBalance{h.own.holding()}
	for _, entry := range h.lent {
		list[0].Lent += entry.tokens - entry.repaid
	}
	for _, s := range h.loans {
		list = append(list, s.holding())
	}
	return list
}

func (s *source) holding() SourceBalance {
	return SourceBalance{
		Holder:   s.holder,
		Free:     s.free,
		Reserved: s.reserved,
		Borrowed: s.borrowed,
		Repaid:   s.repaid,
		Revoked:  s.revoked,
	}
}
