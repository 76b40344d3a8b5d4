package budget

import (
	"context"
	"sync"
	"time"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// Timeouts and sizes of loans.
const (
	// peerCallTimeout limits one call to a lender or borrower.
	peerCallTimeout = 300 * time.Millisecond
	// loanDemandSpan is the period of current demand that a loan should cover.
	loanDemandSpan = 5 * time.Second
	// lenderRetryDelay is the time before a lender that did not answer is
	// called again.
	lenderRetryDelay = 2 * time.Second
)

// lenderSet holds the borrowing state for each lender.
type lenderSet struct {
	mu     sync.Mutex // guards the map; the slots of the states guard their fields
	states map[ident.Incarnation]*lenderState
}

// lenderState serialises the loans from one lender. Loan numbers are
// consecutive, and a loan whose reply was lost is requested again before the
// next one.
type lenderState struct {
	slot       chan struct{} // semaphore of one; whoever has received from it may use the fields below
	nextLoan   uint64
	pending    *wire.BorrowArgs // request without a reply so far
	retryAfter time.Time        // time before which the lender is not called
}

func (s *lenderSet) forLender(lender ident.Incarnation) *lenderState {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.states == nil {
		s.states = map[ident.Incarnation]*lenderState{}
	}
	state := s.states[lender]
	if state == nil {
		state = &lenderState{slot: make(chan struct{}, 1), nextLoan: 1}
		state.slot <- struct{}{}
		s.states[lender] = state
	}
	return state
}

// borrowResult is the outcome of asking one lender.
type borrowResult uint8

const (
	borrowedNone     borrowResult = iota // the lender has too few tokens
	borrowedSome                         // the loan was added to the local balance
	borrowUnanswered                     // the call failed or was not made
)

// borrow asks one lender for a loan that makes a reservation of the given size
// fit. With gather, a lender that has too little returns it to the ledger.
func (g *Grants) borrow(ctx context.Context, b *localBalance, lender ident.Incarnation, tokens int64, gather bool) borrowResult {
	state := g.lenderStates.forLender(lender)
	select {
	case <-state.slot:
	case <-ctx.Done():
		return borrowUnanswered
	}
	defer func() { state.slot <- struct{}{} }()
	if g.config.Now().Before(state.retryAfter) {
		return borrowUnanswered
	}
	if state.pending != nil && !g.requestLoan(ctx, state, lender) {
		return borrowUnanswered
	}
	args := g.borrowArgs(b, lender, tokens)
	if args.Least <= 0 {
		return borrowedSome
	}
	args.Loan = state.nextLoan
	args.Gather = gather
	state.pending = &args
	before := b.borrowedFrom(lender)
	if !g.requestLoan(ctx, state, lender) {
		return borrowUnanswered
	}
	if b.borrowedFrom(lender) == before {
		return borrowedNone
	}
	return borrowedSome
}

// borrowArgs sizes a loan. Loans of one lender add up, so only the difference
// to the requested tokens is needed.
func (g *Grants) borrowArgs(b *localBalance, lender ident.Incarnation, tokens int64) wire.BorrowArgs {
	b.mu.Lock()
	defer b.mu.Unlock()
	least := tokens
	if s := b.loanFrom(lender); s != nil {
		least -= s.free
	}
	return wire.BorrowArgs{
		Borrower: g.config.Self,
		Team:     b.team,
		Asked:    max(least, int64(b.demand.rate()*loanDemandSpan.Seconds())),
		Least:    least,
	}
}

// requestLoan sends the pending loan request and applies the reply. It returns
// false if there was no reply.
func (g *Grants) requestLoan(ctx context.Context, state *lenderState, lender ident.Incarnation) bool {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	reply, err := g.config.Peers.Borrow(ctx, lender, *state.pending)
	if err != nil {
		g.counts.Inc("borrow_unknown")
		state.retryAfter = g.config.Now().Add(lenderRetryDelay)
		return false
	}
	team := state.pending.Team
	state.pending = nil
	state.nextLoan++
	if reply.Tokens <= 0 || reply.Holder != lender {
		g.counts.Inc("borrow_refused")
		g.balanceOf(team).addLenderInUse(reply.InUse)
		return true
	}
	g.counts.Inc("borrow")
	g.balanceOf(team).addLoan(lender, reply.Tokens, g.config.Fleet.Sealed(lender))
	return true
}

// addLenderInUse adds tokens that a lender could not lend because its runs in
// progress have reserved them.
func (b *localBalance) addLenderInUse(tokens int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lendersInUse += tokens
}

// addLoan credits a loan to the local balance.
func (b *localBalance) addLoan(lender ident.Incarnation, tokens int64, sealed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.loanFrom(lender)
	if s == nil {
		s = &source{holder: lender}
		b.loans = append(b.loans, s)
	}
	s.borrowed += tokens
	s.free += tokens
	s.revoked = s.revoked || sealed
	b.notify()
}

func (b *localBalance) borrowedFrom(lender ident.Incarnation) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.loanFrom(lender); s != nil {
		return s.borrowed
	}
	return 0
}

// peersResult is the outcome of asking the other routers.
type peersResult uint8

const (
	peersShort   peersResult = iota // the routers that did not answer hold too little, or a loan was obtained
	peersUnknown                    // the routers that did not answer may hold enough
)

// borrowFromPeers asks the other routers until the reservation fits. gather
// means that the ledger is reachable and has too few free tokens.
func (g *Grants) borrowFromPeers(ctx context.Context, b *localBalance, tokens int64, gather bool) peersResult {
	b.mu.Lock()
	b.lendersInUse = 0
	b.mu.Unlock()
	var unknown int64 // outstanding in the grants of routers that did not answer
	for _, l := range g.lenders(b) {
		result := borrowUnanswered
		if l.reachable {
			result = g.borrow(ctx, b, l.router, tokens, gather)
		}
		switch result {
		case borrowedSome:
			return peersShort
		case borrowUnanswered:
			unknown += l.outstanding
		}
	}
	if unknown >= tokens {
		return peersUnknown
	}
	return peersShort
}

// lenderCandidate is another router with outstanding tokens of a budget.
type lenderCandidate struct {
	router         ident.Incarnation
	outstanding    int64
	sameDataCentre bool // in this router's data centre
	reachable      bool // live and not sealed
}

// lenders returns the other holders of the budget: first those in this data
// centre, then by descending number of outstanding tokens.
func (g *Grants) lenders(b *localBalance) []lenderCandidate {
	var grants []ledger.Grant
	g.config.Ledger.View(b.team, func(s *ledger.State) { grants = s.Grants(b.team) })
	routers := g.peerSet().routers
	var candidates []lenderCandidate
	for _, grant := range grants {
		if grant.Holder == g.config.Self || grant.Outstanding() <= 0 {
			continue
		}
		l := lenderCandidate{router: grant.Holder, outstanding: grant.Outstanding()}
		for _, r := range routers {
			if r.Incarnation == l.router {
				l.reachable = !g.config.Fleet.Sealed(l.router)
				l.sameDataCentre = r.DataCentre == g.config.DataCentre
			}
		}
		candidates = append(candidates, l)
	}
	sortLenders(candidates)
	return candidates
}
