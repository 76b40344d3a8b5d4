package budget

import (
	"context"
	"slices"
	"time"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// Intervals of the controller.
const (
	tickInterval = time.Second
	// balanceInterval is the least time between two adjustments of a grant
	// that are not urgent.
	balanceInterval = 5 * time.Second
	// newTeamsPerTick bounds the teams that are taken up at once.
	newTeamsPerTick = 50
	// dormantRate is the demand, in tokens a second, below which a team may
	// be left alone.
	dormantRate = 1.0
	// dormantTicks is how many ticks a hand without tokens is left alone.
	dormantTicks = 30
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
		case h := <-g.kick:
			g.tickHand(ctx, h)
		case <-ticker.C:
			g.Tick(ctx)
		}
	}
}

// Tick is one round of the controller.
func (g *Grants) Tick(ctx context.Context) {
	g.meetTeams()
	for _, h := range g.hands() {
		if !h.dormant() {
			g.tickHand(ctx, h)
		}
	}
}

// meetTeams takes teams of the settings up, a few with each tick, so that the
// start of a router does not fill the log.
func (g *Grants) meetTeams() {
	if g.config.Teams == nil {
		return
	}
	met := 0
	for _, team := range g.config.Teams() {
		if met >= newTeamsPerTick {
			return
		}
		if g.lookup(team) == nil {
			g.hand(team)
			met++
		}
	}
}

// dormant reports whether a hand is balanced and unused, so that the controller
// can leave it alone. Now and then it looks nevertheless: the budget may have
// been topped up, or a draw whose outcome was unknown been granted.
func (h *hand) dormant() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	empty := h.balancedOut && h.own.reserved == 0 && len(h.loans)+len(h.lent)+len(h.held) == 0
	demanded := h.demand.used > 0 || max(h.demand.rate(), h.fleet.rate()) >= dormantRate
	if !empty || demanded || h.skipped >= dormantTicks {
		h.skipped = 0
		return false
	}
	h.skipped++
	return true
}

// tickHand sees to one team.
func (g *Grants) tickHand(ctx context.Context, h *hand) {
	if g.fenced.Load() {
		return
	}
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
	asked, excess := policy.Draw(situation), policy.Excess(situation)
	if homed {
		asked = 0
	}
	h.mu.Lock()
	h.balancedOut = asked == 0 && excess == 0
	h.mu.Unlock()
	if (asked > 0 || excess > 0) && (policy.Urgent(situation) || h.mayBalance(now)) {
		g.balance(h, asked, excess, now)
	}
	rest := loanIdle
	if policy.Scarcity(situation) != Ample {
		rest = scarceLoanIdle
	}
	g.repayIdle(ctx, h, now, rest)
}

// balance draws or returns. If no more than a probe may be returned, the rest
// follows with the next tick.
func (g *Grants) balance(h *hand, asked, excess int64, now time.Time) {
	if asked > 0 {
		g.startDraw(h, asked, 1)
	}
	allowed := g.health.cap(excess, now)
	g.giveBack(h, allowed)
	if allowed < excess {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.balanced = time.Time{}
	}
}

// mayBalance reports whether it is time to adjust the own grant again, which
// costs an append.
func (h *hand) mayBalance(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(h.balanced) < balanceInterval {
		return false
	}
	h.balanced = now
	return true
}

// followDemand moves the averages of the demand on.
func (g *Grants) followDemand(h *hand, budget ledger.Budget, now time.Time) {
	var (
		here   int64
		offset ident.Offset
	)
	r := g.roster()
	g.config.Ledger.View(h.team, func(s *ledger.State) {
		here = r.billedHere(s, h.team)
		offset = s.Offset()
	})
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
// under them, and the ledger frees them with the lender's grant. A loan is
// forgotten once that has happened and no run uses it.
func (g *Grants) revoke(h *hand) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.loans {
		if !s.revoked && g.config.Fleet.Sealed(s.holder) {
			s.revoked = true
			g.counts.Inc("loan_revoked")
		}
	}
	h.loans = slices.DeleteFunc(h.loans, func(s *source) bool { return s.revoked && s.reserved == 0 })
}

// repayIdle gives back what is left of loans that have not been used, and
// sends again what was not confirmed.
func (g *Grants) repayIdle(ctx context.Context, h *hand, now time.Time, rest time.Duration) {
	for _, r := range h.due(now, rest) {
		r.args.Borrower = g.config.Self
		g.config.Launch(func() { g.repay(ctx, h, r) })
	}
}

// repay makes one call.
func (g *Grants) repay(ctx context.Context, h *hand, r repayment) {
	ctx, cancel := context.WithTimeout(ctx, borrowWait)
	defer cancel()
	_, err := g.config.Peers.Repay(ctx, r.source.holder, r.args)
	if err != nil {
		g.counts.Inc("repay_unknown")
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	r.source.repaying = false
	if err == nil {
		r.source.repaidOK = max(r.source.repaidOK, r.args.Total)
	}
}

// repayment is one call to be made.
type repayment struct {
	source *source
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
		if s.free > 0 && (s.recalled || now.Sub(s.idle) >= rest) {
			s.repaid += s.free
			s.free = 0
		}
		if s.repaid > s.repaidOK && !s.repaying {
			s.repaying = true
			list = append(list, repayment{source: s, args: wire.RepayArgs{Team: h.team, Total: s.repaid}})
		}
	}
	return list
}
