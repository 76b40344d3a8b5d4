package wire

import "encoding/binary"

// Sizes of the prefix-cache part of a load reply.
const (
	// MaxCacheChanges is the maximum number of changes in a reply. A server
	// that starts 14 runs per second of 20 new blocks each stores 280 and
	// removes 280 blocks per second.
	MaxCacheChanges = 576
	shortHashBytes  = 4
)

// ShortHash is the truncated hash of a prompt block as it is sent. Routers only
// estimate cache hits with it, so one false match in about 10^6 does no harm.
type ShortHash uint32

// ShortenHash truncates a block's hash.
func ShortenHash(hash uint64) ShortHash { return ShortHash(hash) }

// ShortHashes is a list of short hashes packed into bytes, which gob sends without
// further encoding.
type ShortHashes []byte

// Append returns the list with one more hash.
func (b ShortHashes) Append(hash ShortHash) ShortHashes {
	return binary.BigEndian.AppendUint32(b, uint32(hash))
}

// Len returns the number of hashes.
func (b ShortHashes) Len() int { return len(b) / shortHashBytes }

// All calls yield for each hash; it is an iterator for range. Trailing bytes that
// are not a whole hash are ignored.
func (b ShortHashes) All(yield func(ShortHash) bool) {
	for len(b) >= shortHashBytes {
		if !yield(ShortHash(binary.BigEndian.Uint32(b))) {
			return
		}
		b = b[shortHashBytes:]
	}
}

// CacheMark is a position in the changes of a side process's view of its engine's
// prefix cache. Only the side process interprets it; a router sends back the mark
// that came with the last changes it applied. The zero value is the mark of a
// router that has no part of the view.
type CacheMark struct {
	Epoch uint64 // increased when events of the engine were lost
	Seq   uint64 // number of the last change that the router has
	Start uint64 // number of the last change before the router's first blocks of the epoch
}

// CacheChanges are the changes of the view after the mark in the request. There
// may be more changes after Mark; the next reply carries them. Whole means that
// the changes describe the view from its start: blocks reported before are not
// reliable any more, because removals before the mark may be missing.
type CacheChanges struct {
	Mark    CacheMark
	Whole   bool
	Stored  ShortHashes
	Removed ShortHashes
}
