// Package rendezvous orders items by a seed such that everybody who knows the
// items gets the same order, and an item that comes or goes moves no other.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// First returns at most size items that are first in the order of a seed, best
// first. Items are told apart by their names.
func First[T any](seed []byte, items []T, size int, name func(T) string) []T {
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
	picked := make([]T, min(size, len(all)))
	for i := range picked {
		picked[i] = all[i].item
	}
	return picked
}
