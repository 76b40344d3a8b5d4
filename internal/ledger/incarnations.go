package ledger

import (
	"maps"
	"slices"

	"github.com/camphorlever/camphorlever/internal/ident"
)

// Incarnations returns the incarnations, sorted, for which the shard holds state
// that a Close would free: a last sequence, a grant or settled runs.
func (s *State) Incarnations() []ident.Incarnation {
	known := map[ident.Incarnation]struct{}{}
	for writer := range s.lastSequences {
		known[writer] = struct{}{}
	}
	for gate := range s.settled {
		known[gate] = struct{}{}
	}
	for _, b := range s.budgets {
		for _, grant := range b.grants {
			known[grant.Holder] = struct{}{}
		}
	}
	return slices.Sorted(maps.Keys(known))
}

// IsBilled reports whether a run of a key was billed. Only the newest
// BilledKeyWindow billed keys of the shard are known.
func (s *State) IsBilled(key ident.Key) bool {
	_, known := s.billed.get(key)
	return known
}
