package prepaid

import (
	"context"
	"sync"
	"time"
)

// lendShare is the largest part of its local balance that a router lends while
// the log is available, since it can then draw again.
const lendShare = 0.8

// BorrowArgs is the request for a loan of an account's tokens.
type BorrowArgs struct {
	Borrower string // incarnation of the borrower
	Account  string
	Want     int64   // tokens requested
	Free     int64   // tokens that the borrower has available
	Rate     float64 // tokens per second that the borrower uses
}

// BorrowReply is the reply to a request for a loan.
type BorrowReply struct {
	Lender string // incarnation of the lender
	// Total is the number of the account's tokens that this incarnation has lent
	// to the borrower's incarnation in all. Since it only grows, the next reply
	// makes up for a lost one, and a repeated one changes nothing.
	Total int64
}

// TransferArgs transfers tokens to a router that has not asked for them.
type TransferArgs struct {
	Giver  string           // incarnation of the sender
	Totals map[string]int64 // tokens sent to the receiver in all, by account
}

// Peers borrows tokens from other routers, and transfers local balances to them
// when this router stops.
type Peers interface {
	// Fleet returns the known routers.
	Fleet() Fleet
	// Borrow asks one router after the other: those named in first, then the
	// others if all is set. It calls receive with each reply, which returns how
	// many tokens are still wanted, and stops when none are. It reports whether
	// all routers that were to be asked have answered.
	Borrow(ctx context.Context, args BorrowArgs, first []string, all bool, receive func(BorrowReply) (more int64)) (complete bool)
	// Transfer sends tokens to one router. After an error, the router may or may
	// not have received them.
	Transfer(ctx context.Context, args TransferArgs) error
}

// transfers counts the tokens transferred between this incarnation and others, by
// the other incarnation and account.
type transfers struct {
	mu     sync.Mutex // guards totals
	totals map[transfer]int64
}

type transfer struct {
	incarnation, account string
}

func newTransfers() *transfers {
	return &transfers{totals: map[transfer]int64{}}
}

// add adds to a total and returns it.
func (t *transfers) add(incarnation, account string, tokens int64) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := transfer{incarnation, account}
	t.totals[key] += tokens
	return t.totals[key]
}

// raiseTo raises a total to the given value if it is lower, and returns the
// increase.
func (t *transfers) raiseTo(incarnation, account string, total int64) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := transfer{incarnation, account}
	gained := max(total-t.totals[key], 0)
	t.totals[key] += gained
	return gained
}

// Lend lends tokens of the local balance to another router. While the log is
// unavailable, it splits the tokens such that both routers' balances last equally
// long. Otherwise an owner refuses large loans to reserve the last tokens for
// small requests, as it does for its own callers.
func (bs *LocalBalances) Lend(args BorrowArgs) BorrowReply {
	b := bs.balance(args.Account)
	b.mu.Lock()
	defer b.mu.Unlock()
	amount := float64(b.free) * lendShare
	if bs.ledger.Unavailable() {
		// The rate of a borrower that has not used the account yet is estimated
		// from the tokens that it wants.
		otherRate := max(args.Rate, float64(args.Want)/outageHorizon.Seconds())
		keepShare := 0.5
		if b.ownUse.rate+otherRate > 0 {
			keepShare = b.ownUse.rate / (b.ownUse.rate + otherRate)
		}
		amount = float64(b.free) - keepShare*float64(b.free+args.Free)
	} else if b.isOwner && b.meanBound > 0 && isReservedForSmall(b.ledgerFree+b.free, b.prepaid, args.Want, b.meanBound) {
		amount = 0
	}
	lent := max(min(int64(amount), args.Want), 0)
	b.free -= lent
	b.lentUse.add(lent)
	if lent > 0 {
		bs.events.Inc("lent")
		bs.log.Info().Str("account", args.Account).Str("router", args.Borrower).Int64("tokens", lent).
			Int64("left", b.free).Msg("tokens lent to another router")
	}
	return BorrowReply{Lender: bs.ledger.incarnation, Total: bs.sent.add(args.Borrower, args.Account, lent)}
}

// Receive adds the tokens that another router transfers when it stops.
func (bs *LocalBalances) Receive(args TransferArgs) {
	for account, total := range args.Totals {
		if gained := bs.received.raiseTo(args.Giver+"/stop", account, total); gained > 0 {
			bs.balance(account).deposit(gained)
			bs.log.Info().Str("account", account).Str("router", args.Giver).Int64("tokens", gained).
				Msg("tokens received from a stopping router")
		}
	}
}

// borrowHorizon is how long borrowed tokens should last. A call costs little, but
// not each request should need one.
const borrowHorizon = 2 * time.Second

// borrow borrows tokens from the account's owners, and from all other routers if
// all is set. Concurrent requests share the calls.
func (bs *LocalBalances) borrow(ctx context.Context, b *localBalance, tokens int64, all bool) {
	if bs.peers == nil {
		return
	}
	owners, _ := bs.owners(b)
	args, done := b.beginBorrow(tokens, bs.ledger.incarnation)
	if done == nil {
		b.awaitBorrow(ctx)
		return
	}
	want := args.Want
	complete := bs.peers.Borrow(ctx, args, owners, all, func(reply BorrowReply) int64 {
		received := bs.received.raiseTo(reply.Lender, b.account, reply.Total)
		want -= received
		if received > 0 {
			b.deposit(received)
			bs.events.Inc("borrowed")
			bs.log.Info().Str("account", b.account).Str("router", reply.Lender).Int64("tokens", received).Msg("tokens borrowed")
		}
		return want
	})
	b.endBorrow(done, all && complete && want == args.Want, tokens)
}

// beginBorrow returns the request to send, and the channel that endBorrow closes.
// The channel is nil if a call is in progress, or if a recent call to all routers
// yielded no tokens.
func (b *localBalance) beginBorrow(tokens int64, incarnation string) (BorrowArgs, chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	recentlyEmpty := time.Since(b.emptyBorrowAt) <= shortageTTL && tokens-b.free >= b.emptyBorrowNeed
	if b.borrowDone != nil || recentlyEmpty {
		return BorrowArgs{}, nil
	}
	b.borrowDone = make(chan struct{})
	return BorrowArgs{
		Borrower: incarnation,
		Account:  b.account,
		Want:     tokens - b.free + int64(b.ownUse.rate*borrowHorizon.Seconds()),
		Free:     b.free,
		Rate:     b.ownUse.rate,
	}, b.borrowDone
}

// awaitBorrow waits for the calls in progress, if any.
func (b *localBalance) awaitBorrow(ctx context.Context) {
	b.mu.Lock()
	running := b.borrowDone
	b.mu.Unlock()
	if running == nil {
		return
	}
	select {
	case <-running:
	case <-ctx.Done():
	}
}

func (b *localBalance) endBorrow(done chan struct{}, empty bool, tokens int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if empty {
		b.emptyBorrowAt, b.emptyBorrowNeed = time.Now(), tokens-b.free
	}
	b.borrowDone = nil
	close(done)
}
