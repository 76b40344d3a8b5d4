package wire

import "encoding/binary"

// Size of what a load reply tells of a prefix cache.
const (
	// MaxCacheChanges is how many changes a reply holds at most. A server
	// with 14 runs a second of 20 new blocks each stores 280 and removes 280.
	MaxCacheChanges = 576
	shortBlockBytes = 4
)

// ShortBlock is the hash of a prompt block as it is sent. What it tells is an
// estimate, so that one wrong match in some 10^6 does no harm.
type ShortBlock uint32

// Short returns the short form of a block's hash.
func Short(block uint64) ShortBlock { return ShortBlock(block) }

// ShortBlocks are blocks packed into bytes, which gob sends as they are.
type ShortBlocks []byte

// Append returns the blocks with one more.
func (b ShortBlocks) Append(block ShortBlock) ShortBlocks {
	return binary.BigEndian.AppendUint32(b, uint32(block))
}

// Len returns the number of blocks.
func (b ShortBlocks) Len() int { return len(b) / shortBlockBytes }

// All calls yield for each block, as a range function. Bytes that are no
// whole block are left out.
func (b ShortBlocks) All(yield func(ShortBlock) bool) {
	for len(b) >= shortBlockBytes {
		if !yield(ShortBlock(binary.BigEndian.Uint32(b))) {
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
	Epoch uint64 // raised when events were lost, which voids earlier views
	Seq   uint64 // of the last change that the router has
	Start uint64 // the last change before the router got its first blocks of the epoch
}

// CacheChanges are changes of the view after the mark that was asked with.
// There may be more after Mark, which the next reply brings. Whole says that
// they start a new view and that all that was told before is void.
type CacheChanges struct {
	Mark    CacheMark
	Whole   bool
	Stored  ShortBlocks
	Removed ShortBlocks
}
