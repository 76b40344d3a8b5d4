package gate

import (
	"math/bits"
	"math/rand/v2"
)

// slotSeed spreads values over the slots, so that nobody can choose keys that
// meet in one place.
var slotSeed = rand.Uint64() | 1

// fingerprints is a set of 64-bit values in about 11 bytes each: a hash table
// with linear probing that grows by a quarter. The built-in map takes 37.
type fingerprints struct {
	slots []uint64 // zero is an empty slot
	used  int
}

const (
	fingerprintsMin = 64
	// The table is at most seven eighths full.
	loadNumerator   = 7
	loadDenominator = 8
)

// add adds a value. Zero stands for one.
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

// has reports whether a value was added.
func (f *fingerprints) has(value uint64) bool {
	return f.used > 0 && *f.slot(max(value, 1)) != 0
}

// slot returns the slot that holds the value, or the empty one for it. There
// always is an empty one.
func (f *fingerprints) slot(value uint64) *uint64 {
	i, _ := bits.Mul64(value*slotSeed, uint64(len(f.slots)))
	for f.slots[i] != 0 && f.slots[i] != value {
		i = (i + 1) % uint64(len(f.slots))
	}
	return &f.slots[i]
}

func (f *fingerprints) grow() {
	old := f.slots
	f.slots = make([]uint64, len(old)+len(old)/4+fingerprintsMin)
	for _, value := range old {
		if value != 0 {
			*f.slot(value) = value
		}
	}
}
