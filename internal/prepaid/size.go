package prepaid

import "time"

// Sizing of what a router holds. It decides only how often a request is refused
// or an append made, and how much a router that dies takes along; never the
// limit.
const (
	// horizon is for how long the tokens in hand should last without the log,
	// somewhat above its usual outages of 5 to 9 seconds. What is held dies
	// with the router, so more would cost more than it saves.
	horizon = 9500 * time.Millisecond
	// share is the part of what is left of an account that all routers
	// together hold at most, so that their death does not take most of it
	// along.
	share = 0.35
	// ownShare is the part of it that one router holds at most as long as it
	// does not know how much the others use.
	ownShare = 0.1
	// floorShare is held of an account that has not asked here lately, so that
	// its first requests in an outage are served.
	floorShare = 0.015
	// lowWater is the part of the target below which a draw is due. An append
	// costs little, so the hand stays close to the target.
	lowWater = 0.92
	// highWater is the part of the target above which tokens are given back.
	highWater = 1.12
	// minRuns is how many requests of the largest recent bound are worth
	// holding as long as the account has much more.
	minRuns = 1
)

// situation is what a router knows of an account when it sizes its share.
type situation struct {
	free  int64   // that anybody may draw
	hand  int64   // in this router's hand
	rate  float64 // tokens a second used here
	fleet float64 // tokens a second used by all routers; zero if not known
	bound int64   // of a large recent request
}

// target returns how many tokens the router should have in hand.
func (s situation) target() int64 {
	left := float64(max(s.free+s.hand, 0))
	wanted := s.rate*horizon.Seconds() + float64(minRuns*s.bound)
	part := ownShare
	if s.fleet > 0 {
		part = share * min(s.rate/s.fleet, 1)
	}
	limit := part * left
	return int64(max(min(wanted, limit), floorShare*left))
}

// draw returns how many tokens to draw before they are needed.
func (s situation) draw() int64 {
	target := s.target()
	if float64(s.hand) >= lowWater*float64(target) {
		return 0
	}
	return target - s.hand
}

// excess returns how many tokens to give back.
func (s situation) excess() int64 {
	target := s.target()
	if float64(s.hand) <= highWater*float64(target)+float64(s.bound) {
		return 0
	}
	return s.hand - target
}
