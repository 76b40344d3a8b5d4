package prepaid

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Limits of loans.
const (
	// lendShare is the largest part of its local balance that a router lends while
	// the log is available, since it can then draw again.
	lendShare = 0.8
	// aheadShare limits what an owner lends beyond the need of waiting requests, as a part
	// of the tokens that are left. What dozens of routers hold ahead of their requests would
	// otherwise be missing at the owners when the account nears its end.
	aheadShare = 0.02
	// lendDrawTimeout is how long an owner waits for a draw before it replies with
	// fewer tokens than the borrower's requests need. An append takes about 10 ms
	// on a healthy log, and borrowers abandon calls after 120 ms.
	lendDrawTimeout = 80 * time.Millisecond
)

// BorrowArgs is the request for a loan of an account's tokens.
type BorrowArgs struct {
	Borrower string // incarnation of the borrower
	Account  string
	Want     int64   // tokens requested
	Need     int64   // part of Want that requests wait for
	Bound    int64   // bound of one of these requests
	Free     int64   // tokens that the borrower has available
	Rate     float64 // tokens per second that the borrower uses
	Owner    bool    // the borrower is an owner of the account
}

// LoanState is why a lender did not lend more.
type LoanState uint8

// States of a loan.
const (
	LoanOpen             LoanState = iota // the lender may have more later
	LoanShort                             // the ledger has no more tokens, by a recent read
	LoanLogUnavailable                    // the lender can't reach the log
	LoanReservedForSmall                  // the remaining tokens are reserved for smaller requests
	LoanNotOwner                          // the lender is not an owner of the account, or is still loading
)

// BorrowReply is the reply to a request for a loan.
type BorrowReply struct {
	Lender string // incarnation of the lender
	// Total is the number of the account's tokens that this incarnation has lent
	// to the borrower's incarnation in all. Since it only grows, the next reply
	// makes up for a lost one, and a repeated one changes nothing.
	Total  int64
	State  LoanState
	Scarce bool // the account is nearly used up
	// Gathered is set if so little is left that one owner draws for all routers.
	Gathered bool
}

// TransferArgs transfers tokens to a router that has not asked for them.
type TransferArgs struct {
	Giver    string           // incarnation of the sender
	Receiver string           // incarnation of the receiver; another one must not accept the tokens
	Totals   map[string]int64 // tokens sent to the receiver in all, by account
}

// Peers borrows tokens from other routers, and transfers tokens to them.
type Peers interface {
	// Fleet returns the known routers.
	Fleet() Fleet
	// Unreachable reports whether a router has left, or did not answer a call in the
	// last second.
	Unreachable(name string) bool
	// Borrow asks one router after the other: those named in first, then some of
	// the others if others is set. It calls receive with each reply, which returns
	// how many tokens are still wanted, and stops when none are. It reports
	// whether all routers that were to be asked have answered.
	Borrow(ctx context.Context, args BorrowArgs, first []string, others bool, receive func(BorrowReply) (more int64)) (complete bool)
	// Reclaim repeats the calls of Borrow to which a reply may have been lost, to those
	// routers that can be reached, without asking for more. It calls receive with each reply.
	Reclaim(ctx context.Context, borrower string, receive func(account string, reply BorrowReply))
	// Transfer sends tokens to one router: the first reachable one of those named
	// in first, or of the others if others is set. It calls args once with the
	// router's incarnation, and repeats the call until the router answers or ctx
	// ends. It returns false if no router is reachable. After an error, the router
	// may or may not have received the tokens.
	Transfer(ctx context.Context, first []string, others bool, args func(receiver string) TransferArgs) (sent bool, err error)
	// Copies asks the named routers at the same time for their copies of the ledger. It
	// calls receive with each reply, one at a time.
	Copies(ctx context.Context, names []string, args CopyArgs, receive func(name string, reply CopyReply))
	// Witness tells the named routers of entries that were written, and waits until one
	// of them has answered. It returns false if none does.
	Witness(ctx context.Context, names []string, args WitnessArgs) (WitnessReply, bool)
}

// Lend lends tokens of the local balance to another router. An owner draws more if
// the borrower's requests need them.
func (bs *LocalBalances) Lend(args BorrowArgs) BorrowReply {
	b := bs.balance(args.Account)
	_, isOwner := bs.owners(b)
	if isOwner {
		b.observeLoan(args.Bound)
	}
	lent, state := bs.lendFree(b, args)
	if isOwner && state == LoanOpen && lent < args.Need {
		more, newState := bs.lendDrawn(b, args, lent)
		lent, state = lent+more, newState
	}
	if !isOwner {
		state = LoanNotOwner
	}
	if lent > 0 {
		bs.events.Inc("lent")
		bs.log.Debug().Str("account", args.Account).Str("router", args.Borrower).Int64("tokens", lent).
			Int64("left", b.available()).Msg("tokens lent to another router")
	}
	scarce, gathered := b.left()
	return BorrowReply{
		Lender:   bs.incarnation,
		Total:    bs.sent.add(args.Borrower, args.Account, lent),
		State:    state,
		Scarce:   isOwner && scarce,
		Gathered: isOwner && gathered,
	}
}

