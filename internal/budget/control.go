package budget

import (
	"context"
	"time"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// Intervals of the controller.
const (
	tickInterval = time.Second
	// loanIdle is how long an unused loan is kept.
	loanIdle = 30 * time.Second
	// scarceLoanIdle is the same for a budget that is scarce.
	scarceLoanIdle = 2 * time.Second
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
	g.followDemand(h, budget, now)
	g.reclaim(h)
	g.resolve(h)
	g.revoke(h)
	situation := g.situation(h, budget)
	policy := g.policy(h)
	target := policy.Target(situation)
	h.mu.Lock()
	h.low = policy.Low(target)
	h.mu.Unlock()
	_, homed := g.homeOf(situation, h)
	if asked := policy.Draw(situation); asked > 0 && !homed {
		g.startDraw(h, asked, 1)
	}
	if excess := policy.Excess(situation); excess > 0 {
		g.giveBack(h, g.health.cap(excess, now))
	}
	rest := loanIdle
	if policy.Scarcity(situation) != Ample {
		rest = scarceLoanIdle
	}
	g.repayIdle(ctx, h, now, rest)
}

// followDemand moves the averages of the demand on.
func (g *Grants) followDemand(h *hand, budget ledger.Budget, now time.Time) {
	var (
		grants []ledger.Grant
		offset ident.Offset
	)
	g.config.Ledger.View(h.team, func(s *ledger.State) {
		grants = s.Grants(h.team)
		offset = s.Offset()
	})
	here := g.billedHere(grants)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.demand.tick(now)
	if offset == h.seen {
		return
	}
	h.seen = offset
	h.fleet.look(now, budget.Billed)
	h.site.look(now, here)
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
func (g *Grants) repayIdle(ctx context.Context, h *hand, now time.Time, rest time.Duration) {
	for _, args := range h.due(now, rest) {
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
func (h *hand) due(now time.Time, rest time.Duration) []repayment {
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
		if s.free > 0 && now.Sub(s.idle) >= rest {
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
