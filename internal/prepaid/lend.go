package prepaid

import (
	"context"
	"time"
)

// lendShare is the part of its hand that a router gives at most while it can
// draw again at once.
const lendShare = 0.8

// BorrowArgs asks another router for tokens of an account.
type BorrowArgs struct {
	Account string
	Want    int64
	Free    int64   // what the asking router has in hand
	Rate    float64 // tokens a second that it uses
}

// BorrowReply says how many tokens change hands.
type BorrowReply struct {
	Given int64
}

// Peers asks other routers for tokens. What it returns is this router's.
type Peers interface {
	Borrow(ctx context.Context, args BorrowArgs) int64
}

// Lend takes tokens out of hand for another router. While the log is away, it
// keeps as much as makes both last equally long.
func (g *Hands) Lend(args BorrowArgs) BorrowReply {
	h := g.hand(args.Account)
	h.mu.Lock()
	defer h.mu.Unlock()
	give := float64(h.free) * lendShare
	if g.ledger.Away() {
		keep := 0.5
		if h.rate+args.Rate > 0 {
			keep = h.rate / (h.rate + args.Rate)
		}
		give = float64(h.free) - keep*float64(h.free+args.Free)
	}
	given := max(min(int64(give), args.Want), 0)
	h.free -= given
	if given > 0 {
		g.events.Inc("lent")
		g.log.Info().Str("account", args.Account).Int64("tokens", given).Int64("left", h.free).Msg("tokens lent to a router")
	}
	return BorrowReply{Given: given}
}

// borrowSpan is for how long borrowed tokens should last: a call costs little,
// but not each request should make one.
const borrowSpan = 2 * time.Second

// borrow asks the other routers for tokens. Requests that come meanwhile share
// the call.
func (g *Hands) borrow(ctx context.Context, h *hand, tokens int64) {
	if g.peers == nil {
		return
	}
	h.mu.Lock()
	if running := h.borrowing; running != nil {
		h.mu.Unlock()
		select {
		case <-running:
		case <-ctx.Done():
		}
		return
	}
	done := make(chan struct{})
	h.borrowing = done
	args := BorrowArgs{
		Account: h.account,
		Want:    tokens - h.free + int64(h.rate*borrowSpan.Seconds()),
		Free:    h.free,
		Rate:    h.rate,
	}
	h.mu.Unlock()
	got := g.peers.Borrow(ctx, args)
	if got > 0 {
		g.events.Inc("borrowed")
		g.log.Info().Str("account", h.account).Int64("tokens", got).Msg("tokens borrowed")
	}
	h.mu.Lock()
	h.free += got
	h.borrowing = nil
	h.wake()
	h.mu.Unlock()
	close(done)
}
