package budget

import (
	"math"
	"sync"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// lent is what one borrower has of a team's own grant. The hand's lock guards
// it.
type lent struct {
	tokens int64 // by loans, in all
	repaid int64 // in all
}

// loanBook is the lender's memory of its borrowers.
type loanBook struct {
	mu        sync.Mutex // guards the map; the borrowers have their own locks
	borrowers map[ident.Incarnation]*borrower
}

// borrower remembers the last loan of a borrower, so that a repeated request
// gets the same reply and the tokens only once.
type borrower struct {
	mu    sync.Mutex // guards last and reply; held over one loan
	last  uint64
	reply wire.BorrowReply
}

func (b *loanBook) with(incarnation ident.Incarnation) *borrower {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.borrowers == nil {
		b.borrowers = map[ident.Incarnation]*borrower{}
	}
	entry := b.borrowers[incarnation]
	if entry == nil {
		entry = &borrower{}
		b.borrowers[incarnation] = entry
	}
	return entry
}

// Borrow lends tokens of the own grant to another router. It is idempotent by
// the loan's number. A sealed borrower gets nothing.
func (g *Grants) Borrow(args wire.BorrowArgs) wire.BorrowReply {
	nothing := wire.BorrowReply{Holder: g.config.Self}
	if args.Recall {
		g.recalled(args.Team, args.Borrower)
		return nothing
	}
	if g.fenced.Load() || g.config.Fleet.Sealed(args.Borrower) || args.Least <= 0 || args.Borrower == 0 {
		g.counts.Inc("lend_refused")
		return nothing
	}
	b := g.loans.with(args.Borrower)
	b.mu.Lock()
	defer b.mu.Unlock()
	if args.Loan == b.last {
		return b.reply
	}
	if args.Loan != b.last+1 {
		g.counts.Inc("lend_out_of_order")
		return nothing
	}
	b.last = args.Loan
	b.reply = g.lend(args)
	return b.reply
}

// recalled stops the use of a lender's loans; the controller repays them.
func (g *Grants) recalled(team ident.TeamID, lender ident.Incarnation) {
	h := g.lookup(team)
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.loanFrom(lender); s != nil {
		s.recalled = true
		g.counts.Inc("loan_recalled")
	}
}

// lend moves tokens from the own grant to a loan.
func (g *Grants) lend(args wire.BorrowArgs) wire.BorrowReply {
	reply := wire.BorrowReply{Holder: g.config.Self}
	h := g.hand(args.Team)
	budget := g.sync(h)
	reply.Exhausted = budget.Free < args.Least
	reply.Tokens, reply.InUse = g.lendFrom(h, args)
	if reply.Tokens == 0 && args.Gather {
		g.giveBack(h, math.MaxInt64)
	}
	return reply
}

// lendFrom moves tokens from the own grant to a loan and returns how many, and
// how many more are in use.
func (g *Grants) lendFrom(h *hand, args wire.BorrowArgs) (tokens, inUse int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.own.free < args.Least {
		g.counts.Inc("lend_short")
		return 0, h.own.reserved
	}
	tokens = max(args.Least, min(args.Asked, h.own.free/2))
	h.own.free -= tokens
	entry := h.lent[args.Borrower]
	if entry == nil {
		entry = &lent{}
		h.lent[args.Borrower] = entry
	}
	entry.tokens += tokens
	g.counts.Inc("lend")
	return tokens, h.own.reserved
}

// Repay takes unused tokens of loans back. The total is cumulative, so that a
// repeated or late call changes nothing.
func (g *Grants) Repay(args wire.RepayArgs) {
	h := g.lookup(args.Team)
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	entry := h.lent[args.Borrower]
	if entry == nil {
		return // no loan, or it was taken back when the borrower was closed
	}
	total := min(args.Total, entry.tokens)
	if total <= entry.repaid {
		return
	}
	h.own.free += total - entry.repaid
	entry.repaid = total
	g.counts.Inc("repaid")
	h.notify()
}

// reclaim takes back what closed borrowers have left. The Close must be read
// from the same fold as the bills: it stands behind the last settlement of
// every run that the borrower began, while the fleet stream may be ahead of
// the ledger here. A lender writes it itself if nobody has.
func (g *Grants) reclaim(h *hand) {
	for _, borrower := range h.borrowers() {
		var (
			closed bool
			used   int64
		)
		g.config.Ledger.View(h.team, func(s *ledger.State) {
			closed = s.Closed(borrower)
			used = s.Grant(h.team, g.config.Self).MaxBilledBy(borrower)
		})
		if closed {
			h.takeBack(borrower, used)
			g.counts.Inc("loan_reclaimed")
			continue
		}
		if g.config.Fleet.Closed(borrower) {
			g.closeBorrower(h, borrower)
		}
	}
}

// closeBorrower writes the Close of a borrower to the team's shard.
func (g *Grants) closeBorrower(h *hand, borrower ident.Incarnation) {
	h.mu.Lock()
	busy := h.closing
	h.closing = true
	h.mu.Unlock()
	if busy {
		return
	}
	g.config.Launch(func() {
		if _, err := g.submit(h, ledger.KindClose, ledger.Close{Holder: borrower}); err != nil {
			g.counts.Inc("close_unknown")
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		h.closing = false
	})
}

func (h *hand) borrowers() []ident.Incarnation {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := make([]ident.Incarnation, 0, len(h.lent))
	for borrower := range h.lent {
		list = append(list, borrower)
	}
	return list
}

// takeBack ends the loans of a borrower, of which its runs used some.
func (h *hand) takeBack(borrower ident.Incarnation, used int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	entry := h.lent[borrower]
	if entry == nil {
		return
	}
	delete(h.lent, borrower)
	h.own.free += max(entry.tokens-entry.repaid-used, 0)
	h.notify()
}
