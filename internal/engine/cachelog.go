package engine

import (
	"container/list"

	"github.com/camphorlever/camphorlever/internal/wire"
)

// Bounds of what is remembered; the oldest go first.
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

// cacheLog holds the blocks of a view and the newest removals. Both stand in
// order of their changes, and each block has its newest change only, so that a
// reader far behind gets no more than the view. Not safe for concurrent use.
type cacheLog struct {
	seq     uint64 // of the last change
	stored  *list.List
	removed *list.List
	at      map[uint64]*list.Element // by block, in one of the lists
	lost    uint64                   // the newest removal that is not remembered
}

func newCacheLog() *cacheLog {
	return &cacheLog{stored: list.New(), removed: list.New(), at: map[uint64]*list.Element{}}
}

func (l *cacheLog) store(block uint64) {
	if e, known := l.at[block]; known {
		if change(e).stored {
			return
		}
		l.removed.Remove(e)
	}
	l.seq++
	l.at[block] = l.stored.PushBack(cacheChange{seq: l.seq, block: block, stored: true})
	if l.stored.Len() > maxCacheEntries {
		l.remove(change(l.stored.Front()).block)
	}
}

func (l *cacheLog) remove(block uint64) {
	e, known := l.at[block]
	if !known || !change(e).stored {
		return
	}
	l.stored.Remove(e)
	l.seq++
	l.at[block] = l.removed.PushBack(cacheChange{seq: l.seq, block: block})
	if l.removed.Len() > maxCacheRemovals {
		oldest := change(l.removed.Front())
		l.removed.Remove(l.removed.Front())
		delete(l.at, oldest.block)
		l.lost = oldest.seq
	}
}

// covers reports whether all changes after the mark are remembered. Blocks
// that were removed before the reader's start were never told to it.
func (l *cacheLog) covers(known wire.CacheMark) bool {
	return known.Seq <= l.seq && max(known.Seq, known.Start) >= l.lost
}

// since adds the changes after the mark in order, and moves the mark on.
func (l *cacheLog) since(out *wire.CacheChanges) {
	stored := after(l.stored, out.Mark.Seq)
	removed := after(l.removed, max(out.Mark.Seq, out.Mark.Start))
	for range wire.MaxCacheChanges {
		switch {
		case stored == nil && removed == nil:
			out.Mark.Seq = l.seq
			return
		case removed == nil || stored != nil && change(stored).seq < change(removed).seq:
			out.Mark.Seq = change(stored).seq
			out.Stored = out.Stored.Append(wire.ShortenHash(change(stored).block))
			stored = stored.Next()
		default:
			out.Mark.Seq = change(removed).seq
			out.Removed = out.Removed.Append(wire.ShortenHash(change(removed).block))
			removed = removed.Next()
		}
	}
}

// after returns the first change after a sequence number, nil if there is none.
func after(changes *list.List, seq uint64) *list.Element {
	var first *list.Element
	for e := changes.Back(); e != nil && change(e).seq > seq; e = e.Prev() {
		first = e
	}
	return first
}

func change(e *list.Element) cacheChange { return e.Value.(cacheChange) }