// lendFree lends tokens that this router has. While the log is unavailable, owners
// split them such that their balances last equally long, and an owner's tokens go to
// waiting requests on any router in the order in which they ask. Otherwise an owner
// refuses large loans to reserve the last tokens for small requests, as it does for
// its own callers.
func (bs *LocalBalances) lendFree(b *localBalance, args BorrowArgs) (int64, LoanState) {
	away := bs.logUnavailable(b.account)
	b.mu.Lock()
	defer b.mu.Unlock()
	state, amount, want := LoanOpen, float64(b.free)*lendShare, args.Want
	if b.isOwner && !away {
		want = min(want, args.Need+int64(aheadShare*float64(max(b.ledgerFree+b.free, 0))))
	}
	switch {
	case away && b.isOwner && !args.Owner:
		state, amount, want = LoanLogUnavailable, float64(b.free), min(args.Need, args.Want)
	case away:
		state = LoanLogUnavailable
		// The rate of a borrower that has not used the account yet is estimated
		// from the tokens that it wants.
		otherRate := max(args.Rate, float64(args.Want)/outageHorizon.Seconds())
		keepShare := 0.5
		if b.ownUse.rate+otherRate > 0 {
			keepShare = b.ownUse.rate / (b.ownUse.rate + otherRate)
		}
		amount = float64(b.free) - keepShare*float64(b.free+args.Free)
	case b.isOwner && isReservedForSmall(b.ledgerFree+b.free, b.prepaid, args.Bound, b.meanBound):
		return 0, LoanReservedForSmall
	}
	lent := max(min(int64(amount), want), 0)
	b.free -= lent
	b.lentUse.add(lent)
	return lent, state
}

// lendDrawn draws tokens for a loan and lends them, until the need is met, the
// ledger has no more or lendDrawTimeout has passed.
func (bs *LocalBalances) lendDrawn(b *localBalance, args BorrowArgs, lent int64) (more int64, state LoanState) {
	ctx, cancel := context.WithTimeout(context.Background(), lendDrawTimeout)
	defer cancel()
	for {
		missing := args.Need - lent - more
		if bs.logUnavailable(b.account) {
			return more, LoanLogUnavailable
		}
		if b.shortageKnown(missing, time.Now()) {
			return more, LoanShort
		}
		changed := b.addWaiter(missing)
		bs.triggerRebalance(b.account)
		select {
		case <-changed:
		case <-ctx.Done():
		}
		b.removeWaiter(missing)
		part := b.withdraw(missing)
		b.recordLent(part)
		more += part
		if more+lent >= args.Need || ctx.Err() != nil {
			return more, LoanOpen
		}
	}
}

// errOtherIncarnation means that tokens were sent to an incarnation that has
// ended.
var errOtherIncarnation = errors.New("tokens were sent to another incarnation of this router")

// Receive adds the tokens that another router transfers.
func (bs *LocalBalances) Receive(args TransferArgs) error {
	if args.Receiver != bs.incarnation {
		return errOtherIncarnation
	}
	for account, total := range args.Totals {
		if gained := bs.received.raiseTo(args.Giver+"/transfer", account, total); gained > 0 {
			bs.balance(account).deposit(gained)
			bs.events.Inc("received")
			bs.log.Debug().Str("account", account).Str("router", args.Giver).Int64("tokens", gained).
				Msg("tokens received from another router")
		}
	}
	return nil
}

// giveBackTimeout bounds the transfer of tokens that a router does not need.
const giveBackTimeout = 250 * time.Millisecond

// giveBack transfers the tokens that this router would return, of the accounts for which it
// does not act as an owner, to one of their owners, and leaves out these changes. The owners
// can lend them again without an append.
func (bs *LocalBalances) giveBack(ctx context.Context, changes []plannedChange) []plannedChange {
	if bs.peers == nil {
		return changes
	}
	kept := changes[:0]
	byOwner := map[string]map[string]int64{} // tokens by account, by the owner that is asked first
	for _, d := range changes {
		owners, _ := bs.owners(d.balance)
		if d.change.Return == 0 || d.change.Owner || len(owners) == 0 {
			kept = append(kept, d)
			continue
		}
		if byOwner[owners[0]] == nil {
			byOwner[owners[0]] = map[string]int64{}
		}
		byOwner[owners[0]][d.change.Account] = d.change.Return
	}
	for _, tokens := range byOwner {
		bs.giveBackTo(ctx, tokens)
	}
	return kept
}

// giveBackTo transfers tokens to an owner of the accounts, which must have the same owners.
func (bs *LocalBalances) giveBackTo(ctx context.Context, tokens map[string]int64) {
	var owners []string
	for account := range tokens {
		owners, _ = bs.owners(bs.balance(account))
		break
	}
	ctx, cancel := context.WithTimeout(ctx, giveBackTimeout)
	defer cancel()
	sent, err := bs.transfer(ctx, owners, false, tokens)
	if !sent {
		for account, n := range tokens {
			bs.balance(account).deposit(n)
		}
		return
	}
	bs.events.Inc("gave_back")
	if err != nil {
		// The next transfer to the same incarnation makes up for this one.
		bs.events.Inc("give_back_unknown")
		bs.log.Info().Err(err).Int("accounts", len(tokens)).Msg("tokens were given back to an owner that did not answer")
	}
}

// transfer sends tokens, which the local balances no longer hold, to another
// router.
func (bs *LocalBalances) transfer(ctx context.Context, first []string, others bool, tokens map[string]int64) (sent bool, err error) {
	return bs.peers.Transfer(ctx, first, others, func(receiver string) TransferArgs {
		totals := make(map[string]int64, len(tokens))
		for account, n := range tokens {
			totals[account] = bs.given.add(receiver, account, n)
		}
		return TransferArgs{Giver: bs.incarnation, Receiver: receiver, Totals: totals}
	})
}
