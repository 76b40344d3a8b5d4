package ledger

import "github.com/camphorlever/camphorlever/internal/ident"

// window is a map of bounded size that forgets its oldest entries first. The
// set of live entries depends only on the sequence of calls, also across a
// snapshot.
type window[V any] struct {
	limit   int
	serial  uint64
	entries map[ident.Key]windowEntry[V]
	queue   []windowPlace // oldest first; holds places of removed entries too
}

type windowEntry[V any] struct {
	serial uint64
	value  V
}

type windowPlace struct {
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

// put inserts a key that is not in the window. If the window is full, it
// forgets the oldest entry and returns it.
func (w *window[V]) put(key ident.Key, value V) (forgotten V, full bool) {
	if w.entries == nil {
		w.entries = map[ident.Key]windowEntry[V]{}
	}
	w.serial++
	w.entries[key] = windowEntry[V]{serial: w.serial, value: value}
	w.queue = append(w.queue, windowPlace{key: key, serial: w.serial})
	for len(w.entries) > w.limit {
		place := w.queue[0]
		w.queue = w.queue[1:]
		if w.holds(place) {
			forgotten, full = w.entries[place.key].value, true
			delete(w.entries, place.key)
		}
	}
	return forgotten, full
}

func (w *window[V]) holds(place windowPlace) bool {
	entry, ok := w.entries[place.key]
	return ok && entry.serial == place.serial
}

// remove deletes a key.
func (w *window[V]) remove(key ident.Key) {
	delete(w.entries, key)
	if len(w.queue) > 2*w.limit {
		w.compact()
	}
}

// compact drops the places of removed entries.
func (w *window[V]) compact() {
	live := make([]windowPlace, 0, len(w.entries))
	for _, place := range w.queue {
		if w.holds(place) {
			live = append(live, place)
		}
	}
	w.queue = live
}

// each calls visit for the live entries, oldest first.
func (w *window[V]) each(visit func(ident.Key, V)) {
	for _, place := range w.queue {
		if w.holds(place) {
			visit(place.key, w.entries[place.key].value)
		}
	}
}
