package budget

import (
	"context"
	"time"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// Intervals of the controller.
const (
	tickInterval = time.Second
	// loanIdle is how long an unused loan is kept.
	loanIdle = 30 * time.Second
)

// Run draws before tokens are short, gives back what is not needed, repays
// idle loans and takes back those of closed borrowers, until ctx ends.
func (g *Grants) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.kick:
		case <-ticker.C:
		}
		g.Tick(ctx)
	}
}

// Tick is one round of the controller.
func (g *Grants) Tick(ctx context.Context) {
	if g.fenced.Load() {
		return
	}
	for _, h := range g.hands() {
		g.tickHand(ctx, h)
	}
}

func (g *Grants) tickHand(ctx context.Context, h *hand) {
	budget := g.sync(h)
	now := g.config.Now()
	h.mu.Lock()
	h.demand.tick(now)
	h.mu.Unlock()
	g.reclaim(h)
	g.revoke(h)
	situation := g.situation(h, budget)
	policy := g.policy(h)
	target := policy.Target(situation)
	h.mu.Lock()
	h.low = policy.Low(target)
	h.mu.Unlock()
	_, homed := g.homeOf(h)
	if situation.Hand < policy.Low(target) && !homed {
		g.startDraw(h, target-situation.Hand, 1)
	}
	if excess := policy.Excess(situation); excess > 0 {
		g.giveBack(h, excess)
	}
	g.repayIdle(ctx, h, now)
}

// revoke stops the use of loans whose lender is sealed: the gates refuse runs
// under them, and the ledger frees them with the lender's grant.
func (g *Grants) revoke(h *hand) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.loans {
		if !s.revoked && g.config.Fleet.Sealed(s.holder) {
			s.revoked = true
			g.counts.Inc("loan_revoked")
		}
	}
}

// repayIdle gives back what is left of loans that have not been used, and
// sends again what was not confirmed.
func (g *Grants) repayIdle(ctx context.Context, h *hand, now time.Time) {
	for _, args := range h.due(now) {
		if ctx.Err() != nil {
			return
		}
		lender := args.lender
		args.args.Borrower = g.config.Self
		call, cancel := context.WithTimeout(ctx, borrowWait)
		_, err := g.config.Peers.Repay(call, lender, args.args)
		cancel()
		if err != nil {
			g.counts.Inc("repay_unknown")
			continue
		}
		h.confirm(args)
	}
}

// repayment is one call to be made.
type repayment struct {
	source *source
	lender ident.Incarnation
	args   wire.RepayArgs
}

// due takes the free tokens of idle loans out of the hand.
func (h *hand) due(now time.Time) []repayment {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []repayment
	for _, s := range h.loans {
		if s.revoked {
			continue
		}
		if s.reserved > 0 || s.used || s.idle.IsZero() {
			s.idle = now
		}
		s.used = false
		if s.free > 0 && now.Sub(s.idle) >= loanIdle {
			s.repaid += s.free
			s.free = 0
		}
		if s.repaid > s.repaidOK {
			list = append(list, repayment{source: s, lender: s.holder, args: wire.RepayArgs{Team: h.team, Total: s.repaid}})
		}
	}
	return list
}

func (h *hand) confirm(r repayment) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r.source.repaidOK = max(r.source.repaidOK, r.args.Total)
}
