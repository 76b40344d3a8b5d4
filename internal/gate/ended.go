package gate

import (
	"encoding/binary"

	"github.com/camphorlever/camphorlever/internal/ident"
)

// recentEnded is the number of keys per shard that are remembered together
// with their runs.
const recentEnded = 1024

// tombstone is what remains of a run whose answer was dropped.
type tombstone struct {
	runNumber uint64 // zero if no longer known
	bodyHash  uint64 // first 64 bits of the hash of the request body
	keyOnly   bool   // neither the run number nor the body hash is known any more
}

// endedKeys is the set of the keys of a shard that have run. No key is ever
// removed. The most recent keys are stored with their tombstones, older ones
// as fingerprints of 64 bits only. Keys are hashes, so the fingerprints are
// practically random. A new key whose fingerprint equals that of an old one is
// wrongly refused with BeginNotRetained and does not run: with ten million keys
// remembered this hits one new key in 2e12.
type endedKeys struct {
	recent map[ident.Key]tombstone
	order  []ident.Key // keys of recent in the order of their insertion, a ring buffer once it is full
	oldest int         // index of the oldest key in order
	older  fingerprints
}

func (e *endedKeys) init() {
	e.recent = make(map[ident.Key]tombstone)
}

// add inserts a key. It has no effect if the key is known.
func (e *endedKeys) add(key ident.Key, t tombstone) {
	if _, known := e.find(key); known {
		return
	}
	e.recent[key] = t
	if len(e.order) < recentEnded {
		e.order = append(e.order, key)
		return
	}
	demoted := e.order[e.oldest]
	delete(e.recent, demoted)
	e.older.add(fingerprint(demoted))
	e.order[e.oldest] = key
	e.oldest = (e.oldest + 1) % recentEnded
}

// find returns the tombstone of a key and whether the key has run.
func (e *endedKeys) find(key ident.Key) (tombstone, bool) {
	if t, ok := e.recent[key]; ok {
		return t, true
	}
	return tombstone{keyOnly: true}, e.older.has(fingerprint(key))
}

// fingerprint returns 64 bits of the key. It leaves out the first byte, since
// that selects the shard.
func fingerprint(key ident.Key) uint64 {
	return binary.LittleEndian.Uint64(key[1:])
}
