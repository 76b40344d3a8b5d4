package budget

import "github.com/camphorlever/camphorlever/internal/ident"

// SourceBalance is a router's balance under one holder's grant, in tokens.
type SourceBalance struct {
	Holder   ident.Incarnation
	Free     int64 // available for reservations
	Reserved int64 // for runs in progress or of unknown outcome
	Borrowed int64 // total of all loans; zero for the own grant
	Repaid   int64 // total repayments of loans
	Lent     int64 // of the own grant: lent and not repaid
	Revoked  bool  // the holder is sealed
}

// Balances returns a team's balances by source, the own grant first. It returns
// nil if the team has no local balance.
func (g *Grants) Balances(team ident.TeamID) []SourceBalance {
	b := g.lookup(team)
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	balances := []SourceBalance{b.own.balance()}
	for _, entry := range b.lentTo {
		balances[0].Lent += entry.tokens - entry.repaid
	}
	for _, s := range b.loans {
		balances = append(balances, s.balance())
	}
	return balances
}

func (s *source) balance() SourceBalance {
	return SourceBalance{
		Holder:   s.holder,
		Free:     s.free,
		Reserved: s.reserved,
		Borrowed: s.borrowed,
		Repaid:   s.repaid,
		Revoked:  s.revoked,
	}
}
