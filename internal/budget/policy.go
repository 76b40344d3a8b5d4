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
	Free    int64   // in the ledger
	Hand    int64   // free in this router's own grant
	Rate    float64 // tokens a second spent here
	Share   float64 // of the fleet's demand for this budget that arrives here, 0 to 1
	Bound   int64   // of a large recent run
	Routers int     // live ones
}

// Margins of the sizing.
const (
	// horizonMargin is the factor on the expected demand over the horizon.
	horizonMargin = 1.5
	// cautiousShare is the part of its proportional share that a router
	// takes at full caution.
	cautiousShare = 0.25
	// lowWater and highWater are where a draw or a return starts, as parts of
	// the target.
	lowWater  = 0.7
	highWater = 1.6
	// minRuns is how many runs of a recent bound are worth holding.
	minRuns = 2
)

// Target returns how many tokens a router should have in hand: its demand over
// the horizon, but no more than its share of what is left of the budget.
func (p Policy) Target(s Situation) int64 {
	wanted := s.Rate*p.Horizon.Seconds()*horizonMargin + float64(minRuns*s.Bound)
	limit := p.part() * s.Share * float64(s.Free+s.Hand)
	return int64(math.Floor(min(wanted, limit)))
}

// part is the part of its proportional share that a router takes.
func (p Policy) part() float64 {
	caution := min(max(p.Caution, 0), 1)
	return 1 - caution*(1-cautiousShare)
}

// Low returns the level below which a draw is due.
func (p Policy) Low(target int64) int64 {
	return int64(float64(target) * lowWater)
}

// Excess returns how many tokens to give back.
func (p Policy) Excess(s Situation) int64 {
	target := p.Target(s)
	if float64(s.Hand) <= float64(target)*highWater+float64(s.Bound) {
		return 0
	}
	return s.Hand - target
}
