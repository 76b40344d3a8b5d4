package prepaid

import "sync"

// transfers counts the tokens transferred between this incarnation and others, by
// the other incarnation and account.
type transfers struct {
	mu     sync.Mutex // guards totals
	totals map[transfer]int64
}

type transfer struct {
	incarnation, account string
}

func newTransfers() *transfers {
	return &transfers{totals: map[transfer]int64{}}
}

// add adds to a total and returns it.
func (t *transfers) add(incarnation, account string, tokens int64) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := transfer{incarnation, account}
	t.totals[key] += tokens
	return t.totals[key]
}

// raiseTo raises a total to the given value if it is lower, and returns the
// increase.
func (t *transfers) raiseTo(incarnation, account string, total int64) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := transfer{incarnation, account}
	gained := max(total-t.totals[key], 0)
	t.totals[key] += gained
	return gained
}
