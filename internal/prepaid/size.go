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
	// firstShare is the part of what is left that all routers together hold
	// before it is known how fast the account is used: an outage may come right
	// after the start.
	firstShare = 0.16
	// fleetShare is the part of what is left that all routers together hold at
	// most; each holds of it what it uses of the account.
	fleetShare = 0.4
	// nearSpan is for how long the tokens last that a router which is not a home
	// of the account keeps in hand: it gets more from a home within
	// milliseconds.
	nearSpan = 1500 * time.Millisecond
	// scatterShare is the part of what is left that may lie in all hands
	// together beyond what they need: pieces that no request finds.
	scatterShare = 0.2
	// floorShare is held of an account that has not asked here lately, so that
	// its first requests in an outage are served.
	floorShare = 0.003
	// lowWater is the part of the target below which a draw is due. An append
	// costs little, so the hand stays close to the target.
	lowWater = 0.92
	// fullWater is the part of the target above which a hand is left out of an
	// append that is made for other accounts.
	fullWater = 0.97
	// highWater is the part of the target above which tokens are given back.
	highWater = 1.12
)

// Order in which an account that runs out is used. It answers a load in which
// few requests take most of the tokens: what is left then serves many more
// callers if it goes to the small ones.
const (
	// keptShare is the part of the prepaid tokens that is kept for small
	// requests.
	keptShare = 0.03
	// smallShare of the account's mean request is the most that is small.
	smallShare = 0.5
)

// keeps reports whether a request is refused so that smaller ones can be served
// with what is left.
func keeps(left, prepaid, tokens int64, mean float64) bool {
	return float64(left) < keptShare*float64(prepaid) && float64(tokens) > smallShare*mean
}

// situation is what a router knows of an account when it sizes its share.
type situation struct {
	free  int64   // that anybody may draw
	hand  int64   // in this router's hand
	rate  float64 // tokens a second used here
	bound int64   // of a large recent request

	home    bool    // this router draws for others
	homes   int     // how many do
	others  float64 // tokens a second that other homes use
	told    int     // how many of those have said so
	routers int     // that may hold tokens of the account
}

// target returns how many tokens the router should have in hand.
func (s situation) target() int64 {
	left := float64(max(s.free+s.hand, 0))
	if !s.home {
		return int64(s.rate * nearSpan.Seconds())
	}
	wanted := s.rate * horizon.Seconds()
	fleet := s.fleet()
	if fleet <= 0 {
		share := firstShare / float64(max(s.homes, 1)) * left
		return int64(min(max(wanted, share), 2*share))
	}
	limit := fleetShare * s.rate / fleet * left
	return int64(max(min(wanted, limit), floorShare*left))
}

// fleet returns how many tokens a second all routers use; homes that have not
// said so are taken for average ones. It is zero if nothing is known.
func (s situation) fleet() float64 {
	known := float64(s.told + 1)
	return (s.others + s.rate) * max(float64(s.homes)/known, 1)
}

// draw returns how many tokens to draw before they are needed, and whether that
// is due; if not, it is worth doing along with another draw.
func (s situation) draw() (tokens int64, due bool) {
	target := s.target()
	if !s.home || float64(s.hand) >= fullWater*float64(target) {
		return 0, false
	}
	return target - s.hand, float64(s.hand) < lowWater*float64(target)
}

// excess returns how many tokens to give back.
func (s situation) excess() int64 {
	target := s.target()
	left := float64(max(s.free+s.hand, 0))
	slack := min(float64(s.bound), scatterShare/float64(max(s.routers, 1))*left)
	if float64(s.hand) <= highWater*float64(target)+slack {
		return 0
	}
	return s.hand - target
}
