package ledger

import "sort"

// span is an inclusive range of numbers.
type span struct {
	From uint64 `msgpack:"f"`
	To   uint64 `msgpack:"t"`
}

// rangeSet is a set of numbers, stored as sorted spans that neither overlap nor
// adjoin. Its size grows with the number of gaps, not of members.
type rangeSet struct {
	spans []span
}

// contains reports whether n is a member.
func (r *rangeSet) contains(n uint64) bool {
	i := r.search(n)
	return i < len(r.spans) && r.spans[i].From <= n
}

// search returns the index of the first span whose end is at least n.
func (r *rangeSet) search(n uint64) int {
	return sort.Search(len(r.spans), func(i int) bool { return r.spans[i].To >= n })
}

// add inserts the numbers of the inclusive range and merges overlapping and
// adjoining spans.
func (r *rangeSet) add(from, to uint64) {
	if from > to {
		return
	}
	first := r.search(saturatingDecrement(from))
	last := first
	for last < len(r.spans) && saturatingDecrement(r.spans[last].From) <= to {
		from = min(from, r.spans[last].From)
		to = max(to, r.spans[last].To)
		last++
	}
	if first == last {
		r.spans = append(r.spans, span{})
		copy(r.spans[first+1:], r.spans[first:])
		r.spans[first] = span{From: from, To: to}
		return
	}
	r.spans[first] = span{From: from, To: to}
	r.spans = append(r.spans[:first+1], r.spans[last:]...)
}

// saturatingDecrement returns n-1, or zero for zero.
func saturatingDecrement(n uint64) uint64 {
	if n == 0 {
		return 0
	}
	return n - 1
}
