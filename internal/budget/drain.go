package budget

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// drainPause is the time between two rounds of Drain.
const drainPause = 200 * time.Millisecond

// ErrSealed means that this life was sealed: its grants are freed by others,
// and it must not deregister, since other routers may still use its loans.
var ErrSealed = errors.New("this life has been sealed")

// recallRounds is the number of rounds between two calls to a borrower.
const recallRounds = 5

// Drain ends this router's part in the budgets before it deregisters: it
// admits and lends nothing any more, repays its loans and returns what is free
// of its grants. It fails when ctx ends with tokens still reserved, lent or
// unconfirmed; the process must then not deregister, since runs may still
// start under its grants, and is left to be sealed.
func (g *Grants) Drain(ctx context.Context) error {
	g.fenced.Store(true)
	for round := 0; ; round++ {
		if g.sealed.Load() {
			return ErrSealed
		}
		if round%recallRounds == 0 {
			g.recall(ctx)
		}
		open := g.drainRound(ctx)
		if open == 0 {
			return nil
		}
		timer := time.NewTimer(drainPause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return errors.Wrapf(ctx.Err(), "%d tokens are still reserved, lent or on their way", open)
		}
	}
}

// recall asks the borrowers to repay.
func (g *Grants) recall(ctx context.Context) {
	for _, h := range g.hands() {
		for _, borrower := range h.borrowers() {
			args := wire.BorrowArgs{Borrower: g.config.Self, Team: h.team, Recall: true}
			g.config.Launch(func() {
				call, cancel := context.WithTimeout(ctx, borrowWait)
				defer cancel()
				if _, err := g.config.Peers.Borrow(call, borrower, args); err != nil {
					g.counts.Inc("recall_unknown")
				}
			})
		}
	}
}

// drainRound gives back what it can and returns the tokens that remain.
func (g *Grants) drainRound(ctx context.Context) int64 {
	var open int64
	for _, h := range g.hands() {
		g.sync(h)
		g.resolve(h)
		g.reclaim(h)
		g.repayIdle(ctx, h, g.config.Now(), 0)
		g.giveBack(h, g.freeOf(h))
		open += g.openTokens(h)
	}
	return open
}

func (g *Grants) freeOf(h *hand) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.own.free
}

// openTokens counts what others may still use of the own grant, what is
// reserved, and loans that the lender does not know to be repaid.
func (g *Grants) openTokens(h *hand) int64 {
	var grant ledger.Grant
	g.config.Ledger.View(h.team, func(s *ledger.State) { grant = s.Grant(h.team, g.config.Self) })
	h.mu.Lock()
	defer h.mu.Unlock()
	open := h.own.free + h.own.reserved
	for borrower, entry := range h.lent {
		open += max(entry.tokens-entry.repaid-grant.MaxBilledBy(borrower), 0)
	}
	for _, s := range h.loans {
		if !s.revoked {
			open += s.free + s.reserved + s.repaid - s.repaidOK
		}
	}
	if h.giving || h.draw != nil {
		open++ // on its way to or from the ledger
	}
	return open
}
