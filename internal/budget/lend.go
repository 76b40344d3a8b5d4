package budget

import (
	"math"
	"sync"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// lentTokens counts what was lent to one borrower from a team's own grant. The
// lock of the localBalance guards it.
type lentTokens struct {
	tokens int64 // total of all loans
	repaid int64 // total repaid
}

// borrowerSet holds the lending state for each borrower.
type borrowerSet struct {
	mu     sync.Mutex // guards the map; the states have their own locks
	states map[ident.Incarnation]*borrowerState
}

// borrowerState stores the last loan to a borrower, so that a repeated request
// gets the same reply and the tokens only once.
type borrowerState struct {
	mu        sync.Mutex // guards lastLoan and lastReply; held while a loan is made
	lastLoan  uint64
	lastReply wire.BorrowReply
}

func (b *borrowerSet) forBorrower(incarnation ident.Incarnation) *borrowerState {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.states == nil {
		b.states = map[ident.Incarnation]*borrowerState{}
	}
	state := b.states[incarnation]
	if state == nil {
		state = &borrowerState{}
		b.states[incarnation] = state
	}
	return state
}

// Borrow lends tokens of the own grant to another router. It is idempotent by
// the loan's number. A sealed borrower gets nothing.
func (g *Grants) Borrow(args wire.BorrowArgs) wire.BorrowReply {
	nothing := wire.BorrowReply{Holder: g.config.Self}
	if args.Recall {
		g.stopUsingLoans(args.Team, args.Borrower)
		return nothing
	}
	if g.fenced.Load() || g.config.Fleet.Sealed(args.Borrower) || args.Least <= 0 || args.Borrower == 0 {
		g.counts.Inc("lend_refused")
		return nothing
	}
	b := g.borrowerStates.forBorrower(args.Borrower)
	b.mu.Lock()
	defer b.mu.Unlock()
	if args.Loan == b.lastLoan {
		return b.lastReply
	}
	if args.Loan != b.lastLoan+1 {
		g.counts.Inc("lend_out_of_order")
		return nothing
	}
	b.lastLoan = args.Loan
	b.lastReply = g.lend(args)
	return b.lastReply
}

// stopUsingLoans stops reservations from a lender's loans; the controller
// repays them.
func (g *Grants) stopUsingLoans(team ident.TeamID, lender ident.Incarnation) {
	b := g.lookup(team)
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.loanFrom(lender); s != nil {
		s.recalled = true
		g.counts.Inc("loan_recalled")
	}
}

// lend makes a loan from the own grant. If there are too few tokens and the
// borrower asks to gather, the free tokens are returned to the ledger.
func (g *Grants) lend(args wire.BorrowArgs) wire.BorrowReply {
	reply := wire.BorrowReply{Holder: g.config.Self}
	b := g.balanceOf(args.Team)
	budget := g.syncGrant(b)
	reply.Exhausted = budget.Free < args.Least
	reply.Tokens, reply.InUse = g.lendFrom(b, args)
	if reply.Tokens == 0 && args.Gather {
		g.returnTokens(b, math.MaxInt64)
	}
	return reply
}

// lendFrom moves tokens from the own grant to a loan and returns how many were
// lent, and how many more are reserved by runs.
func (g *Grants) lendFrom(b *localBalance, args wire.BorrowArgs) (tokens, inUse int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.own.free < args.Least {
		g.counts.Inc("lend_short")
		return 0, b.own.reserved
	}
	tokens = max(args.Least, min(args.Asked, b.own.free/2))
	b.own.free -= tokens
	entry := b.lentTo[args.Borrower]
	if entry == nil {
		entry = &lentTokens{}
		b.lentTo[args.Borrower] = entry
	}
	entry.tokens += tokens
	g.counts.Inc("lend")
	return tokens, b.own.reserved
}

// Repay credits unused tokens of loans that a borrower repays. The total is
// cumulative, so that a repeated or late call changes nothing.
func (g *Grants) Repay(args wire.RepayArgs) {
	b := g.lookup(args.Team)
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	entry := b.lentTo[args.Borrower]
	if entry == nil {
		return // no loan, or it was reclaimed when the borrower was closed
	}
	total := min(args.Total, entry.tokens)
	if total <= entry.repaid {
		return
	}
	b.own.free += total - entry.repaid
	entry.repaid = total
	g.counts.Inc("repaid")
	b.notify()
}

// reclaim reclaims what closed borrowers have left of their loans. The Close
// must be read from the same fold as the bills: it follows the last settlement
// of every run that the borrower began, while the fleet stream may be ahead of
// this fold of the ledger. A lender appends the Close itself if no other
// process has.
func (g *Grants) reclaim(b *localBalance) {
	for _, borrower := range b.borrowers() {
		var (
			closed bool
			used   int64
		)
		g.config.Ledger.View(b.team, func(s *ledger.State) {
			closed = s.Closed(borrower)
			used = s.Grant(b.team, g.config.Self).MaxBilledBy(borrower)
		})
		if closed {
			b.reclaimLoan(borrower, used)
			g.counts.Inc("loan_reclaimed")
			continue
		}
		if g.config.Fleet.Closed(borrower) {
			g.closeBorrower(b, borrower)
		}
	}
}

// closeBorrower appends the Close of a borrower to the team's shard, unless an
// append is already in flight for the team.
func (g *Grants) closeBorrower(b *localBalance, borrower ident.Incarnation) {
	b.mu.Lock()
	busy := b.closing
	b.closing = true
	b.mu.Unlock()
	if busy {
		return
	}
	g.config.Launch(func() {
		if _, err := g.submit(b, ledger.KindClose, ledger.Close{Holder: borrower}); err != nil {
			g.counts.Inc("close_unknown")
		}
		b.mu.Lock()
		defer b.mu.Unlock()
		b.closing = false
	})
}

func (b *localBalance) borrowers() []ident.Incarnation {
	b.mu.Lock()
	defer b.mu.Unlock()
	borrowers := make([]ident.Incarnation, 0, len(b.lentTo))
	for borrower := range b.lentTo {
		borrowers = append(borrowers, borrower)
	}
	return borrowers
}

// reclaimLoan ends the loans of a borrower and frees what its runs did not use.
func (b *localBalance) reclaimLoan(borrower ident.Incarnation, used int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	entry := b.lentTo[borrower]
	if entry == nil {
		return
	}
	delete(b.lentTo, borrower)
	b.own.free += max(entry.tokens-entry.repaid-used, 0)
	b.notify()
}
