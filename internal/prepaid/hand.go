package prepaid

import (
	"math"
	"sync"
	"time"
)

// rateSpan is over what time the use of an account is averaged, in seconds:
// long enough for a steady figure at some requests a second.
const rateSpan = 4.0

// boundDecay is how much of the largest recent bound is left after a second.
const boundDecay = 0.97

// meanWeight is how much one request counts in the mean of the bounds: some
// fifty requests make it up, whose kinds are mixed.
const meanWeight = 0.02

// hand is the tokens of one account in this router's hand.
type hand struct {
	account string

	mu        sync.Mutex // guards all below
	free      int64      // may be set aside
	reserved  int64      // for requests in progress
	own       flow       // what requests here use
	lent      flow       // what other routers borrow
	ticked    time.Time
	bound     float64
	mean      float64       // of the bounds of requests
	left      int64         // in the ledger, as last seen
	prepaid   int64         // as last seen
	seen      time.Time     // when the ledger was read for left
	looked    chan struct{} // closed when it was read after lookFrom; nil if nobody waits
	lookFrom  time.Time
	need      int64         // of the requests that wait
	waiters   int           // how many those are
	changed   chan struct{} // closed when tokens come
	shortAt   time.Time     // when the ledger last had less than was asked for
	shortOf   int64         // what it had left then
	borrowing chan struct{} // closed when the call to other routers ends; nil if there is none
	vainAt    time.Time     // when a call to all routers brought nothing
	vainFor   int64         // what was lacking then
	homes     []string      // routers that draw for the account
	home      bool          // this router is one of them
	homesOf   uint64        // version of the fleet that they were chosen from
}

func newHand(account string) *hand {
	return &hand{account: account, changed: make(chan struct{})}
}

// take sets tokens aside if there are enough. What the homes lend to another
// router is not kept there: what that sees of the ledger leaves out what the homes
// hold.
func (h *hand) take(tokens int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.bound = max(h.bound, float64(tokens))
	if h.free < tokens || (h.home && keeps(h.left+h.free, h.prepaid, tokens, h.mean)) {
		return false
	}
	h.free -= tokens
	h.reserved += tokens
	return true
}

// asked takes a request's bound into the mean.
func (h *hand) asked(tokens int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.mean == 0 {
		h.mean = float64(tokens)
	}
	h.mean += meanWeight * (float64(tokens) - h.mean)
}

// kept reports whether what is left is kept for smaller requests.
func (h *hand) kept(tokens int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return keeps(h.left+h.free, h.prepaid, tokens, h.mean)
}

// settle ends a request that had set tokens aside.
func (h *hand) settle(tokens, used int64) {
	used = min(max(used, 0), tokens)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reserved -= tokens
	h.free += tokens - used
	h.own.add(used)
	h.wake()
}

// give adds tokens that were drawn.
func (h *hand) give(tokens int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.free += tokens
	h.wake()
}

// giveUp takes tokens out that are to be given back.
func (h *hand) giveUp(tokens int64) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	tokens = min(tokens, h.free)
	h.free -= tokens
	return tokens
}

// wake tells those who wait. The lock is held.
func (h *hand) wake() {
	if h.waiters == 0 {
		return
	}
	close(h.changed)
	h.changed = make(chan struct{})
}

// lacks notes that the ledger has fewer tokens left than are needed.
func (h *hand) lacks(left int64, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.shortAt, h.shortOf = now, left
	h.wake()
}

// saw notes when the ledger was read last.
func (h *hand) saw(read time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if read.After(h.seen) {
		h.seen = read
	}
	if h.looked != nil && !read.Before(h.lookFrom) {
		close(h.looked)
		h.looked = nil
	}
}

// nextLook returns what is closed when the ledger was read after now.
func (h *hand) nextLook(now time.Time) <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.looked == nil {
		h.looked = make(chan struct{})
	}
	h.lookFrom = now
	return h.looked
}

// age returns how old the view of the ledger is at a time.
func (h *hand) age(at time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return at.Sub(h.seen)
}

// flow follows how fast tokens go.
type flow struct {
	rate   float64 // tokens a second
	weight float64 // of the time that the rate is known from, up to 1
	since  int64   // tokens since the last tick
	begun  bool    // some have gone
}

func (f *flow) add(tokens int64) {
	f.since += tokens
	f.begun = f.begun || tokens > 0
}

// tick takes the tokens of some seconds into the rate. As long as none have gone
// for rateSpan, the rate is the mean over that time.
func (f *flow) tick(elapsed float64) {
	if !f.begun {
		return
	}
	kept := math.Exp(-elapsed / rateSpan)
	weight := kept*f.weight + 1 - kept
	f.rate = (kept*f.weight*f.rate + (1-kept)*float64(f.since)/elapsed) / weight
	f.weight, f.since = weight, 0
}

// tick moves the averages on and returns the situation and the need of those
// who wait.
func (h *hand) tick(now time.Time, left, prepaid int64) (s situation, need int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.left, h.prepaid = left, prepaid
	if elapsed := now.Sub(h.ticked).Seconds(); elapsed > 0 {
		if !h.ticked.IsZero() {
			h.own.tick(elapsed)
			h.lent.tick(elapsed)
			h.bound *= math.Pow(boundDecay, elapsed)
		}
		h.ticked = now
	}
	if h.waiters > 0 {
		need = max(h.need-h.free, 0)
	}
	return situation{hand: h.free, rate: h.own.rate + h.lent.rate, bound: int64(h.bound)}, need
}
