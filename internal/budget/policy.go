package budget

import (
	"math"
	"time"
)

// Policy determines how much of a budget a router holds locally. It affects
// only how often a request is refused or a record appended, never the spending
// limit.
type Policy struct {
	// Horizon is how long the local balance should last without the log.
	Horizon time.Duration
	// Caution ranges from 0 to 1: 1 leaves tokens in the ledger, where no
	// partitioned router holds them; 0 spreads them over the routers.
	Caution float64
}

// SizingInput is what a router knows of a budget when it sizes its share.
type SizingInput struct {
	Free              int64   // tokens free in the ledger
	Outstanding       int64   // tokens outstanding in the grants of all routers
	OwnFree           int64   // tokens free in this router's own grant
	Rate              float64 // tokens per second spent at this router
	FleetRate         float64 // tokens per second billed to all routers
	DataCentreShare   float64 // part of FleetRate billed to this data centre, 0 to 1
	RecentBound       int64   // decaying maximum of the token bounds of recent runs at this router
	Routers           int     // number of live routers
	DataCentreRouters int     // number of live routers in this data centre
	Owners            int     // number of owner routers of the budget in this data centre
	IsOwner           bool    // whether this router is an owner
}

// Scarcity is the degree to which a budget is scarce, which decides which
// routers hold its tokens.
type Scarcity uint8

// Degrees of scarcity.
const (
	// Ample budgets last at least twice the horizon: every router holds its own
	// share.
	Ample Scarcity = iota
	// Scarce budgets are held by the owner routers of each data centre, from
	// which the other routers borrow, so that fewer remainders are too small to
	// use.
	Scarce
	// NearlyExhausted budgets stay in the ledger, and every request draws for
	// itself.
	NearlyExhausted
)

// Margins and thresholds of the sizing.
const (
	// horizonMargin is the factor on the expected demand over the horizon.
	horizonMargin = 1.5
	// ampleHorizons is how many horizons an ample budget lasts.
	ampleHorizons = 2
	// nearlyExhaustedSpan is how long a nearly exhausted budget lasts at most.
	nearlyExhaustedSpan = 45 * time.Second
	// cautiousShare is the part of its proportional share that a router holds
	// at full caution.
	cautiousShare = 0.25
	// minShare is the part of an ample budget that all routers together hold
	// regardless of demand, at zero caution.
	minShare = 1.0
	// lowUseRuns is the demand over the horizon, in runs of a recent bound, up
	// to which a budget is in low use.
	lowUseRuns = 4
	// lowWatermark and highWatermark are the parts of the target at which a
	// draw or a return starts.
	lowWatermark  = 0.93
	highWatermark = 1.07
	// urgentWatermark is the part of the target below which a draw cannot wait
	// for the next adjustment.
	urgentWatermark = 0.5
	// maxIdleShare is the part of a budget that may stay in the ledger in
	// addition to the part that Caution reserves for it.
	maxIdleShare = 0.01
	// minRuns is the number of runs of a recent bound that are worth holding.
	minRuns = 2
)

// Scarcity classifies a budget by how long it lasts at the fleet's demand.
func (p Policy) Scarcity(s SizingInput) Scarcity {
	left := float64(s.Free + s.Outstanding)
	switch {
	case left < s.FleetRate*nearlyExhaustedSpan.Seconds():
		return NearlyExhausted
	case left < s.FleetRate*p.Horizon.Seconds()*ampleHorizons:
		return Scarce
	default:
		return Ample
	}
}

// Target returns how many tokens a router should hold: the demand that it
// serves over the horizon, but no more than its share of what is left.
func (p Policy) Target(s SizingInput) int64 {
	rate := s.Rate
	share := 1 / float64(max(s.Routers, 1))
	if s.FleetRate > 0 {
		share = min(s.Rate/s.FleetRate, 1)
	}
	switch p.Scarcity(s) {
	case NearlyExhausted:
		return 0
	case Scarce:
		if !s.IsOwner {
			return 0
		}
		share = s.ownerShare()
		rate = share * s.FleetRate
	}
	wanted := rate*p.Horizon.Seconds()*horizonMargin + float64(minRuns*s.RecentBound)
	limit := p.shareFactor() * share * float64(s.Free+s.Outstanding)
	return int64(math.Floor(max(min(wanted, limit), p.minTokens(s))))
}

