package budget

import (
	"context"
	"slices"
	"time"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// Intervals and thresholds of the controller.
const (
	tickInterval = time.Second
	// adjustInterval is the minimum time between two non-urgent adjustments of
	// a grant.
	adjustInterval = 5 * time.Second
	// newTeamsPerTick limits the teams that are registered in one tick.
	newTeamsPerTick = 50
	// dormantRate is the demand, in tokens per second, below which a team may
	// be skipped.
	dormantRate = 1.0
	// dormantTicks is the number of ticks for which a team without demand is
	// skipped.
	dormantTicks = 30
	// loanIdleTimeout is the time after which an unused loan is repaid.
	loanIdleTimeout = 30 * time.Second
	// scarceLoanIdleTimeout replaces loanIdleTimeout for a budget that is not
	// ample.
	scarceLoanIdleTimeout = 2 * time.Second
)

// Run draws tokens before they run short, returns excess tokens, repays idle
// loans and reclaims loans of closed borrowers, until ctx ends.
func (g *Grants) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case b := <-g.wakeup:
			g.tickTeam(ctx, b)
		case <-ticker.C:
			g.Tick(ctx)
		}
	}
}

// Tick runs one round of the controller over all teams that are not dormant.
func (g *Grants) Tick(ctx context.Context) {
	g.registerTeams()
	for _, b := range g.allBalances() {
		if !b.dormant() {
			g.tickTeam(ctx, b)
		}
	}
}

// registerTeams registers new teams of the settings, a limited number per tick,
// so that the start of a router does not flood the log with draws.
func (g *Grants) registerTeams() {
	if g.config.Teams == nil {
		return
	}
	registered := 0
	for _, team := range g.config.Teams() {
		if registered >= newTeamsPerTick {
			return
		}
		if g.lookup(team) == nil {
			g.balanceOf(team)
			registered++
		}
	}
}

// dormant reports whether the controller can skip this tick of a team: its
// balance is on target and unused. Every dormantTicks ticks the team is
// processed nevertheless: the budget may have been topped up, or a draw of
// unknown outcome may have been granted.
func (b *localBalance) dormant() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	empty := b.onTarget && b.own.reserved == 0 && len(b.loans)+len(b.lentTo)+len(b.unresolved) == 0
	demanded := b.demand.used > 0 || max(b.demand.rate(), b.fleetDemand.rate()) >= dormantRate
	if !empty || demanded || b.skippedTicks >= dormantTicks {
		b.skippedTicks = 0
		return false
	}
	b.skippedTicks++
	return true
}

// tickTeam runs one round of the controller for one team.
func (g *Grants) tickTeam(ctx context.Context, b *localBalance) {
	if g.fenced.Load() {
		return
	}
	budget := g.syncGrant(b)
	now := g.config.Now()
	g.updateDemand(b, budget, now)
	g.reclaim(b)
	g.resolveRuns(b)
	g.revokeSealedLoans(b)
	input := g.sizingInput(b, budget)
	policy := g.policy(b)
	target := policy.Target(input)
	b.mu.Lock()
	b.lowWatermark = policy.LowWatermark(target)
	b.mu.Unlock()
	_, fromOwner := g.ownerToAsk(input, b)
	asked, excess := policy.Draw(input), policy.Excess(input)
	if fromOwner {
		asked = 0
	}
	b.mu.Lock()
	b.onTarget = asked == 0 && excess == 0
	b.mu.Unlock()
	if (asked > 0 || excess > 0) && (policy.Urgent(input) || b.claimAdjustment(now)) {
		g.adjustGrant(b, asked, excess, now)
	}
	idleTimeout := loanIdleTimeout
	if policy.Scarcity(input) != Ample {
		idleTimeout = scarceLoanIdleTimeout
	}
	g.repayIdleLoans(ctx, b, now, idleTimeout)
}

