package stream

import "github.com/camphorlever/camphorlever/internal/ident"

// Limits of the entries that a follower keeps to write them again after a restore.
// They must cover the age of the copy; at 11 appends a second these are six minutes.
const (
	maxTailEntries = 4096
	maxTailBytes   = 4 << 20
)

// tail holds the newest entries of a stream, without a gap.
type tail struct {
	first   ident.Offset
	entries [][]byte
	bytes   int
}

// next returns the offset after the last entry.
func (t *tail) next() ident.Offset {
	return t.first + ident.Offset(len(t.entries))
}

// add appends an entry. If it does not follow the last one, it becomes the only one.
func (t *tail) add(offset ident.Offset, data []byte) {
	if offset != t.next() {
		t.clear(offset)
	}
	t.entries = append(t.entries, data)
	t.bytes += len(data)
	for len(t.entries) > 1 && (len(t.entries) > maxTailEntries || t.bytes > maxTailBytes) {
		t.bytes -= len(t.entries[0])
		t.entries[0] = nil // append copies the rest when it grows the slice
		t.entries = t.entries[1:]
		t.first++
	}
}

// clear drops all entries; the next one has the given offset.
func (t *tail) clear(next ident.Offset) {
	*t = tail{first: next}
}

// from returns the entries at and after an offset, which must not be before first.
func (t *tail) from(offset ident.Offset) [][]byte {
	if offset >= t.next() {
		return nil
	}
	return t.entries[offset-t.first:]
}
