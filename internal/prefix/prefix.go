// Package prefix computes chained hashes of the blocks of a prompt. Routers and
// engines use the same hashes, so a router can tell from a block's hash whether an
// engine's prefix cache holds the prompt up to and including that block.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// BlockBytes is the length in bytes of one block of message contents.
const BlockBytes = 256

// BlockHashes returns one hash per complete block of the concatenated message
// contents. Each hash covers its block and the hash of the preceding block, and
// thereby all blocks before it. An incomplete last block has no hash.
func BlockHashes(contents []byte) []uint64 {
	count := len(contents) / BlockBytes
	if count == 0 {
		return nil
	}
	hashes := make([]uint64, count)
	var previous [8]byte // hash of the preceding block; zero for the first
	digest := xxhash.New()
	for i := range hashes {
		digest.Reset()
		digest.Write(previous[:])
		digest.Write(contents[i*BlockBytes : (i+1)*BlockBytes])
		hashes[i] = digest.Sum64()
		binary.LittleEndian.PutUint64(previous[:], hashes[i])
	}
	return hashes
}