// minTokens returns how many tokens of an ample budget are held regardless of
// the demand seen so far, so that a team whose first requests come while the
// log is unavailable finds tokens.
func (p Policy) minTokens(s SizingInput) float64 {
	if p.Scarcity(s) != Ample {
		return 0
	}
	return (1 - p.clampedCaution()) * minShare * p.minTokensShare(s) * float64(s.Free+s.Outstanding)
}

// minTokensShare returns this router's share of the minimum that all routers
// hold together. For a budget in low use, the owner routers hold it for their
// data centre.
func (p Policy) minTokensShare(s SizingInput) float64 {
	if p.IsLowUse(s) {
		if !s.IsOwner {
			return 0
		}
		return float64(max(s.DataCentreRouters, 1)) / float64(max(s.Owners, 1)) / float64(max(s.Routers, 1))
	}
	return 1 / float64(max(s.Routers, 1))
}

// ownerShare returns an owner router's share of the fleet's demand.
func (s SizingInput) ownerShare() float64 {
	return s.DataCentreShare / float64(max(s.Owners, 1))
}

// IsLowUse reports whether so little is spent at this router that it need not
// hold tokens of its own.
func (p Policy) IsLowUse(s SizingInput) bool {
	return s.Rate*p.Horizon.Seconds() <= float64(lowUseRuns*s.RecentBound)
}

// shareFactor returns the part of its proportional share that a router holds.
func (p Policy) shareFactor() float64 {
	return 1 - p.clampedCaution()*(1-cautiousShare)
}

// clampedCaution returns Caution limited to 0 to 1.
func (p Policy) clampedCaution() float64 {
	return min(max(p.Caution, 0), 1)
}

// LowWatermark returns the level, in tokens, below which a draw is due.
func (p Policy) LowWatermark(target int64) int64 {
	return int64(float64(target) * lowWatermark)
}

// Draw returns how many tokens to draw ahead of demand: what is missing to the
// target, or else this router's share of what lies idle in the ledger, where a
// log outage would make it unreachable.
func (p Policy) Draw(s SizingInput) int64 {
	target := p.Target(s)
	if s.OwnFree < p.LowWatermark(target) {
		return target - s.OwnFree
	}
	if float64(s.OwnFree) > float64(target)*highWatermark {
		return 0
	}
	left := float64(s.Free + s.Outstanding)
	share, routersShare := p.idleShare(s)
	idle := float64(s.Free) - (1-routersShare)*left
	if idle <= maxIdleShare*left {
		return 0
	}
	return int64(share * idle)
}

// idleShare returns this router's share of idle tokens, and which part of the
// budget all routers together should hold.
func (p Policy) idleShare(s SizingInput) (share, routersShare float64) {
	switch p.Scarcity(s) {
	case Scarce:
		if s.IsOwner {
			share = s.ownerShare()
		}
		return share, p.shareFactor()
	case Ample:
		return p.minTokensShare(s), (1 - p.clampedCaution()) * minShare
	default:
		return 0, 0
	}
}

// Urgent reports whether an adjustment of the own grant cannot wait: the grant
// is far too small, or the budget is nearly exhausted.
func (p Policy) Urgent(s SizingInput) bool {
	return p.Scarcity(s) == NearlyExhausted || float64(s.OwnFree) < urgentWatermark*float64(p.Target(s))
}

// Excess returns how many tokens to return to the ledger.
func (p Policy) Excess(s SizingInput) int64 {
	target := p.Target(s)
	if float64(s.OwnFree) <= float64(target)*highWatermark {
		return 0
	}
	return s.OwnFree - target
}
