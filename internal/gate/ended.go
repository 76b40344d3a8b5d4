package gate

import (
	"encoding/binary"

	"github.com/camphorlever/camphorlever/internal/ident"
)

// recentEnded is how many keys of a shard are remembered whole.
const recentEnded = 1024

// tombstone remembers a key that has run.
type tombstone struct {
	number uint64 // of the run, zero if no longer known
	body   uint64 // shortened body hash
	old    bool   // only the key is known
}

// endedKeys remembers the keys of a shard that have run. It forgets none. The
// most recent ones are kept with their runs; of older ones only 64 bits of the
// key are left, which are as good as random, since keys are hashes. A key that
// shares them with an older one would be taken for it: with ten million keys
// remembered that is one new key in 2e12, and it is refused as gone, not run.
type endedKeys struct {
	recent map[ident.Key]tombstone
	order  []ident.Key // of recent, a ring once it is full
	oldest int         // index in order
	old    fingerprints
}

func (e *endedKeys) init() {
	e.recent = make(map[ident.Key]tombstone)
}

// add remembers a key. Adding it again has no effect.
func (e *endedKeys) add(key ident.Key, t tombstone) {
	if _, known := e.find(key); known {
		return
	}
	e.recent[key] = t
	if len(e.order) < recentEnded {
		e.order = append(e.order, key)
		return
	}
	aged := e.order[e.oldest]
	delete(e.recent, aged)
	e.old.add(fingerprint(aged))
	e.order[e.oldest] = key
	e.oldest = (e.oldest + 1) % recentEnded
}

// find returns what is remembered of a key.
func (e *endedKeys) find(key ident.Key) (tombstone, bool) {
	if t, ok := e.recent[key]; ok {
		return t, true
	}
	return tombstone{old: true}, e.old.has(fingerprint(key))
}

// fingerprint leaves out the byte that chooses the shard.
func fingerprint(key ident.Key) uint64 {
	return binary.LittleEndian.Uint64(key[1:])
}
