package engine

import (
	"container/list"

	"github.com/camphorlever/camphorlever/internal/wire"
)

// Limits of the remembered blocks and removals; the oldest are dropped first.
const (
	maxCacheEntries  = 4096
	maxCacheRemovals = 4096
)

// cacheChange is the newest change of one block.
type cacheChange struct {
	seq    uint64
	block  uint64
	stored bool
}

// cacheLog holds the blocks of a view and the most recent removals, each in the
// order of the changes. Only the newest change of a block is kept, so that a
// reader that is far behind is sent no more than the current view and the
// remembered removals. It is not safe for concurrent use.
type cacheLog struct {
	seq           uint64 // of the newest change
	stored        *list.List
	removed       *list.List
	byBlock       map[uint64]*list.Element // the block's element in stored or removed
	lastForgotten uint64                   // seq of the newest removal that is no longer remembered
}

func newCacheLog() *cacheLog {
	return &cacheLog{stored: list.New(), removed: list.New(), byBlock: map[uint64]*list.Element{}}
}

func (l *cacheLog) store(block uint64) {
	if e, exists := l.byBlock[block]; exists {
		if changeOf(e).stored {
			return
		}
		l.removed.Remove(e)
	}
	l.seq++
	l.byBlock[block] = l.stored.PushBack(cacheChange{seq: l.seq, block: block, stored: true})
	if l.stored.Len() > maxCacheEntries {
		l.remove(changeOf(l.stored.Front()).block)
	}
}

func (l *cacheLog) remove(block uint64) {
	e, exists := l.byBlock[block]
	if !exists || !changeOf(e).stored {
		return
	}
	l.stored.Remove(e)
	l.seq++
	l.byBlock[block] = l.removed.PushBack(cacheChange{seq: l.seq, block: block})
	if l.removed.Len() > maxCacheRemovals {
		oldest := changeOf(l.removed.Front())
		l.removed.Remove(l.removed.Front())
		delete(l.byBlock, oldest.block)
		l.lastForgotten = oldest.seq
	}
}

// covers reports whether all changes after the mark that matter to its reader
// are remembered. Removals before mark.Start don't: the reader never got those
// blocks.
func (l *cacheLog) covers(mark wire.CacheMark) bool {
	return mark.Seq <= l.seq && max(mark.Seq, mark.Start) >= l.lastForgotten
}

// appendChanges appends the changes after out.Mark in order, at most
// wire.MaxCacheChanges, and advances the mark past them.
func (l *cacheLog) appendChanges(out *wire.CacheChanges) {
	stored := firstAfter(l.stored, out.Mark.Seq)
	removed := firstAfter(l.removed, max(out.Mark.Seq, out.Mark.Start))
	for range wire.MaxCacheChanges {
		switch {
		case stored == nil && removed == nil:
			out.Mark.Seq = l.seq
			return
		case removed == nil || stored != nil && changeOf(stored).seq < changeOf(removed).seq:
			out.Mark.Seq = changeOf(stored).seq
			out.Stored = out.Stored.Append(wire.ShortenHash(changeOf(stored).block))
			stored = stored.Next()
		default:
			out.Mark.Seq = changeOf(removed).seq
			out.Removed = out.Removed.Append(wire.ShortenHash(changeOf(removed).block))
			removed = removed.Next()
		}
	}
}

// firstAfter returns the first element with a sequence number above seq, or nil.
func firstAfter(changes *list.List, seq uint64) *list.Element {
	var first *list.Element
	for e := changes.Back(); e != nil && changeOf(e).seq > seq; e = e.Prev() {
		first = e
	}
	return first
}

func changeOf(e *list.Element) cacheChange { return e.Value.(cacheChange) }
