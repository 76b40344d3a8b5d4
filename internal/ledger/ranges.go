package ledger

import "sort"

// span is an inclusive range of numbers.
type span struct {
	From uint64 `msgpack:"f"`
	To   uint64 `msgpack:"t"`
}

// rangeSet is a set of numbers, kept as sorted spans that neither overlap nor
// touch. Its size is the number of holes, not of members.
type rangeSet struct {
	spans []span
}

// has reports whether n is a member.
func (r *rangeSet) has(n uint64) bool {
	i := r.search(n)
	return i < len(r.spans) && r.spans[i].From <= n
}

// search returns the index of the first span that ends at n or later.
func (r *rangeSet) search(n uint64) int {
	return sort.Search(len(r.spans), func(i int) bool { return r.spans[i].To >= n })
}

// add inserts all numbers from from to to.
func (r *rangeSet) add(from, to uint64) {
	if from > to {
		return
	}
	first := r.search(decrement(from))
	last := first
	for last < len(r.spans) && decrement(r.spans[last].From) <= to {
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

// decrement returns n-1, but zero for zero.
func decrement(n uint64) uint64 {
	if n == 0 {
		return 0
	}
	return n - 1
}
