package budget

import (
	"context"
	"math"
	"time"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/ledger"
)

// drainPoll is how often Drain looks whether more has come back.
const drainPoll = 100 * time.Millisecond

// Drain gives back all that is in hand, for a graceful stop: loans to their
// lenders, the own grant to the ledger. It admits, draws and lends nothing any
// more, and waits for tokens that are reserved or lent. If it fails, tokens of
// this life may still be in use somewhere: the process must not deregister.
func (g *Grants) Drain(ctx context.Context) error {
	g.fenced.Store(true)
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for {
		open := int64(0)
		for _, h := range g.hands() {
			g.sync(h)
			g.reclaim(h)
			g.repayNow(ctx, h)
			g.giveBack(h, math.MaxInt64)
			open += h.open() + g.lentOut(h)
		}
		if open == 0 {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%d tokens are not back", open)
		}
	}
}

// repayNow repays loans as if they had been idle for long.
func (g *Grants) repayNow(ctx context.Context, h *hand) {
	h.mu.Lock()
	for _, s := range h.loans {
		s.used = false
		s.idle = time.Unix(1, 0)
	}
	h.mu.Unlock()
	g.repayIdle(ctx, h, g.config.Now())
}

// open returns the tokens that are not back yet: in hand, reserved, on
// the way to the ledger, or being drawn.
func (h *hand) open() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	open := h.own.free + h.own.reserved
	for _, s := range h.loans {
		if !s.revoked {
			open += s.free + s.reserved + s.repaid - s.repaidOK
		}
	}
	if h.giving || h.draw != nil {
		open++
	}
	return open
}

// lentOut returns the tokens of the own grant that borrowers still have: they
// have neither repaid them nor are they billed.
func (g *Grants) lentOut(h *hand) int64 {
	out := int64(0)
	for _, borrower := range h.borrowers() {
		var billed int64
		g.config.Ledger.View(h.team, func(s *ledger.State) {
			billed = s.Grant(h.team, g.config.Self).BilledBy(borrower)
		})
		h.mu.Lock()
		if entry := h.lent[borrower]; entry != nil {
			out += max(0, entry.tokens-entry.repaid-billed)
		}
		h.mu.Unlock()
	}
	return out
}
