package prefix

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestBlockHashesShareExactlyTheCommonPrefix(t *testing.T) {
	base := bytes.Repeat([]byte("row 7 section B "), 64) // 4 blocks
	require.Empty(t, BlockHashes(base[:BlockBytes-1]))
	whole := BlockHashes(base)
	require.Len(t, whole, 4)
	require.Equal(t, whole[:3], BlockHashes(base[:len(base)-1]))

	changed := bytes.Clone(base)
	changed[BlockBytes] ^= 1
	other := BlockHashes(changed)
	require.Equal(t, whole[0], other[0])
	for i := 1; i < len(whole); i++ {
		// Blocks 2 and 3 have the same bytes: only the hash of the preceding block
		// makes their hashes differ.
		require.NotEqual(t, whole[i], other[i])
		require.NotEqual(t, whole[i-1], whole[i])
	}
}
