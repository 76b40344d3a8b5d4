package prepaid

import "time"

// Sizing of local balances. It affects only how often a request is refused or an
// append is made, and how many tokens are lost with a router that crashes. It
// does not affect the limit.
const (
	// outageHorizon is how long a local balance should last while the log is
	// unavailable, slightly above its usual outages of 5 to 9 seconds. A crash
	// loses the local balance, so a larger one would cost more than it saves.
	outageHorizon = 9500 * time.Millisecond
	// initialFleetShare is the part of the remaining tokens that all routers
	// together hold before the rate of use is known, since an outage may come
	// right after the start.
	initialFleetShare = 0.16
	// maxFleetShare is the part of the remaining tokens that all routers together
	// hold at most. Each holds a share in proportion to its use of the account.
	maxFleetShare = 0.4
	// nonOwnerHorizon is how long the local balance of a router that is not an
	// owner should last. It can borrow more from an owner within milliseconds.
	nonOwnerHorizon = 1500 * time.Millisecond
	// batchHorizon is how long the tokens that are drawn beside those of waiting requests
	// should last, about the interval of an owner's appends, and batchShare the part of
	// the ledger's tokens that this is at most.
	batchHorizon = 300 * time.Millisecond
	batchShare   = 0.05
	// idleAfter is how long after its last request a router that is not an owner
	// keeps tokens for another request of the account.
	idleAfter = 4 * time.Second
	// scarceShare is the part of the prepaid tokens below which an account counts
	// as scarce. Then tokens that are spread over many routers would be missing
	// at the owners.
	scarceShare = 0.1
	// gatherShare is the part of the prepaid tokens below which one owner draws for all
	// routers, and gatherReserve the part of the rest that it holds at most. What it holds is
	// lost with it, so it must be little compared with the account.
	gatherShare   = 0.05
	gatherReserve = 0.3
	// fragmentShare limits how far local balances may exceed highWatermark before
	// tokens are returned: all owners together by at most this part of the
	// remaining tokens. Tokens spread over many routers in this way may be too few
	// at each for a request.
	fragmentShare = 0.2
	// minShare is the part of the remaining tokens that an owner holds of an
	// account without recent requests, so that its first requests in an outage
	// are served.
	minShare = 0.003
	// lowWatermark is the part of the target below which a draw is due. An append
	// costs little, so the local balance stays close to the target.
	lowWatermark = 0.92
	// fullWatermark is the part of the target above which an account is left out
	// of an append that is made for other accounts.
	fullWatermark = 0.97
	// highWatermark is the part of the target above which tokens are returned.
	highWatermark = 1.12
)

// Reserve for small requests of an account that runs out. Under loads in which few
// requests use most of the tokens, the remaining ones serve many more callers if
// they go to small requests.
const (
	// smallReserveShare is the part of the prepaid tokens that is reserved for
	// small requests.
	smallReserveShare = 0.03
	// smallRequestShare is the size up to which a request is small, as a part of
	// the account's mean request.
	smallRequestShare = 0.5
)

// isReservedForSmall reports whether a request is refused so that smaller ones
// can use the remaining tokens.
func isReservedForSmall(remaining, prepaid, tokens int64, mean float64) bool {
	return float64(remaining) < smallReserveShare*float64(prepaid) && float64(tokens) > smallRequestShare*mean
}

// accountState is the input for sizing a router's local balance of an account.
type accountState struct {
	ledgerFree     int64   // tokens that any router may draw
	localBalance   int64   // tokens that this router holds and has not reserved
	rate           float64 // tokens per second used by this router, including loans
	recentMaxBound int64   // bound of a large recent request
	idle           bool    // no recent request on this router
	scarce         bool    // the account is nearly used up
	gathered       bool    // one owner draws for all routers

	isOwner          bool    // this router is an owner of the account
	ownerCount       int     // number of owners
	otherOwnersRate  float64 // tokens per second used by the other owners with a known rate
	otherOwnersKnown int     // number of other owners with a known rate
}

// target returns the local balance that the router should have, in tokens.
func (s accountState) target() int64 {
	remaining := float64(max(s.ledgerFree+s.localBalance, 0))
	if !s.isOwner {
		return advanceFor(s.rate, nonOwnerHorizon, s.recentMaxBound, s.scarce)
	}
	wanted := s.rate * outageHorizon.Seconds()
	if s.gathered {
		return int64(min(wanted, gatherReserve*remaining))
	}
	fleet := s.fleetRate()
	if fleet <= 0 {
		share := initialFleetShare / float64(max(s.ownerCount, 1)) * remaining
		return int64(min(max(wanted, share), 2*share))
	}
	limit := maxFleetShare * s.rate / fleet * remaining
	return int64(max(min(wanted, limit), minShare*remaining))
}

// advanceFor returns how many tokens a router that is not an owner holds ahead of
// requests, to last for a horizon. It holds none if that covers less than one large
// request: with many routers, what each of them held of an account that it rarely
// uses would add up to most of the account.
func advanceFor(rate float64, horizon time.Duration, recentMaxBound int64, scarce bool) int64 {
	if scarce {
		return 0
	}
	return max(int64(rate*horizon.Seconds())-recentMaxBound, 0)
}

// fleetRate returns how many tokens per second all routers use. Owners without a
// known rate count as average ones. It is zero if no rate is known.
func (s accountState) fleetRate() float64 {
	known := float64(s.otherOwnersKnown + 1)
	return (s.otherOwnersRate + s.rate) * max(float64(s.ownerCount)/known, 1)
}

// draw returns how many tokens to draw in advance, and whether the draw is due. A
// draw that is not due is made only along with other changes.
func (s accountState) draw() (tokens int64, due bool) {
	target := s.target()
	if !s.isOwner || float64(s.localBalance) >= fullWatermark*float64(target) {
		return 0, false
	}
	return target - s.localBalance, float64(s.localBalance) < lowWatermark*float64(target)
}

// batch returns how many tokens an owner draws on top of those that requests wait for, so
// that requests of the next moments need no append of their own.
func (s accountState) batch() int64 {
	if !s.isOwner {
		return 0
	}
	return int64(min(s.rate*batchHorizon.Seconds(), batchShare*float64(max(s.ledgerFree, 0))))
}

// excess returns how many tokens to return to the ledger or, if the router is not
// an owner, to an owner.
func (s accountState) excess() int64 {
	target := s.target()
	if !s.isOwner {
		keep := highWatermark * float64(target)
		switch {
		case s.scarce:
		case s.idle:
			keep += float64(s.recentMaxBound) / 4
		default:
			keep += float64(s.recentMaxBound)
		}
		if float64(s.localBalance) <= keep {
			return 0
		}
		return s.localBalance - target
	}
	remaining := float64(max(s.ledgerFree+s.localBalance, 0))
	slack := min(float64(s.recentMaxBound), fragmentShare/float64(max(s.ownerCount, 1))*remaining)
	if float64(s.localBalance) <= highWatermark*float64(target)+slack {
		return 0
	}
	return s.localBalance - target
}
