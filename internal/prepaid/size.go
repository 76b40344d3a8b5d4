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
	// scarceSpan sets how the hands shrink as an account runs out: with T
	// seconds left at the use of all routers, they hold T*T/scarceSpan seconds
	// of use. What dies with all routers is then a small part of what is left,
	// and the last tokens can still be used by whoever needs them.
	scarceSpan = 70 * time.Second
	// ownShare is the part of what is left that one router holds at most as
	// long as it does not know how much the others use.
	ownShare = 0.08
	// maxShare is the part of what is left that one router holds at most.
	maxShare = 0.3
	// floorShare is held of an account that has not asked here lately, so that
	// its first requests in an outage are served.
	floorShare = 0.003
	// lowWater is the part of the target below which a draw is due. An append
	// costs little, so the hand stays close to the target.
	lowWater = 0.92
	// highWater is the part of the target above which tokens are given back.
	highWater = 1.12
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
	wanted := s.rate * s.span(left).Seconds()
	limit := ownShare * left
	if s.fleet > 0 {
		limit = maxShare * left
	}
	return int64(max(min(wanted, limit), floorShare*left))
}

// span returns for how long the tokens in hand should last.
func (s situation) span(left float64) time.Duration {
	if s.fleet <= 0 {
		return horizon
	}
	lasts := left / s.fleet // seconds
	return time.Duration(min(lasts*lasts/scarceSpan.Seconds(), horizon.Seconds()) * float64(time.Second))
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
