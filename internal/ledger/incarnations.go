package ledger

import (
	"maps"
	"slices"

	"github.com/camphorlever/camphorlever/internal/ident"
)

// Incarnations lists the lives of which the shard remembers something that a
// Close would free: a mark, a grant or settled runs. It is sorted.
func (s *State) Incarnations() []ident.Incarnation {
	known := map[ident.Incarnation]struct{}{}
	for writer := range s.marks {
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

// IsBilled reports whether a run of a key was billed, as far as the shard
// remembers: BilledKeyWindow keys.
func (s *State) IsBilled(key ident.Key) bool {
	_, known := s.billed.get(key)
	return known
}
