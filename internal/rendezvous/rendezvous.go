// Package rendezvous implements rendezvous hashing. It orders items by a seed such
// that all processes with the same items compute the same order, and adding or
// removing an item does not change the order of the others.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// First returns the first items in the order of a seed, at most limit. Items are
// identified by their names, which must be unique.
func First[T any](seed []byte, items []T, limit int, name func(T) string) []T {
	type scored struct {
		item  T
		name  string
		score uint64
	}
	all := make([]scored, len(items))
	digest := xxhash.New()
	for i, item := range items {
		digest.Reset()
		digest.Write(seed)
		digest.WriteString(name(item))
		all[i] = scored{item: item, name: name(item), score: digest.Sum64()}
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	picked := make([]T, min(limit, len(all)))
	for i := range picked {
		picked[i] = all[i].item
	}
	return picked
}
