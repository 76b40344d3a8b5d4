package prepaid

import (
	"strconv"
	"time"
)

// maxCopyAge is the age of the oldest copy from which the log is restored, for the estimate
// of lost draws that no router remembers.
const maxCopyAge = 12 * time.Second

// unremembered says which routers may have made draws that nobody remembers.
type unremembered struct {
	isRemembered func(node string) bool
	owners       []string      // of the shard
	span         time.Duration // for how long they may have drawn
}

// rate estimates how many tokens of an account per second the routers used that are not
// remembered, by the rates that the owners published. An owner without one counts as an
// average one.
func (u *unremembered) rate(published map[string]rate) float64 {
	sum := 0.0
	for _, r := range published {
		sum += r.Tokens
	}
	mean := sum / float64(max(len(published), 1))
	total := 0.0
	for node, r := range published {
		if !u.isRemembered(node) {
			total += max(r.Tokens, mean)
		}
	}
	for _, node := range u.owners {
		if _, found := published[node]; !found && !u.isRemembered(node) {
			total += mean
		}
	}
	return total
}

// holdBack adds, to each account, the tokens that routers whose draws are not remembered
// may have used since the copy from which the log was restored was made, as a part that
// no incarnation owns. It returns how many, by account. The lock is held.
func (l *Ledger) holdBack(planned map[string]entry, lost *unremembered) map[string]int64 {
	held := map[string]int64{}
	w := writerOf("lost/" + strconv.FormatInt(int64(l.end.Era), 10))
	for account, current := range l.entries {
		if _, done := current.Parts[w]; done {
			continue
		}
		e, found := planned[account]
		if !found {
			e = current
		}
		tokens := min(int64(lost.rate(e.Rates)*lost.span.Seconds()), e.Paid-e.Drawn)
		if tokens <= 0 {
			continue
		}
		e.Count++
		planned[account] = e.withPart(w, part{Net: tokens, Seq: e.Count})
		held[account] = tokens
	}
	return held
}
