package wire

import "encoding/binary"

// Size of what a load reply tells of a prefix cache.
const (
	// MaxCacheChanges is how many changes a reply holds at most. A server
	// with 14 runs a second of 20 new blocks each stores 280 and removes 280.
	MaxCacheChanges = 576
	shortBlockBytes = 4
)

// ShortHash is the hash of a prompt block as it is sent. What it tells is an
// estimate, so that one wrong match in some 10^6 does no harm.
type ShortHash uint32

// ShortenHash returns the short form of a block's hash.
func ShortenHash(block uint64) ShortHash { return ShortHash(block) }

// ShortHashes are blocks packed into bytes, which gob sends as they are.
type ShortHashes []byte

// Append returns the blocks with one more.
func (b ShortHashes) Append(block ShortHash) ShortHashes {
	return binary.BigEndian.AppendUint32(b, uint32(block))
}

// Len returns the number of blocks.
func (b ShortHashes) Len() int { return len(b) / shortBlockBytes }

// All calls yield for each block, as a range function. Bytes that are no
// whole block are left out.
func (b ShortHashes) All(yield func(ShortHash) bool) {
	for len(b) >= shortBlockBytes {
		if !yield(ShortHash(binary.BigEndian.Uint32(b))) {
			return
		}
		b = b[shortBlockBytes:]
	}
}

// CacheMark is up to where a router has a side process's view of its engine's
// prefix cache. Only the side process looks into it; the router returns what
// it got with the last changes that it took in. The zero value is the mark of
// a router that has nothing.
type CacheMark struct {
	Epoch uint64 // raised when events were lost
	Seq   uint64 // of the last change that the router has
	Start uint64 // the last change before the router got its first blocks of the epoch
}

// CacheChanges are changes of the view after the mark that was asked with.
// There may be more after Mark, which the next reply brings. Whole says that
// they start the view anew: removals before the mark may be missing.
type CacheChanges struct {
	Mark    CacheMark
	Whole   bool
	Stored  ShortHashes
	Removed ShortHashes
}
