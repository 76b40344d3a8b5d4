package gate

import (
	"math/bits"
	"math/rand/v2"
)

// slotSeed randomizes the slot of a value, so that nobody can choose keys that
// collide in the table.
var slotSeed = rand.Uint64() | 1

// fingerprints is a set of 64-bit values that takes about 11 bytes per value:
// a hash table with linear probing that grows by a quarter. The built-in map
// takes 37 bytes per value.
type fingerprints struct {
	slots []uint64 // zero marks an empty slot
	used  int
}

const (
	fingerprintsMinSlots = 64
	// The table is at most seven eighths full.
	loadNumerator   = 7
	loadDenominator = 8
)

// add inserts a value. Zero, which marks empty slots, is stored as one.
func (f *fingerprints) add(value uint64) {
	if (f.used+1)*loadDenominator > len(f.slots)*loadNumerator {
		f.grow()
	}
	slot := f.slot(max(value, 1))
	if *slot == 0 {
		*slot = max(value, 1)
		f.used++
	}
}

// has reports whether the set contains a value.
func (f *fingerprints) has(value uint64) bool {
	return f.used > 0 && *f.slot(max(value, 1)) != 0
}

// slot returns the slot of a value, or the empty slot into which it belongs.
// The load limit guarantees that there is an empty slot.
func (f *fingerprints) slot(value uint64) *uint64 {
	i, _ := bits.Mul64(value*slotSeed, uint64(len(f.slots)))
	for f.slots[i] != 0 && f.slots[i] != value {
		i = (i + 1) % uint64(len(f.slots))
	}
	return &f.slots[i]
}

func (f *fingerprints) grow() {
	old := f.slots
	f.slots = make([]uint64, len(old)+len(old)/4+fingerprintsMinSlots)
	for _, value := range old {
		if value != 0 {
			*f.slot(value) = value
		}
	}
}
