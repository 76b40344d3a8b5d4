package prepaid

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// borrowHorizon is how long borrowed tokens should last. A call costs little, but
// not each request should need one.
const borrowHorizon = 2 * time.Second

// borrowResult is the result of calls to other routers.
type borrowResult struct {
	tokens           int64 // received
	owners           int   // owners that answered
	short            bool  // an owner knows that the ledger has no more tokens
	logUnavailable   bool  // an owner can't reach the log
	reservedForSmall bool  // the remaining tokens are reserved for smaller requests
	complete         bool  // all routers that were to be asked have answered
	open             bool  // the calls were not made or were abandoned, so the result says nothing
	need             int64 // tokens that were missing
	bound            int64 // bound of the request that made the calls
	endedAt          time.Time
}

// final reports whether the same calls would soon give the same result: nothing.
func (r borrowResult) final() bool {
	return r.tokens == 0 && (r.short || r.reservedForSmall)
}

// borrow borrows tokens from the account's owners, and from some other routers if
// others is set, for the requests that wait. Concurrent requests share the calls
// and their result.
func (bs *LocalBalances) borrow(ctx context.Context, b *localBalance, tokens int64, others bool) borrowResult {
	if bs.peers == nil {
		return borrowResult{}
	}
	owners, _ := bs.owners(b)
	args, done := b.beginBorrow(tokens, bs.incarnation, others)
	if done == nil {
		return b.awaitBorrow(ctx)
	}
	result := borrowResult{need: tokens - args.Free, bound: tokens, open: args.Want <= 0}
	want := args.Want
	result.complete = bs.peers.Borrow(ctx, args, owners, others, func(reply BorrowReply) int64 {
		received := bs.received.raiseTo(reply.Lender, b.account, reply.Total)
		want -= received
		result.tokens += received
		result.add(reply)
		b.recordReply(reply)
		if received > 0 {
			b.deposit(received)
			bs.events.Inc("borrowed")
			bs.log.Debug().Str("account", b.account).Str("router", reply.Lender).Int64("tokens", received).Msg("tokens borrowed")
		}
		return want
	})
	// Requests that share the result have not been abandoned themselves.
	result.open = result.open || errors.Is(ctx.Err(), context.Canceled)
	b.endBorrow(done, result, others)
	return result
}

// Timing of the repetition of calls without a reply.
const (
	reclaimInterval = 250 * time.Millisecond
	reclaimTimeout  = 200 * time.Millisecond
)

// runReclaim collects the tokens that were lent to this router in replies that did not
// arrive, until ctx ends. A later loan from the same lender would bring them too, but the
// lender may stop before, and the account may be used up without them.
func (bs *LocalBalances) runReclaim(ctx context.Context) {
	for sleepOrWake(ctx, reclaimInterval, nil) {

		bs.reclaim(ctx)
	}
}

func (bs *LocalBalances) reclaim(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, reclaimTimeout)
	defer cancel()
	bs.peers.Reclaim(ctx, bs.incarnation, func(account string, reply BorrowReply) {
		received := bs.received.raiseTo(reply.Lender, account, reply.Total)
		if received == 0 {
			return
		}
		bs.balance(account).deposit(received)
		bs.events.Inc("reclaimed")
		bs.log.Info().Str("account", account).Str("router", reply.Lender).Int64("tokens", received).
			Msg("tokens of a loan whose reply was lost were collected")
	})
}

// add adds what a reply says about the account.
func (r *borrowResult) add(reply BorrowReply) {
	if reply.State != LoanNotOwner {
		r.owners++
	}
	r.short = r.short || reply.State == LoanShort
	r.logUnavailable = r.logUnavailable || reply.State == LoanLogUnavailable
	r.reservedForSmall = r.reservedForSmall || reply.State == LoanReservedForSmall
}

// reserveFromOwners reserves tokens for a request by loans from the owners. It
// returns false if no owner answered, so that this router must draw the tokens
// itself.
func (bs *LocalBalances) reserveFromOwners(ctx context.Context, b *localBalance, tokens int64) (outcome Outcome, decided bool) {
	for {
		result := bs.borrowFromOwners(ctx, b, tokens)
		switch {
		case b.reserve(tokens):
			return Granted, true
		case ctx.Err() != nil:
			return Unreachable, true
		case result.reservedForSmall && tokens >= result.bound:
			return ReservedForSmall, true
		case result.tokens > 0 || result.open || result.reservedForSmall:
			// Other requests have used the tokens, no call was made, or only a
			// larger request was refused.
		case result.owners == 0:
			return 0, false
		case result.logUnavailable:
			return bs.borrowFromAll(ctx, b, tokens, true), true
		case result.short:
			return bs.borrowFromAll(ctx, b, tokens, false), true
		}
		// The result may be that of earlier calls, so the loop must not spin.
		sleepOrWake(ctx, borrowRetryPause, nil)
	}
}

