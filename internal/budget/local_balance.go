package budget

import (
	"sync"
	"time"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
)

// source holds tokens that pay for runs under one holder's grant: the router's
// own grant, or the loans from one lender. The lock of the localBalance guards
// it.
type source struct {
	holder   ident.Incarnation
	free     int64 // available for reservations
	reserved int64 // for runs in progress or of unknown outcome
	spent    int64 // by completed runs
	revoked  bool  // the holder is sealed: no further reservations

	borrowed        int64     // total of all loans; zero for the own grant
	repaid          int64     // total repayments, sent or to be sent
	repaying        bool      // a Repay call is in flight
	recalled        bool      // the lender has asked for repayment
	repaidConfirmed int64     // part of repaid that the lender has confirmed
	usedSinceTick   bool      // a reservation was made since the last tick
	lastInUse       time.Time // time of the last tick that found it in use
}

// usable reports whether the source may pay for new runs.
func (s *source) usable() bool {
	return !s.revoked && !s.recalled
}

// localBalance holds the tokens of one team that this router may spend.
type localBalance struct {
	team ident.TeamID

	mu                sync.Mutex // guards all fields below
	own               *source
	loans             []*source // one per lender
	granted           int64     // part of the grant's total that was already added to own.free
	lentTo            map[ident.Incarnation]*lentTokens
	pendingDraw       *pendingDraw // draw in flight, or nil
	returning         bool         // a return to the ledger is in flight
	closing           bool         // a Close of a borrower is in flight
	unresolved        []unresolvedRun
	neverRan          []gateKey           // reported since resolveRuns last checked unresolved
	owners            []ident.Incarnation // owner routers of this team in this data centre
	ownersFingerprint uint64              // fingerprint of the peerSet that owners was computed from
	skippedTicks      int                 // ticks skipped in a row because the team was dormant
	lendersInUse      int64               // reserved at the lenders, as reported in the last round of borrowing
	onTarget          bool                // the last tick found no excess and nothing to draw
	shortfall         shortfall
	lastAdjusted      time.Time // when a non-urgent adjustment last began; zero if part of its return is still due
	demand            demandRate
	demandOffset      ident.Offset // offset of the fold when demand was last updated
	fleetDemand       ledgerDemand // billed to all routers
	dataCentreDemand  ledgerDemand // billed to routers of this data centre
	lowWatermark      int64        // level of own.free below which tokens are drawn
	drawRequested     bool         // the controller was asked for a draw that has not ended
	waiters           int
	freed             chan struct{} // closed when tokens become free while there are waiters
}

// shortfall records the last verdict by which the ledger showed a budget to be
// short.
type shortfall struct {
	observed time.Time
	need     int64
}

func newLocalBalance(team ident.TeamID, self ident.Incarnation) *localBalance {
	return &localBalance{
		team:   team,
		own:    &source{holder: self},
		lentTo: map[ident.Incarnation]*lentTokens{},
		freed:  make(chan struct{}),
	}
}

// Reservation is a number of tokens reserved for one run. It must be ended by
// exactly one Settle, unless TrackUnresolved took it over.
type Reservation struct {
	balance *localBalance
	source  *source
	tokens  int64
	since   ident.Offset // ledger offset read no later than the reservation; tells whether a bill may already be forgotten
}

// Holder returns the holder of the grant that pays for the run.
func (r Reservation) Holder() ident.Incarnation {
	return r.source.holder
}

// Tokens returns the number of reserved tokens, which is the bound of the run.
func (r Reservation) Tokens() int64 {
	return r.tokens
}

// IsZero reports whether nothing is reserved.
func (r Reservation) IsZero() bool {
	return r.balance == nil
}

// Outcome is the result of Reserve.
type Outcome uint8

// Outcomes of Reserve.
const (
	Reserved     Outcome = iota
	Insufficient         // no single grant or loan covers the bound
	Fenced               // the router is draining or sealed and admits nothing
)

// reserve reserves tokens from the smallest source that suffices, which keeps
// larger sources whole for larger bounds. low is true if the own grant has
// fallen below its low watermark; it is reported once per draw.
func (b *localBalance) reserve(tokens int64) (r Reservation, low, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	best := b.own
	if best.free < tokens {
		best = nil
	}
	for _, s := range b.loans {
		if s.free >= tokens && s.usable() && (best == nil || s.free < best.free) {
			best = s
		}
	}
	if best == nil {
		return Reservation{}, false, false
	}
	best.free -= tokens
	best.reserved += tokens
	best.usedSinceTick = true
	low = !b.drawRequested && b.own.free < b.lowWatermark
	b.drawRequested = b.drawRequested || low
	return Reservation{balance: b, source: best, tokens: tokens, since: b.demandOffset}, low, true
}

// settle ends a reservation and records the tokens that the run used.
func (b *localBalance) settle(r Reservation, actual int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := r.source
	s.reserved -= r.tokens
	s.spent += actual
	s.free += r.tokens - actual
	b.demand.recordRun(actual, r.tokens)
	b.notify()
}

// notify wakes the requests that wait for tokens. The caller holds the lock.
func (b *localBalance) notify() {
	if b.waiters == 0 {
		return
	}
	close(b.freed)
	b.freed = make(chan struct{})
}

// applyGrant adds what the fold has granted since the last call. Totals only
// grow, so an older reading changes nothing, and a grant whose verdict was lost
// is still credited.
func (b *localBalance) applyGrant(grant ledger.Grant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if grant.Granted <= b.granted {
		return
	}
	b.own.free += grant.Granted - b.granted
	b.granted = grant.Granted
	b.notify()
}

// loanFrom returns the source of the loans from a lender, or nil if there is
// none. The caller holds the lock.
func (b *localBalance) loanFrom(lender ident.Incarnation) *source {
	for _, s := range b.loans {
		if s.holder == lender {
			return s
		}
	}
	return nil
}
