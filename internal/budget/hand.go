package budget

import (
	"sync"
	"time"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
)

// source is tokens that pay for runs under one holder's grant: the router's
// own grant, or the loans from one lender. The hand's lock guards it.
type source struct {
	holder   ident.Incarnation
	free     int64 // may be reserved
	reserved int64 // for runs in progress or of unknown outcome
	spent    int64 // by runs that are over
	revoked  bool  // the holder is sealed: nothing may be reserved any more

	borrowed int64     // by loans, in all; zero for the own grant
	repaid   int64     // of loans, in all, sent or to be sent
	repaying bool      // a call is in flight
	recalled bool      // the lender wants it back
	repaidOK int64     // of it, confirmed by the lender
	used     bool      // reserved from since the last tick
	idle     time.Time // of the last tick that saw it used
}

// usable reports whether new runs may be paid from the source.
func (s *source) usable() bool {
	return !s.revoked && !s.recalled
}

// hand is the tokens of one team in this router's hands.
type hand struct {
	team ident.TeamID

	mu          sync.Mutex // guards all below
	own         *source
	loans       []*source // one per lender
	granted     int64     // total of draws already added to own, as read from the fold
	lent        map[ident.Incarnation]*lent
	draw        *drawing // in flight
	giving      bool     // a return is in flight
	closing     bool     // a Close of a borrower is in flight
	held        []heldRun
	neverRan    []heldKey           // told since the last look at held
	homes       []ident.Incarnation // of this team in this data centre
	homePrint   uint64              // of the roster that it was chosen from
	skipped     int                 // ticks for which there was nothing to do
	peersUse    int64               // in use at the lenders that were asked last
	balancedOut bool                // the last tick found nothing to adjust
	proof       proof
	balanced    time.Time // when the own grant was last adjusted
	demand      demand
	seen        ident.Offset // of the fold, when the demand was last followed
	fleet       ledgerDemand // of all routers
	site        ledgerDemand // of those of this data centre
	low         int64        // below it, more is to be drawn
	wanting     bool         // the controller was told so
	waiters     int
	changed     chan struct{} // closed when tokens come free while there are waiters
}

// proof is the last verdict by which the ledger showed a budget to be short.
type proof struct {
	at   time.Time
	need int64
}

func newHand(team ident.TeamID, self ident.Incarnation) *hand {
	return &hand{
		team:    team,
		own:     &source{holder: self},
		lent:    map[ident.Incarnation]*lent{},
		changed: make(chan struct{}),
	}
}

// Reservation is tokens set aside for one run. It must be ended by exactly one
// Settle.
type Reservation struct {
	hand   *hand
	source *source
	tokens int64
	since  ident.Offset // a position of the fold before it was made
}

// Holder returns the holder of the grant that pays for the run.
func (r Reservation) Holder() ident.Incarnation {
	return r.source.holder
}

// Tokens returns the bound of the run.
func (r Reservation) Tokens() int64 {
	return r.tokens
}

// IsZero reports whether nothing is reserved.
func (r Reservation) IsZero() bool {
	return r.hand == nil
}

// Outcome is the result of Reserve.
type Outcome uint8

// Outcomes of Reserve.
const (
	Reserved     Outcome = iota
	Insufficient         // no grant or loan in hand covers the bound
	Fenced               // this life is sealed and admits nothing
)

// reserve takes tokens from the source with the least that suffices, which
// keeps the larger ones whole for larger bounds.
// low is true, once for each draw, when the own grant has fallen below its low
// water.
func (h *hand) reserve(tokens int64) (r Reservation, low, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	best := h.own
	if best.free < tokens {
		best = nil
	}
	for _, s := range h.loans {
		if s.free >= tokens && s.usable() && (best == nil || s.free < best.free) {
			best = s
		}
	}
	if best == nil {
		return Reservation{}, false, false
	}
	best.free -= tokens
	best.reserved += tokens
	best.used = true
	low = !h.wanting && h.own.free < h.low
	h.wanting = h.wanting || low
	return Reservation{hand: h, source: best, tokens: tokens, since: h.seen}, low, true
}

// settle ends a reservation.
func (h *hand) settle(r Reservation, actual int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := r.source
	s.reserved -= r.tokens
	s.spent += actual
	s.free += r.tokens - actual
	h.demand.use(actual, r.tokens)
	h.notify()
}

// notify wakes those who wait for tokens. The lock is held.
func (h *hand) notify() {
	if h.waiters == 0 {
		return
	}
	close(h.changed)
	h.changed = make(chan struct{})
}

// sync adds what the fold has granted since the last call. Totals only grow,
// so an older reading changes nothing, and a verdict that was lost is made up
// for.
func (h *hand) sync(grant ledger.Grant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if grant.Granted <= h.granted {
		return
	}
	h.own.free += grant.Granted - h.granted
	h.granted = grant.Granted
	h.notify()
}

// loanFrom returns the source of the loans from a lender, nil if there is none.
// The lock is held.
func (h *hand) loanFrom(lender ident.Incarnation) *source {
	for _, s := range h.loans {
		if s.holder == lender {
			return s
		}
	}
	return nil
}
