package budget

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// drainInterval is the time between two rounds of Drain.
const drainInterval = 200 * time.Millisecond

// ErrSealed means that this incarnation was sealed: its grants are freed by
// other processes, and it must not deregister, since other routers may still
// use its loans.
var ErrSealed = errors.New("this incarnation has been sealed")

// roundsPerRecall is the number of rounds between two calls to a borrower.
const roundsPerRecall = 5

// Drain gives up this router's share of all budgets before it deregisters: it
// stops admitting and lending, repays its loans and returns the free tokens of
// its grants. It fails if ctx ends while tokens are still reserved, lent or
// unconfirmed. The process must then not deregister, since runs may still start
// under its grants; it has to be sealed instead.
func (g *Grants) Drain(ctx context.Context) error {
	g.fenced.Store(true)
	for round := 0; ; round++ {
		if g.sealed.Load() {
			return ErrSealed
		}
		if round%roundsPerRecall == 0 {
			g.recallLoans(ctx)
		}
		unreturned := g.drainRound(ctx)
		if unreturned == 0 {
			return nil
		}
		timer := time.NewTimer(drainInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return errors.Wrapf(ctx.Err(), "%d tokens are still reserved, lent or in transit", unreturned)
		}
	}
}

// recallLoans asks the borrowers to repay their loans.
func (g *Grants) recallLoans(ctx context.Context) {
	for _, b := range g.allBalances() {
		for _, borrower := range b.borrowers() {
			args := wire.BorrowArgs{Borrower: g.config.Self, Team: b.team, Recall: true}
			g.config.Launch(func() {
				call, cancel := context.WithTimeout(ctx, peerCallTimeout)
				defer cancel()
				if _, err := g.config.Peers.Borrow(call, borrower, args); err != nil {
					g.counts.Inc("recall_unknown")
				}
			})
		}
	}
}

// drainRound returns and repays what is free, and counts the tokens that
// remain.
func (g *Grants) drainRound(ctx context.Context) int64 {
	var unreturned int64
	for _, b := range g.allBalances() {
		g.syncGrant(b)
		g.resolveRuns(b)
		g.reclaim(b)
		g.repayIdleLoans(ctx, b, g.config.Now(), 0)
		g.returnTokens(b, g.ownFree(b))
		unreturned += g.unreturnedTokens(b)
	}
	return unreturned
}

func (g *Grants) ownFree(b *localBalance) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.own.free
}

// unreturnedTokens counts the tokens of the own grant that are free, reserved
// or may still be used by borrowers, and the borrowed tokens whose repayment
// the lender has not confirmed.
func (g *Grants) unreturnedTokens(b *localBalance) int64 {
	var grant ledger.Grant
	g.config.Ledger.View(b.team, func(s *ledger.State) { grant = s.Grant(b.team, g.config.Self) })
	b.mu.Lock()
	defer b.mu.Unlock()
	unreturned := b.own.free + b.own.reserved
	for borrower, entry := range b.lentTo {
		unreturned += max(entry.tokens-entry.repaid-grant.MaxBilledBy(borrower), 0)
	}
	for _, s := range b.loans {
		if !s.revoked {
			unreturned += s.free + s.reserved + s.repaid - s.repaidConfirmed
		}
	}
	if b.returning || b.pendingDraw != nil {
		unreturned++ // a draw or return is in flight
	}
	return unreturned
}
