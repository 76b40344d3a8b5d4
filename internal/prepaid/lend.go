package prepaid

import (
	"context"
	"sync"
	"time"
)

// lendShare is the part of its hand that a router gives at most while it can
// draw again at once.
const lendShare = 0.8

// BorrowArgs asks another router for tokens of an account.
type BorrowArgs struct {
	Borrower string // life of the asking router
	Account  string
	Want     int64
	Free     int64   // what the asking router has in hand
	Rate     float64 // tokens a second that it uses
}

// BorrowReply says what the lender has given so far.
type BorrowReply struct {
	Lender string // its life
	// Total is all that this life has given to the borrower's life of the
	// account. Since it only grows, the next reply makes up for a lost one, and
	// a repeated one changes nothing.
	Total int64
}

// TransferArgs hands tokens over to another router, without being asked.
type TransferArgs struct {
	Giver  string           // its life
	Totals map[string]int64 // by account, all that it has given to the receiver
}

// Peers asks other routers for tokens, and hands over what is left at a stop.
type Peers interface {
	// Fleet returns the routers, as far as they are known.
	Fleet() Fleet
	// Borrow asks one router after the other, those named first, and the others
	// only if all is set. It calls take with each reply until nothing more is
	// wanted. It reports whether all that were to be asked have answered.
	Borrow(ctx context.Context, args BorrowArgs, first []string, all bool, take func(BorrowReply) (more int64)) (complete bool)
	// Transfer hands tokens to one router. An error means that no router may have
	// them.
	Transfer(ctx context.Context, args TransferArgs) error
}

// transfers remembers totals of tokens that changed hands between two lives.
type transfers struct {
	mu     sync.Mutex // guards totals
	totals map[transfer]int64
}

type transfer struct {
	life, account string
}

func newTransfers() *transfers {
	return &transfers{totals: map[transfer]int64{}}
}

// add adds to a total and returns it.
func (t *transfers) add(life, account string, tokens int64) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := transfer{life, account}
	t.totals[key] += tokens
	return t.totals[key]
}

// raise sets a total if it is higher than before, and returns by how much.
func (t *transfers) raise(life, account string, total int64) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := transfer{life, account}
	gained := max(total-t.totals[key], 0)
	t.totals[key] += gained
	return gained
}

// Lend takes tokens out of hand for another router. While the log is away, it
// keeps as much as makes both last equally long; otherwise a home keeps the last
// tokens for small requests, here as for its own callers.
func (g *LocalBalances) Lend(args BorrowArgs) BorrowReply {
	h := g.hand(args.Account)
	h.mu.Lock()
	defer h.mu.Unlock()
	give := float64(h.free) * lendShare
	if g.ledger.Unavailable() {
		// A router that has not used the account yet counts by what it wants.
		other := max(args.Rate, float64(args.Want)/horizon.Seconds())
		keep := 0.5
		if h.own.rate+other > 0 {
			keep = h.own.rate / (h.own.rate + other)
		}
		give = float64(h.free) - keep*float64(h.free+args.Free)
	} else if h.home && h.mean > 0 && keeps(h.left+h.free, h.prepaid, args.Want, h.mean) {
		give = 0
	}
	given := max(min(int64(give), args.Want), 0)
	h.free -= given
	h.lent.add(given)
	if given > 0 {
		g.events.Inc("lent")
		g.log.Info().Str("account", args.Account).Str("router", args.Borrower).Int64("tokens", given).
			Int64("left", h.free).Msg("tokens lent to a router")
	}
	return BorrowReply{Lender: g.ledger.life, Total: g.given.add(args.Borrower, args.Account, given)}
}

// Receive takes over tokens that another router hands over at its stop.
func (g *LocalBalances) Receive(args TransferArgs) {
	for account, total := range args.Totals {
		if gained := g.gotten.raise(args.Giver+"/stop", account, total); gained > 0 {
			g.hand(account).give(gained)
			g.log.Info().Str("account", account).Str("router", args.Giver).Int64("tokens", gained).
				Msg("tokens received from a router that stops")
		}
	}
}

// borrowSpan is for how long borrowed tokens should last: a call costs little,
// but not each request should make one.
const borrowSpan = 2 * time.Second

// borrow asks the account's homes for tokens, and all other routers if all is
// set. Requests that come meanwhile share the call.
func (g *LocalBalances) borrow(ctx context.Context, h *hand, tokens int64, all bool) {
	if g.peers == nil {
		return
	}
	homes, _ := g.homes(h)
	args, done := h.beginBorrow(tokens, g.ledger.life)
	if done == nil {
		h.awaitBorrow(ctx)
		return
	}
	want := args.Want
	complete := g.peers.Borrow(ctx, args, homes, all, func(reply BorrowReply) int64 {
		got := g.gotten.raise(reply.Lender, h.account, reply.Total)
		want -= got
		if got > 0 {
			h.give(got)
			g.events.Inc("borrowed")
			g.log.Info().Str("account", h.account).Str("router", reply.Lender).Int64("tokens", got).Msg("tokens borrowed")
		}
		return want
	})
	h.endBorrow(done, all && complete && want == args.Want, tokens)
}

// beginBorrow returns what to ask for, and a channel to close after the call;
// nil if a call is in progress, or one of late was in vain.
func (h *hand) beginBorrow(tokens int64, life string) (BorrowArgs, chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	inVain := time.Since(h.vainAt) <= proofAge && tokens-h.free >= h.vainFor
	if h.borrowing != nil || inVain {
		return BorrowArgs{}, nil
	}
	h.borrowing = make(chan struct{})
	return BorrowArgs{
		Borrower: life,
		Account:  h.account,
		Want:     tokens - h.free + int64(h.own.rate*borrowSpan.Seconds()),
		Free:     h.free,
		Rate:     h.own.rate,
	}, h.borrowing
}

// awaitBorrow waits for the call in progress, if there is one.
func (h *hand) awaitBorrow(ctx context.Context) {
	h.mu.Lock()
	running := h.borrowing
	h.mu.Unlock()
	if running == nil {
		return
	}
	select {
	case <-running:
	case <-ctx.Done():
	}
}

func (h *hand) endBorrow(done chan struct{}, inVain bool, tokens int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if inVain {
		h.vainAt, h.vainFor = time.Now(), tokens-h.free
	}
	h.borrowing = nil
	close(done)
}
