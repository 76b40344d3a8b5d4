package prepaid

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/camphorlever/camphorlever/internal/catalog"
	"github.com/camphorlever/camphorlever/internal/counter"
)

// Times of requests that wait for tokens.
const (
	// waitForDraw is how long a request waits for tokens: an append and its
	// repetition on a healthy log take some 30 ms, on a slow one 300 ms.
	waitForDraw = 350 * time.Millisecond
	// askOthersAfter is how long a request waits for a draw before it asks all
	// other routers: longer than an append and its repetition take on a healthy
	// log.
	askOthersAfter = 100 * time.Millisecond
	// askHomesFor is how long a router that is not a home waits for the homes: a
	// call takes some milliseconds.
	askHomesFor = 100 * time.Millisecond
	// proofAge is how long a verdict of the ledger stands without another look.
	proofAge = 250 * time.Millisecond
	// keptAge is how old the view of the ledger may be by which tokens are kept
	// for smaller requests: other routers may have given some back. One read a
	// second is little beside the draws.
	keptAge = time.Second
)

// Outcome is the result of asking for tokens.
type Outcome uint8

// Outcomes of Acquire.
const (
	Granted          Outcome = iota
	Exhausted                // neither the ledger nor the other routers have them
	Unreachable              // it cannot be known now
	ReservedForSmall         // what is left is kept for smaller requests
)

// String names the outcome for logs.
func (o Outcome) String() string {
	return [...]string{"granted", "exhausted", "unreachable", "kept for smaller requests"}[o]
}

// AccountView is what a router knows of an account.
type AccountView struct {
	LocalBalance   int64         // free in this router's hand
	LedgerFree     int64         // left for anybody to draw, as last read
	LedgerAge      time.Duration // of that
	LogUnavailable time.Duration // for which the log has not answered; zero if it does
}

// View returns what the router knows of an account.
func (g *LocalBalances) View(account string) AccountView {
	h := g.hand(account)
	h.mu.Lock()
	defer h.mu.Unlock()
	return AccountView{LocalBalance: h.free, LedgerFree: h.left, LedgerAge: time.Since(h.seen), LogUnavailable: g.ledger.UnavailableFor()}
}

// LocalBalances is what a router holds of all accounts. It is safe for concurrent use.
type LocalBalances struct {
	ledger   *Ledger
	settings func() *catalog.Settings
	peers    Peers // nil if there are none
	log      zerolog.Logger
	events   *counter.Set
	kick     chan struct{}

	mu     sync.Mutex // guards the map; hands have their own locks
	hands  map[string]*hand
	loaded chan struct{} // closed once the ledger was read

	unsure atomic.Bool // a request wants the ledger to be read

	given  *transfers // to other routers
	gotten *transfers // from other routers
}

// NewLocalBalances returns empty hands. The peers may be nil.
func NewLocalBalances(ledger *Ledger, settings func() *catalog.Settings, peers Peers, log zerolog.Logger) *LocalBalances {
	return &LocalBalances{
		ledger:   ledger,
		settings: settings,
		peers:    peers,
		log:      log.With().Str("part", "budget").Logger(),
		events:   counter.NewSet("budget"),
		kick:     make(chan struct{}, 1),
		hands:    map[string]*hand{},
		loaded:   make(chan struct{}),
		given:    newTransfers(),
		gotten:   newTransfers(),
	}
}

// UnavailableFor returns for how long the log has not answered; zero if it does.
func (g *LocalBalances) UnavailableFor() time.Duration {
	return g.ledger.UnavailableFor()
}

// Loaded is closed once it is known what was drawn of the accounts.
func (g *LocalBalances) Loaded() <-chan struct{} {
	return g.loaded
}

func (g *LocalBalances) hand(account string) *hand {
	g.mu.Lock()
	defer g.mu.Unlock()
	h := g.hands[account]
	if h == nil {
		h = newHand(account)
		g.hands[account] = h
	}
	return h
}

