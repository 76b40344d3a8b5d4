package rendezvous

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

func identity(s string) string { return s }

func TestOrderIsIndependentOfInputOrder(t *testing.T) {
	items := []string{"a", "b", "c", "d", "e"}
	shuffled := []string{"d", "a", "e", "c", "b"}
	firsts := map[string]int{}
	for i := range 500 {
		seed := []byte(fmt.Sprint(i))
		order := First(seed, items, 5, identity)
		require.ElementsMatch(t, items, order)
		require.Equal(t, order, First(seed, shuffled, 5, identity))
		require.Equal(t, order[:2], First(seed, items, 2, identity))
		firsts[order[0]]++
	}
	for _, item := range items {
		require.InDelta(t, 100, firsts[item], 50, "each item is first about equally often")
	}
}

func TestRemovalKeepsOrderOfOtherItems(t *testing.T) {
	items := []string{"a", "b", "c", "d", "e"}
	for i := range 100 {
		seed := []byte(fmt.Sprint(i))
		order := First(seed, items, 5, identity)
		for _, removed := range items {
			remaining := slices.DeleteFunc(slices.Clone(items), func(s string) bool { return s == removed })
			want := slices.DeleteFunc(slices.Clone(order), func(s string) bool { return s == removed })
			require.Equal(t, want, First(seed, remaining, 5, identity))
		}
	}
	require.Empty(t, First(nil, []string{}, 3, identity))
}
