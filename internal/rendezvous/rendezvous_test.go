package rendezvous

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

func same(s string) string { return s }

func TestOrderDependsOnTheSeedAndNotOnTheListing(t *testing.T) {
	items := []string{"a", "b", "c", "d", "e"}
	shuffled := []string{"d", "a", "e", "c", "b"}
	firsts := map[string]int{}
	for i := range 500 {
		seed := []byte(fmt.Sprint(i))
		order := First(seed, items, 5, same)
		require.ElementsMatch(t, items, order)
		require.Equal(t, order, First(seed, shuffled, 5, same))
		require.Equal(t, order[:2], First(seed, items, 2, same))
		firsts[order[0]]++
	}
	for _, item := range items {
		require.InDelta(t, 100, firsts[item], 50, "each is first about as often")
	}
}

func TestAnItemThatGoesMovesNoOther(t *testing.T) {
	items := []string{"a", "b", "c", "d", "e"}
	for i := range 100 {
		seed := []byte(fmt.Sprint(i))
		order := First(seed, items, 5, same)
		for _, gone := range items {
			left := slices.DeleteFunc(slices.Clone(items), func(s string) bool { return s == gone })
			want := slices.DeleteFunc(slices.Clone(order), func(s string) bool { return s == gone })
			require.Equal(t, want, First(seed, left, 5, same))
		}
	}
	require.Empty(t, First(nil, []string{}, 3, same))
}