// borrowRetryPause is the pause before the owners are asked again.
const borrowRetryPause = 3 * time.Millisecond

// borrowFromOwners borrows from the owners of an account. Owners that crashed
// recently do not answer, so the timeout leaves time for a draw.
func (bs *LocalBalances) borrowFromOwners(ctx context.Context, b *localBalance, tokens int64) borrowResult {
	ctx, cancel := context.WithTimeout(ctx, ownerBorrowTimeout)
	defer cancel()
	return bs.borrow(ctx, b, tokens, false)
}

// borrowFromAll borrows from the owners and other routers if a draw can't help.
func (bs *LocalBalances) borrowFromAll(ctx context.Context, b *localBalance, tokens int64, unavailable bool) Outcome {
	bs.borrow(ctx, b, tokens, true)
	switch {
	case b.reserve(tokens):
		return Granted
	case unavailable:
		return Unreachable
	default:
		return Exhausted
	}
}

// beginBorrow returns the request to send, and the channel that endBorrow closes.
// The channel is nil if a call is in progress, or if recent calls yielded nothing
// and would not now.
func (b *localBalance) beginBorrow(tokens int64, incarnation string, others bool) (BorrowArgs, chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	missing := tokens - b.free
	emptyAll := time.Since(b.emptyBorrowAt) <= shortageTTL && missing >= b.emptyBorrowNeed
	emptyOwners := !others && b.lastBorrow.final() && time.Since(b.lastBorrow.endedAt) <= shortageTTL && missing >= b.lastBorrow.need
	if b.borrowDone != nil || emptyAll || emptyOwners {
		return BorrowArgs{}, nil
	}
	b.borrowDone = make(chan struct{})
	need := max(b.waitingTokens, tokens) - b.free
	ahead := advanceFor(b.ownUse.rate, borrowHorizon, int64(b.recentMaxBound), b.scarce)
	return BorrowArgs{
		Borrower: incarnation,
		Account:  b.account,
		Want:     need + ahead,
		Need:     need,
		Bound:    tokens,
		Free:     b.free,
		Rate:     b.ownUse.rate,
		Owner:    b.isOwner,
	}, b.borrowDone
}

// awaitBorrow waits for the calls in progress, if any, and returns the result of
// the last calls; an open one if ctx ends first.
func (b *localBalance) awaitBorrow(ctx context.Context) borrowResult {
	b.mu.Lock()
	running := b.borrowDone
	b.mu.Unlock()
	if running != nil {
		select {
		case <-running:
		case <-ctx.Done():
			return borrowResult{open: true}
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lastBorrow
}

func (b *localBalance) endBorrow(done chan struct{}, result borrowResult, others bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if others && result.complete && result.tokens == 0 {
		b.emptyBorrowAt, b.emptyBorrowNeed = now, result.need
	}
	result.endedAt = now
	b.lastBorrow = result
	b.borrowDone = nil
	close(done)
}

// recordReply records what an owner said about the account.
func (b *localBalance) recordReply(reply BorrowReply) {
	if reply.State == LoanNotOwner {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.scarce, b.gathered = reply.Scarce, reply.Gathered
}

// observeLoan updates the moving mean with the bound of a request on another
// router, which this router's own requests may not resemble.
func (b *localBalance) observeLoan(bound int64) {
	if bound > 0 {
		b.observeRequest(bound)
	}
}

// recordLent adds tokens to the use by other routers.
func (b *localBalance) recordLent(tokens int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lentUse.add(tokens)
}

// available returns the tokens that are not reserved.
func (b *localBalance) available() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.free
}

// isGathered reports whether one owner draws for all routers, by the ledger as last read or
// as an owner said.
func (b *localBalance) isGathered() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.gathered || b.ledgerBelow(gatherShare)
}

// ledgerBelow reports whether less than a share of the account is left by the ledger as last
// read. The lock is held.
func (b *localBalance) ledgerBelow(share float64) bool {
	return b.prepaid > 0 && float64(b.ledgerFree+b.free) < share*float64(b.prepaid)
}

// left tells borrowers whether the account is nearly used up, by the ledger as last read. It
// repeats nothing that others said, so that the state ends after more was paid.
func (b *localBalance) left() (scarce, gathered bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledgerBelow(scarceShare), b.ledgerBelow(gatherShare)
}