// Acquire sets tokens of an account aside. If there are too few in hand it
// waits a little for a draw, and asks other routers where a draw cannot help.
func (g *LocalBalances) Reserve(ctx context.Context, account string, tokens int64) (*Reservation, Outcome) {
	h := g.hand(account)
	h.asked(tokens)
	if h.take(tokens) {
		return &Reservation{hand: h, tokens: tokens}, Granted
	}
	ctx, cancel := context.WithTimeout(ctx, waitForDraw)
	defer cancel()
	if _, home := g.homes(h); !home {
		g.borrowNear(ctx, h, tokens)
	}
	asked, begun := false, time.Now()
	for !h.take(tokens) {
		away := g.ledger.Unavailable()
		switch {
		case !away && h.kept(tokens):
			if !g.look(ctx, h) {
				return nil, g.refused(Unreachable)
			}
			if h.kept(tokens) {
				return nil, g.refused(ReservedForSmall)
			}
			continue
		case away || h.short(tokens, time.Now()):
			return g.lastResort(ctx, h, tokens, away)
		case ctx.Err() != nil:
			return nil, g.refused(Unreachable)
		case !asked && time.Since(begun) >= askOthersAfter:
			asked = true
			g.borrow(ctx, h, tokens, true)
			continue
		}
		limit := waitForDraw
		if !asked {
			limit = askOthersAfter - time.Since(begun)
		}
		g.await(ctx, h, tokens, limit)
	}
	return &Reservation{hand: h, tokens: tokens}, Granted
}

// borrowNear asks the homes of an account. Homes that died lately do not answer;
// there must be time left for a draw then.
func (g *LocalBalances) borrowNear(ctx context.Context, h *hand, tokens int64) {
	ctx, cancel := context.WithTimeout(ctx, askHomesFor)
	defer cancel()
	g.borrow(ctx, h, tokens, false)
}

// look makes the view of an account fresh. It reports whether it is.
func (g *LocalBalances) look(ctx context.Context, h *hand) bool {
	if h.age(time.Now()) <= keptAge {
		return true
	}
	looked := h.nextLook(time.Now())
	g.unsure.Store(true)
	g.wakeUp()
	select {
	case <-looked:
		return true
	case <-ctx.Done():
		return false
	}
}

// wakeUp lets Run look at the hands now.
func (g *LocalBalances) wakeUp() {
	select {
	case g.kick <- struct{}{}:
	default:
	}
}

// lastResort asks all other routers where a draw cannot help.
func (g *LocalBalances) lastResort(ctx context.Context, h *hand, tokens int64, away bool) (*Reservation, Outcome) {
	g.borrow(ctx, h, tokens, true)
	switch {
	case h.take(tokens):
		return &Reservation{hand: h, tokens: tokens}, Granted
	case away:
		return nil, g.refused(Unreachable)
	default:
		return nil, g.refused(Exhausted)
	}
}

// await asks for a draw and waits until tokens come into a hand or a verdict on
// them, or the time or ctx is over.
func (g *LocalBalances) await(ctx context.Context, h *hand, tokens int64, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	changed := h.join(tokens)
	defer h.leave(tokens)
	g.wakeUp()
	select {
	case <-changed:
	case <-ctx.Done():
	}
}

func (g *LocalBalances) refused(o Outcome) Outcome {
	g.events.Inc("refused_" + strings.ReplaceAll(o.String(), " ", "_"))
	return o
}

// short reports whether the ledger has lately shown that it does not have the
// tokens that a request lacks.
func (h *hand) short(tokens int64, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.shortAt.IsZero() && now.Sub(h.shortAt) <= proofAge && tokens > h.free+h.shortOf
}

// join adds a request to those that wait and returns what tells of new tokens.
func (h *hand) join(tokens int64) <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.waiters++
	h.need += tokens
	return h.changed
}

func (h *hand) leave(tokens int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.waiters--
	h.need -= tokens
}

// Reservation is tokens that are set aside for one request.
type Reservation struct {
	hand   *hand
	tokens int64
	once   sync.Once
}

// Settle ends the hold with the tokens that were used; the rest is in hand
// again at once.
func (h *Reservation) Settle(used int64) {
	h.once.Do(func() { h.hand.settle(h.tokens, used) })
}