// adjustGrant draws tokens or returns excess ones. If the health of the log
// permits only part of the return, the rest follows in the next tick.
func (g *Grants) adjustGrant(b *localBalance, asked, excess int64, now time.Time) {
	if asked > 0 {
		g.startDraw(b, asked, 1)
	}
	allowed := g.logHealth.returnable(excess, now)
	g.returnTokens(b, allowed)
	if allowed < excess {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.lastAdjusted = time.Time{}
	}
}

// claimAdjustment reports whether the own grant may be adjusted again, and
// records the adjustment if so. The interval limits the appends.
func (b *localBalance) claimAdjustment(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.lastAdjusted) < adjustInterval {
		return false
	}
	b.lastAdjusted = now
	return true
}

// updateDemand updates the demand averages from the local runs and from the
// ledger's bills.
func (g *Grants) updateDemand(b *localBalance, budget ledger.Budget, now time.Time) {
	var (
		dataCentreBilled int64
		offset           ident.Offset
	)
	r := g.peerSet()
	g.config.Ledger.View(b.team, func(s *ledger.State) {
		dataCentreBilled = r.billedInDataCentre(s, b.team)
		offset = s.Offset()
	})
	b.mu.Lock()
	defer b.mu.Unlock()
	b.demand.tick(now)
	if offset == b.demandOffset {
		return
	}
	b.demandOffset = offset
	b.fleetDemand.observe(now, budget.Billed)
	b.dataCentreDemand.observe(now, dataCentreBilled)
}

// revokeSealedLoans stops the use of loans whose lender is sealed: gates refuse
// runs under them, and the ledger frees them together with the lender's grant.
// A revoked loan is removed once no run uses it.
func (g *Grants) revokeSealedLoans(b *localBalance) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.loans {
		if !s.revoked && g.config.Fleet.Sealed(s.holder) {
			s.revoked = true
			g.counts.Inc("loan_revoked")
		}
	}
	b.loans = slices.DeleteFunc(b.loans, func(s *source) bool { return s.revoked && s.reserved == 0 })
}

// repayIdleLoans repays what is left of unused loans, and resends repayments
// that were not confirmed.
func (g *Grants) repayIdleLoans(ctx context.Context, b *localBalance, now time.Time, idleTimeout time.Duration) {
	for _, r := range b.collectRepayments(now, idleTimeout) {
		r.args.Borrower = g.config.Self
		g.config.Launch(func() { g.repay(ctx, b, r) })
	}
}

// repay sends one repayment to the lender.
func (g *Grants) repay(ctx context.Context, b *localBalance, r repayment) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	_, err := g.config.Peers.Repay(ctx, r.source.holder, r.args)
	if err != nil {
		g.counts.Inc("repay_unknown")
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	r.source.repaying = false
	if err == nil {
		r.source.repaidConfirmed = max(r.source.repaidConfirmed, r.args.Total)
	}
}

// repayment is one Repay call to be made.
type repayment struct {
	source *source
	args   wire.RepayArgs
}

// collectRepayments removes the free tokens of idle or recalled loans from the
// local balance and returns the Repay calls to be made, at most one per lender
// at a time.
func (b *localBalance) collectRepayments(now time.Time, idleTimeout time.Duration) []repayment {
	b.mu.Lock()
	defer b.mu.Unlock()
	var repayments []repayment
	for _, s := range b.loans {
		if s.revoked {
			continue
		}
		if s.reserved > 0 || s.usedSinceTick || s.lastInUse.IsZero() {
			s.lastInUse = now
		}
		s.usedSinceTick = false
		if s.free > 0 && (s.recalled || now.Sub(s.lastInUse) >= idleTimeout) {
			s.repaid += s.free
			s.free = 0
		}
		if s.repaid > s.repaidConfirmed && !s.repaying {
			s.repaying = true
			repayments = append(repayments, repayment{source: s, args: wire.RepayArgs{Team: b.team, Total: s.repaid}})
		}
	}
	return repayments
}
