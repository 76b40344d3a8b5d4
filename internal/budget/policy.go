package budget

import (
	"math"
	"time"
)

// Policy says how much of a budget a router keeps in hand. It affects only how
// often a request is refused or a record appended, never the limit.
type Policy struct {
	// Horizon is how long the tokens in hand should last without the log.
	Horizon time.Duration
	// Caution is 0 to 1: 1 leaves tokens in the ledger, where no cut-off
	// router holds them; 0 spreads them over the routers.
	Caution float64
}

// Situation is what a router knows of a budget when it sizes its share.
type Situation struct {
	Free      int64   // in the ledger
	Spread    int64   // outstanding in the grants of all routers
	Hand      int64   // free in this router's own grant
	Rate      float64 // tokens a second spent here
	FleetRate float64 // tokens a second billed in all
	SiteShare float64 // of it in this data centre, 0 to 1
	Bound     int64   // of a large recent run
	Routers   int     // live ones
	Here      int     // of them in this data centre
	Homes     int     // home routers of the budget in this data centre
	Home      bool    // this router is one of them
}

// Scarcity is how scarce a budget is, which decides who holds its tokens.
type Scarcity uint8

// Degrees of scarcity.
const (
	// Ample budgets outlast the horizon twice: every router holds its own.
	Ample Scarcity = iota
	// Scarce budgets are held by one home router in each data centre, from
	// which the others borrow, so that fewer rests are too small to use.
	Scarce
	// NearlyExhausted budgets stay in the ledger, and every request draws for itself.
	NearlyExhausted
)

// Margins of the sizing.
const (
	// horizonMargin is the factor on the expected demand over the horizon.
	horizonMargin = 1.5
	// ampleHorizons is how many horizons an ample budget lasts.
	ampleHorizons = 2
	// endingSpan is how long an ending budget lasts at most.
	endingSpan = 45 * time.Second
	// cautiousShare is the part of its proportional share that a router
	// takes at full caution.
	cautiousShare = 0.25
	// floorShare is the part of an ample budget that is held whatever the
	// demand, without caution.
	floorShare = 1.0
	// littleUseRuns is the demand over the horizon, in runs of a recent
	// bound, up to which a budget is in little use.
	littleUseRuns = 4
	// lowWater and highWater are where a draw or a return starts, as parts of
	// the target.
	lowWater  = 0.93
	highWater = 1.07
	// urgentWater is the part of the target below which a draw cannot wait.
	urgentWater = 0.5
	// idleShare is the part of a budget that may stay in the ledger beyond
	// what caution leaves there.
	idleShare = 0.01
	// minRuns is how many runs of a recent bound are worth holding.
	minRuns = 2
)

// Scarcity tells how long the budget lasts at the fleet's demand.
func (p Policy) Scarcity(s Situation) Scarcity {
	left := float64(s.Free + s.Spread)
	switch {
	case left < s.FleetRate*endingSpan.Seconds():
		return NearlyExhausted
	case left < s.FleetRate*p.Horizon.Seconds()*ampleHorizons:
		return Scarce
	default:
		return Ample
	}
}

// Target returns how many tokens a router should have in hand: the demand that
// it serves over the horizon, but no more than its share of what is left.
func (p Policy) Target(s Situation) int64 {
	rate := s.Rate
	share := 1 / float64(max(s.Routers, 1))
	if s.FleetRate > 0 {
		share = min(s.Rate/s.FleetRate, 1)
	}
	switch p.Scarcity(s) {
	case NearlyExhausted:
		return 0
	case Scarce:
		if !s.Home {
			return 0
		}
		share = s.homeShare()
		rate = share * s.FleetRate
	}
	wanted := rate*p.Horizon.Seconds()*horizonMargin + float64(minRuns*s.Bound)
	limit := p.part() * share * float64(s.Free+s.Spread)
	return int64(math.Floor(max(min(wanted, limit), p.floor(s))))
}

// floor is what is held of an ample budget beside the demand seen so far, so
// that a team which begins to ask while the log is away finds tokens.
func (p Policy) floor(s Situation) float64 {
	if p.Scarcity(s) != Ample {
		return 0
	}
	return (1 - p.caution()) * floorShare * p.floorPart(s) * float64(s.Free+s.Spread)
}

// floorPart is this router's part of the floor of all. Of a budget in little
// use the home router holds it for its data centre.
func (p Policy) floorPart(s Situation) float64 {
	if p.LittleUse(s) {
		if !s.Home {
			return 0
		}
		return float64(max(s.Here, 1)) / float64(max(s.Homes, 1)) / float64(max(s.Routers, 1))
	}
	return 1 / float64(max(s.Routers, 1))
}

// homeShare is a home router's part of the fleet's demand.
func (s Situation) homeShare() float64 {
	return s.SiteShare / float64(max(s.Homes, 1))
}

// LittleUse reports whether so little is spent at this router that it need not
// hold tokens of its own.
func (p Policy) LittleUse(s Situation) bool {
	return s.Rate*p.Horizon.Seconds() <= float64(littleUseRuns*s.Bound)
}

// part is the part of its proportional share that a router takes.
func (p Policy) part() float64 {
	return 1 - p.caution()*(1-cautiousShare)
}

// caution returns the setting within its range.
func (p Policy) caution() float64 {
	return min(max(p.Caution, 0), 1)
}

// Low returns the level below which a draw is due.
func (p Policy) Low(target int64) int64 {
	return int64(float64(target) * lowWater)
}

// Draw returns how many tokens to draw before they are needed: what is missing
// to the target, or this router's share of what lies idle in the ledger, where
// an outage would lock it up.
func (p Policy) Draw(s Situation) int64 {
	target := p.Target(s)
	if s.Hand < p.Low(target) {
		return target - s.Hand
	}
	if float64(s.Hand) > float64(target)*highWater {
		return 0
	}
	left := float64(s.Free + s.Spread)
	share, held := p.shareOfIdle(s)
	idle := float64(s.Free) - (1-held)*left
	if idle <= idleShare*left {
		return 0
	}
	return int64(share * idle)
}

// shareOfIdle returns this router's share of idle tokens, and which part of
// the budget all routers together are to hold.
func (p Policy) shareOfIdle(s Situation) (share, held float64) {
	switch p.Scarcity(s) {
	case Scarce:
		if s.Home {
			share = s.homeShare()
		}
		return share, p.part()
	case Ample:
		return p.floorPart(s), (1 - p.caution()) * floorShare
	default:
		return 0, 0
	}
}

// Urgent reports whether an adjustment of the own grant cannot wait: it is far
// too small, or the budget is ending.
func (p Policy) Urgent(s Situation) bool {
	return p.Scarcity(s) == NearlyExhausted || float64(s.Hand) < urgentWater*float64(p.Target(s))
}

// Excess returns how many tokens to give back.
func (p Policy) Excess(s Situation) int64 {
	target := p.Target(s)
	if float64(s.Hand) <= float64(target)*highWater {
		return 0
	}
	return s.Hand - target
}
