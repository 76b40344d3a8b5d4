package ledger

import "github.com/camphorlever/camphorlever/internal/ident"

// window is a map of bounded size that evicts its oldest entries first. The set
// of live entries depends only on the sequence of calls, also if a snapshot is
// written and loaded in between.
type window[V any] struct {
	limit   int
	serial  uint64
	entries map[ident.Key]windowEntry[V]
	queue   []windowSlot // oldest first; also has slots of removed entries
}

// windowEntry is the value of a key with the serial number of its insertion.
type windowEntry[V any] struct {
	serial uint64
	value  V
}

// windowSlot is the position of an insertion in the queue. It is live if the key
// still has the entry with the same serial number.
type windowSlot struct {
	key    ident.Key
	serial uint64
}

func newWindow[V any](limit int) window[V] {
	return window[V]{limit: limit}
}

// get returns the value of a key.
func (w *window[V]) get(key ident.Key) (V, bool) {
	entry, ok := w.entries[key]
	return entry.value, ok
}

// put inserts a key that is not in the window. If the window was full, put evicts
// the oldest entry and returns its value.
func (w *window[V]) put(key ident.Key, value V) (evicted V, wasFull bool) {
	if w.entries == nil {
		w.entries = map[ident.Key]windowEntry[V]{}
	}
	w.serial++
	w.entries[key] = windowEntry[V]{serial: w.serial, value: value}
	w.queue = append(w.queue, windowSlot{key: key, serial: w.serial})
	for len(w.entries) > w.limit {
		slot := w.queue[0]
		w.queue = w.queue[1:]
		if w.isLive(slot) {
			evicted, wasFull = w.entries[slot.key].value, true
			delete(w.entries, slot.key)
		}
	}
	return evicted, wasFull
}

// isLive reports whether the entry of a slot is still in the window.
func (w *window[V]) isLive(slot windowSlot) bool {
	entry, ok := w.entries[slot.key]
	return ok && entry.serial == slot.serial
}

// remove deletes a key. It compacts the queue once that is longer than twice the
// limit. It compacts the queue once that is longer than twice the
// limit.
func (w *window[V]) remove(key ident.Key) {
	delete(w.entries, key)
	if len(w.queue) > 2*w.limit {
		w.compact()
	}
}

// compact deletes the slots of removed entries.
func (w *window[V]) compact() {
	live := make([]windowSlot, 0, len(w.entries))
	for _, slot := range w.queue {
		if w.isLive(slot) {
			live = append(live, slot)
		}
	}
	w.queue = live
}

// each calls visit for the live entries, oldest first.
func (w *window[V]) each(visit func(ident.Key, V)) {
	for _, slot := range w.queue {
		if w.isLive(slot) {
			visit(slot.key, w.entries[slot.key].value)
		}
	}
}
