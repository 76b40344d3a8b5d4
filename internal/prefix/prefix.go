// Package prefix hashes the beginning of a prompt in blocks. Routers and
// engines agree on it, so that a block's hash tells whether the engine's
// prefix cache holds everything up to and including that block.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// BlockBytes is the length of one block of message contents.
const BlockBytes = 256

// BlockHashes returns one hash per whole block of the concatenated message
// contents. Each hash covers its block and, through the chain, all blocks
// before it. A last block that is not full has no hash.
func BlockHashes(contents []byte) []uint64 {
	count := len(contents) / BlockBytes
	if count == 0 {
		return nil
	}
	hashes := make([]uint64, count)
	var link [8]byte // hash of the preceding block, zero for the first
	digest := xxhash.New()
	for i := range hashes {
		digest.Reset()
		digest.Write(link[:])
		digest.Write(contents[i*BlockBytes : (i+1)*BlockBytes])
		hashes[i] = digest.Sum64()
		binary.LittleEndian.PutUint64(link[:], hashes[i])
	}
	return hashes
}
