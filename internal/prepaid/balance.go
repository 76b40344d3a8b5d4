package prepaid

import (
	"math"
	"sync"
	"time"
)

// rateSpan is the time constant, in seconds, over which the use of an account is
// averaged. It gives a steady rate at a few requests per second.
const rateSpan = 4.0

// boundDecay is the factor by which the largest recent bound decays per second.
const boundDecay = 0.97

// meanWeight is the weight of one request in the moving mean of the bounds. The
// mean covers about fifty requests, so that it reflects the mix of kinds.
const meanWeight = 0.02

// localBalance is the part of one account's tokens that this router holds.
type localBalance struct {
	account string

	mu              sync.Mutex // guards all below
	free            int64      // available for reservations
	reserved        int64      // by requests in progress
	ownUse          usageRate  // by requests on this router
	lentUse         usageRate  // by loans to other routers
	updatedAt       time.Time
	recentMaxBound  float64       // decaying maximum of the bounds of requests
	meanBound       float64       // moving mean of the bounds of requests
	ledgerFree      int64         // tokens that any router may draw, as last read
	prepaid         int64         // total paid for, from the settings
	ledgerReadAt    time.Time     // when ledgerFree was read
	ledgerRead      chan struct{} // closed once the ledger was read after ledgerReadFrom; nil if nobody waits
	ledgerReadFrom  time.Time
	waitingTokens   int64         // sum of the bounds of waiting requests and of the missing tokens of loans
	waiters         int           // number of waiting requests and loans
	drawWaiters     int           // waiting requests for which a router that is no owner must draw
	lastReserveAt   time.Time     // when a request last reserved tokens
	scarce          bool          // the account is nearly used up, as an owner said
	gathered        bool          // one owner draws for all routers, as an owner said
	changed         chan struct{} // closed when tokens arrive or a shortage is recorded
	shortageAt      time.Time     // when the ledger last had fewer tokens than asked for
	shortageFree    int64         // tokens that were left in the ledger then
	borrowDone      chan struct{} // closed when the calls to other routers end; nil if none is in progress
	lastBorrow      borrowResult  // of the calls that ended last
	emptyBorrowAt   time.Time     // when calls to all routers last yielded no tokens
	emptyBorrowNeed int64         // tokens that were missing then
	isOwner         bool          // this router is an owner
}

func newLocalBalance(account string) *localBalance {
	return &localBalance{account: account, changed: make(chan struct{})}
}

// reserve reserves tokens for a request if there are enough. Only owners refuse
// a large request to save the last tokens for small ones: another router sees
// the ledger without what the owners hold, so it can't tell whether tokens are
// scarce.
func (b *localBalance) reserve(tokens int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recentMaxBound = max(b.recentMaxBound, float64(tokens))
	if b.free < tokens || (b.isOwner && isReservedForSmall(b.ledgerFree+b.free, b.prepaid, tokens, b.meanBound)) {
		return false
	}
	b.free -= tokens
	b.reserved += tokens
	b.lastReserveAt = time.Now()
	return true
}

// observeRequest updates the moving mean with the bound of a request.
func (b *localBalance) observeRequest(tokens int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.meanBound == 0 {
		b.meanBound = float64(tokens)
	}
	b.meanBound += meanWeight * (float64(tokens) - b.meanBound)
}

// reservedForSmall reports whether the remaining tokens are reserved for smaller
// requests than one of this bound.
func (b *localBalance) reservedForSmall(tokens int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return isReservedForSmall(b.ledgerFree+b.free, b.prepaid, tokens, b.meanBound)
}

// settle ends a reservation and returns its unused tokens to the balance.
func (b *localBalance) settle(tokens, used int64) {
	used = min(max(used, 0), tokens)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reserved -= tokens
	b.free += tokens - used
	b.ownUse.add(used)
	b.notifyWaiters()
}

// deposit adds tokens that were drawn, borrowed or received.
func (b *localBalance) deposit(tokens int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.free += tokens
	b.notifyWaiters()
}

// withdraw removes at most the given number of tokens and returns how many it
// removed.
func (b *localBalance) withdraw(tokens int64) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens = min(tokens, b.free)
	b.free -= tokens
	return tokens
}

// notifyWaiters wakes the requests that wait for tokens. The lock is held.
func (b *localBalance) notifyWaiters() {
	if b.waiters == 0 {
		return
	}
	close(b.changed)
	b.changed = make(chan struct{})
}

// recordShortage records that the ledger has fewer tokens left than are needed.
func (b *localBalance) recordShortage(free int64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shortageAt, b.shortageFree = now, free
	b.notifyWaiters()
}

// recordLedgerRead records when the ledger was last read.
func (b *localBalance) recordLedgerRead(readAt time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if readAt.After(b.ledgerReadAt) {
		b.ledgerReadAt = readAt
	}
	if b.ledgerRead != nil && !readAt.Before(b.ledgerReadFrom) {
		close(b.ledgerRead)
		b.ledgerRead = nil
	}
}

// nextLedgerRead returns a channel that is closed once the ledger was read at or
// after now.
func (b *localBalance) nextLedgerRead(now time.Time) <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ledgerRead == nil {
		b.ledgerRead = make(chan struct{})
	}
	b.ledgerReadFrom = now
	return b.ledgerRead
}

// ledgerAge returns the age of the last ledger read at a time.
func (b *localBalance) ledgerAge(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Sub(b.ledgerReadAt)
}

// usageRate is a moving average of how fast tokens are used.
type usageRate struct {
	rate        float64 // tokens per second
	weight      float64 // part of the averaging window that has been observed, up to 1
	sinceUpdate int64   // tokens used since the last update
	started     bool    // any tokens were used
}

func (r *usageRate) add(tokens int64) {
	r.sinceUpdate += tokens
	r.started = r.started || tokens > 0
}

// update adds the tokens that were used in the elapsed seconds to the rate.
// Until tokens have been used for rateSpan, the rate is the mean over the time
// since the first ones.
func (r *usageRate) update(elapsed float64) {
	if !r.started {
		return
	}
	decay := math.Exp(-elapsed / rateSpan)
	weight := decay*r.weight + 1 - decay
	r.rate = (decay*r.weight*r.rate + (1-decay)*float64(r.sinceUpdate)/elapsed) / weight
	r.weight, r.sinceUpdate = weight, 0
}

// update advances the averages. It returns the state of the account and how many
// tokens this router must draw for waiting requests.
func (b *localBalance) update(now time.Time, ledgerFree, prepaid int64, isOwner bool) (s accountState, need int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledgerFree, b.prepaid = ledgerFree, prepaid
	if elapsed := now.Sub(b.updatedAt).Seconds(); elapsed > 0 {
		if !b.updatedAt.IsZero() {
			b.ownUse.update(elapsed)
			b.lentUse.update(elapsed)
			b.recentMaxBound *= math.Pow(boundDecay, elapsed)
		}
		b.updatedAt = now
	}
	if b.waiters > 0 && (isOwner || b.drawWaiters > 0) {
		need = max(b.waitingTokens-b.free, 0)
	}
	gathered := b.gathered || b.ledgerBelow(gatherShare)
	return accountState{
		localBalance:   b.free,
		rate:           b.ownUse.rate + b.lentUse.rate,
		recentMaxBound: int64(b.recentMaxBound),
		idle:           now.Sub(b.lastReserveAt) > idleAfter,
		scarce:         b.scarce || gathered,
		gathered:       gathered,
	}, need
}
