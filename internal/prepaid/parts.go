package prepaid

import (
	"maps"
	"math"

	"github.com/cespare/xxhash/v2"
)

// writer identifies an incarnation of a router in budget entries.
type writer uint64

func writerOf(incarnation string) writer { return writer(xxhash.Sum64String(incarnation)) }

// part is what one incarnation has drawn of an account, less what it has returned. Only
// that incarnation changes it.
type part struct {
	Net int64  `msgpack:"t"`
	Seq uint64 `msgpack:"s"` // grows with each change, and is higher than those of all earlier changes of the entry
}

// maxParts is how many parts an entry has at most. The owners of an account have one each,
// and so have incarnations that have ended. Beyond it, the part that has not changed for
// the longest time is folded into the entry's base.
const maxParts = 32

// holds reports whether a part, or a later one of the same writer, is included in an entry.
func (e entry) holds(w writer, p part) bool {
	if q, found := e.Parts[w]; found {
		return q.Seq >= p.Seq
	}
	if e.Folds == 0 {
		return false
	}
	oldest := uint64(math.MaxUint64)
	for _, q := range e.Parts {
		oldest = min(oldest, q.Seq)
	}
	return p.Seq < oldest // parts are folded in the order of their last change
}

// covers reports whether an entry includes all parts of another one.
func (e entry) covers(other entry) bool {
	if e.Folds < other.Folds {
		return false
	}
	for w, p := range other.Parts {
		if !e.holds(w, p) {
			return false
		}
	}
	return true
}

// merge returns an entry that includes the newest known part of each writer. It does not
// depend on the order of the arguments.
func merge(a, b entry) entry {
	if a.Folds < b.Folds || (a.Folds == b.Folds && a.Count < b.Count) {
		a, b = b, a
	}
	merged := a
	merged.Parts = make(map[writer]part, len(a.Parts)+1)
	maps.Copy(merged.Parts, a.Parts)
	for w, p := range b.Parts {
		if !a.holds(w, p) {
			merged.Drawn += p.Net - a.Parts[w].Net
			merged.Parts[w] = p
		}
	}
	merged.Count = max(a.Count, b.Count)
	if merged.Rates == nil {
		merged.Rates = b.Rates // copies of other routers have none
	}
	if b.Version > merged.Version {
		merged.Paid, merged.Version = b.Paid, b.Version
	}
	return merged
}

// withPart returns the entry with the part of one writer replaced.
func (e entry) withPart(w writer, p part) entry {
	parts := make(map[writer]part, len(e.Parts)+1)
	maps.Copy(parts, e.Parts)
	e.Drawn += p.Net - parts[w].Net
	parts[w] = p
	for len(parts) > maxParts {
		delete(parts, oldestPart(parts, w))
		e.Folds++
	}
	e.Parts = parts
	return e
}

// oldestPart returns the writer other than self whose part has not changed for the
// longest time.
func oldestPart(parts map[writer]part, self writer) writer {
	oldest, oldestSeq := self, uint64(math.MaxUint64)
	for w, p := range parts {
		if w != self && p.Seq < oldestSeq {
			oldest, oldestSeq = w, p.Seq
		}
	}
	return oldest
}
