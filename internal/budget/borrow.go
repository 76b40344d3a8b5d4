package budget

import (
	"context"
	"sync"
	"time"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// Times and sizes of borrowing.
const (
	// borrowWait bounds one call to a lender.
	borrowWait = 300 * time.Millisecond
	// borrowSpan is how much demand a loan should cover.
	borrowSpan = 5 * time.Second
	// lenderRest is how long a lender that did not answer is left alone.
	lenderRest = 2 * time.Second
)

// debts is this router's side of its loans.
type debts struct {
	mu      sync.Mutex // guards the map; the debts have their own locks
	lenders map[ident.Incarnation]*debt
}

// debt orders the loans from one lender: their numbers are dense, and a loan
// whose reply was lost is asked for again before the next one.
type debt struct {
	turn  chan struct{} // holds one token; its owner may use the fields below
	next  uint64
	open  *wire.BorrowArgs // asked for, reply not seen
	rests time.Time        // not to be called before
}

func (d *debts) with(lender ident.Incarnation) *debt {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lenders == nil {
		d.lenders = map[ident.Incarnation]*debt{}
	}
	entry := d.lenders[lender]
	if entry == nil {
		entry = &debt{turn: make(chan struct{}, 1), next: 1}
		entry.turn <- struct{}{}
		d.lenders[lender] = entry
	}
	return entry
}

// answer is how a lender replied.
type answer uint8

const (
	lent0    answer = iota // it has nothing to lend
	lentSome               // the loan is in hand
	noAnswer               // the call failed or was not made
)

// borrow asks one lender.
func (g *Grants) borrow(ctx context.Context, h *hand, lender ident.Incarnation, tokens int64, gather bool) answer {
	d := g.debts.with(lender)
	select {
	case <-d.turn:
	case <-ctx.Done():
		return noAnswer
	}
	defer func() { d.turn <- struct{}{} }()
	if g.config.Now().Before(d.rests) {
		return noAnswer
	}
	if d.open != nil && !g.ask(ctx, d, lender) {
		return noAnswer
	}
	args := g.borrowArgs(h, lender, tokens)
	if args.Least <= 0 {
		return lentSome
	}
	args.Loan = d.next
	args.Gather = gather
	d.open = &args
	before := h.borrowedFrom(lender)
	if !g.ask(ctx, d, lender) {
		return noAnswer
	}
	if h.borrowedFrom(lender) == before {
		return lent0
	}
	return lentSome
}

// borrowArgs sizes a loan. Loans of one lender add up, so only what is missing
// to the bound is needed.
func (g *Grants) borrowArgs(h *hand, lender ident.Incarnation, tokens int64) wire.BorrowArgs {
	h.mu.Lock()
	defer h.mu.Unlock()
	least := tokens
	if s := h.loanFrom(lender); s != nil {
		least -= s.free
	}
	return wire.BorrowArgs{
		Borrower: g.config.Self,
		Team:     h.team,
		Asked:    max(least, int64(h.demand.rate()*borrowSpan.Seconds())),
		Least:    least,
	}
}

// ask sends the open loan request and takes the reply over. It reports whether
// there was one.
func (g *Grants) ask(ctx context.Context, d *debt, lender ident.Incarnation) bool {
	ctx, cancel := context.WithTimeout(ctx, borrowWait)
	defer cancel()
	reply, err := g.config.Peers.Borrow(ctx, lender, *d.open)
	if err != nil {
		g.counts.Inc("borrow_unknown")
		d.rests = g.config.Now().Add(lenderRest)
		return false
	}
	team := d.open.Team
	d.open = nil
	d.next++
	if reply.Tokens <= 0 || reply.Holder != lender {
		g.counts.Inc("borrow_refused")
		g.hand(team).noteInUse(reply.InUse)
		return true
	}
	g.counts.Inc("borrow")
	g.hand(team).addLoan(lender, reply.Tokens, g.config.Fleet.Sealed(lender))
	return true
}

// noteInUse adds what a lender could not lend since runs use it.
func (h *hand) noteInUse(tokens int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.peersUse += tokens
}

// addLoan puts a loan into the hand.
func (h *hand) addLoan(lender ident.Incarnation, tokens int64, sealed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.loanFrom(lender)
	if s == nil {
		s = &source{holder: lender}
		h.loans = append(h.loans, s)
	}
	s.borrowed += tokens
	s.free += tokens
	s.revoked = s.revoked || sealed
	h.notify()
}

func (h *hand) borrowedFrom(lender ident.Incarnation) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.loanFrom(lender); s != nil {
		return s.borrowed
	}
	return 0
}

// peersResult is what asking the other routers has shown.
type peersResult uint8

const (
	peersHaveNone peersResult = iota // those that did not answer hold too little
	peersUnknown                     // those that did not answer may hold enough
)

// borrowAround asks the other routers until the bound fits.
// gather says that the ledger is short and can be reached.
func (g *Grants) borrowAround(ctx context.Context, h *hand, tokens int64, gather bool) peersResult {
	h.mu.Lock()
	h.peersUse = 0
	h.mu.Unlock()
	var unknown int64 // in the grants of those that did not answer
	for _, l := range g.lenders(h) {
		got := noAnswer
		if l.reachable {
			got = g.borrow(ctx, h, l.router, tokens, gather)
		}
		switch got {
		case lentSome:
			return peersHaveNone
		case noAnswer:
			unknown += l.holds
		}
	}
	if unknown >= tokens {
		return peersUnknown
	}
	return peersHaveNone
}

// lender is a router that holds tokens of a budget.
type lender struct {
	router    ident.Incarnation
	holds     int64
	near      bool // in this data centre
	reachable bool // live and not sealed
}

// lenders lists the other holders of the budget, those of this data centre
// first, then by what they hold.
func (g *Grants) lenders(h *hand) []lender {
	var grants []ledger.Grant
	g.config.Ledger.View(h.team, func(s *ledger.State) { grants = s.Grants(h.team) })
	routers := g.roster().routers
	var found []lender
	for _, grant := range grants {
		if grant.Holder == g.config.Self || grant.Outstanding() <= 0 {
			continue
		}
		l := lender{router: grant.Holder, holds: grant.Outstanding()}
		for _, r := range routers {
			if r.Incarnation == l.router {
				l.reachable = !g.config.Fleet.Sealed(l.router)
				l.near = r.DataCentre == g.config.DataCentre
			}
		}
		found = append(found, l)
	}
	sortLenders(found)
	return found
}
