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

// Timeouts of requests that wait for tokens.
const (
	// drawTimeout is how long a request waits for tokens. An append and its
	// retry take about 30 ms on a healthy log and 300 ms on a slow one.
	drawTimeout = 350 * time.Millisecond
	// borrowFromAllAfter is how long a request waits for a draw before it asks
	// all other routers. An append and its retry take less on a healthy log.
	borrowFromAllAfter = 100 * time.Millisecond
	// ownerBorrowTimeout is how long a router that is not an owner waits for the
	// owners. A call takes a few milliseconds.
	ownerBorrowTimeout = 100 * time.Millisecond
	// shortageTTL is how long a recorded shortage, or a call to all routers that
	// yielded nothing, holds before it is checked again.
	shortageTTL = 250 * time.Millisecond
	// maxLedgerAge is the maximum age of the ledger data by which a request is
	// refused in favour of smaller ones: other routers may have returned tokens
	// since. One read per second costs little compared with the draws.
	maxLedgerAge = time.Second
)

// Outcome is the result of a reservation attempt.
type Outcome uint8

// Outcomes of Reserve.
const (
	Granted          Outcome = iota
	Exhausted                // neither the ledger nor the other routers have the tokens
	Unreachable              // the ledger or the routers did not answer in time
	ReservedForSmall         // the remaining tokens are reserved for smaller requests
)

// String returns the name of the outcome, which log lines and, with underscores,
// metrics use.
func (o Outcome) String() string {
	return [...]string{"granted", "exhausted", "unreachable", "kept for smaller requests"}[o]
}

// AccountView is a router's view of an account, in tokens.
type AccountView struct {
	LocalBalance   int64         // held by this router and not reserved
	LedgerFree     int64         // available to any router's draw, as last read
	LedgerAge      time.Duration // age of LedgerFree
	LogUnavailable time.Duration // how long the log has not answered; zero if it answers
}

// View returns the router's view of an account.
func (bs *LocalBalances) View(account string) AccountView {
	b := bs.balance(account)
	b.mu.Lock()
	defer b.mu.Unlock()
	return AccountView{LocalBalance: b.free, LedgerFree: b.ledgerFree, LedgerAge: time.Since(b.ledgerReadAt), LogUnavailable: bs.ledger.UnavailableFor()}
}

// LocalBalances holds the local balances of a router, one per account. It is
// safe for concurrent use.
type LocalBalances struct {
	ledger   *Ledger
	settings func() *catalog.Settings
	peers    Peers // nil if there are no other routers
	log      zerolog.Logger
	events   *counter.Set
	wakeup   chan struct{}

	mu       sync.Mutex // guards the map; each balance has its own lock
	balances map[string]*localBalance
	loaded   chan struct{} // closed once the ledger was loaded

	needsRefresh atomic.Bool // a request needs a fresh read of the ledger

	sent     *transfers // tokens lent to other routers
	received *transfers // tokens borrowed or received from other routers
}

// NewLocalBalances returns empty local balances. The peers may be nil.
func NewLocalBalances(ledger *Ledger, settings func() *catalog.Settings, peers Peers, log zerolog.Logger) *LocalBalances {
	return &LocalBalances{
		ledger:   ledger,
		settings: settings,
		peers:    peers,
		log:      log.With().Str("part", "budget").Logger(),
		events:   counter.NewSet("budget"),
		wakeup:   make(chan struct{}, 1),
		balances: map[string]*localBalance{},
		loaded:   make(chan struct{}),
		sent:     newTransfers(),
		received: newTransfers(),
	}
}

// UnavailableFor returns how long the log has not answered; zero if it answers.
func (bs *LocalBalances) UnavailableFor() time.Duration {
	return bs.ledger.UnavailableFor()
}

// Loaded returns a channel that is closed once the ledger was loaded.
func (bs *LocalBalances) Loaded() <-chan struct{} {
	return bs.loaded
}

func (bs *LocalBalances) balance(account string) *localBalance {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	b := bs.balances[account]
	if b == nil {
		b = newLocalBalance(account)
		bs.balances[account] = b
	}
	return b
}

// Reserve reserves tokens of an account for a request. If the local balance has
// too few, it waits up to drawTimeout for a draw, and borrows from other routers
// if a draw can't help. The reservation is nil unless the outcome is Granted.
func (bs *LocalBalances) Reserve(ctx context.Context, account string, tokens int64) (*Reservation, Outcome) {
	b := bs.balance(account)
	b.observeRequest(tokens)
	if b.reserve(tokens) {
		return &Reservation{balance: b, tokens: tokens}, Granted
	}
	ctx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	if _, isOwner := bs.owners(b); !isOwner {
		bs.borrowFromOwners(ctx, b, tokens)
	}
	askedAll, started := false, time.Now()
	for !b.reserve(tokens) {
		unavailable := bs.ledger.Unavailable()
		switch {
		case !unavailable && b.reservedForSmall(tokens):
			if !bs.ensureFreshLedger(ctx, b) {
				return nil, bs.countRefusal(Unreachable)
			}
			if b.reservedForSmall(tokens) {
				return nil, bs.countRefusal(ReservedForSmall)
			}
			continue
		case unavailable || b.shortageKnown(tokens, time.Now()):
			return bs.borrowFromAll(ctx, b, tokens, unavailable)
		case ctx.Err() != nil:
			return nil, bs.countRefusal(Unreachable)
		case !askedAll && time.Since(started) >= borrowFromAllAfter:
			askedAll = true
			bs.borrow(ctx, b, tokens, true)
			continue
		}
		limit := drawTimeout
		if !askedAll {
			limit = borrowFromAllAfter - time.Since(started)
		}
		bs.awaitDraw(ctx, b, tokens, limit)
	}
	return &Reservation{balance: b, tokens: tokens}, Granted
}

// borrowFromOwners borrows from the owners of an account. Owners that crashed
// recently do not answer, so the timeout leaves time for a draw.
func (bs *LocalBalances) borrowFromOwners(ctx context.Context, b *localBalance, tokens int64) {
	ctx, cancel := context.WithTimeout(ctx, ownerBorrowTimeout)
	defer cancel()
	bs.borrow(ctx, b, tokens, false)
}

// ensureFreshLedger waits until the ledger data of an account is at most
// maxLedgerAge old. It returns false if ctx ended first.
func (bs *LocalBalances) ensureFreshLedger(ctx context.Context, b *localBalance) bool {
	if b.ledgerAge(time.Now()) <= maxLedgerAge {
		return true
	}
	ledgerRead := b.nextLedgerRead(time.Now())
	bs.needsRefresh.Store(true)
	bs.triggerRebalance()
	select {
	case <-ledgerRead:
		return true
	case <-ctx.Done():
		return false
	}
}

// triggerRebalance makes Run start its next round now.
func (bs *LocalBalances) triggerRebalance() {
	select {
	case bs.wakeup <- struct{}{}:
	default:
	}
}

// borrowFromAll borrows from all other routers if a draw can't help.
func (bs *LocalBalances) borrowFromAll(ctx context.Context, b *localBalance, tokens int64, unavailable bool) (*Reservation, Outcome) {
	bs.borrow(ctx, b, tokens, true)
	switch {
	case b.reserve(tokens):
		return &Reservation{balance: b, tokens: tokens}, Granted
	case unavailable:
		return nil, bs.countRefusal(Unreachable)
	default:
		return nil, bs.countRefusal(Exhausted)
	}
}

// awaitDraw triggers a draw and waits until tokens arrive, a shortage is
// recorded, the limit has passed or ctx ends.
func (bs *LocalBalances) awaitDraw(ctx context.Context, b *localBalance, tokens int64, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	changed := b.addWaiter(tokens)
	defer b.removeWaiter(tokens)
	bs.triggerRebalance()
	select {
	case <-changed:
	case <-ctx.Done():
	}
}

func (bs *LocalBalances) countRefusal(o Outcome) Outcome {
	bs.events.Inc("refused_" + strings.ReplaceAll(o.String(), " ", "_"))
	return o
}

// shortageKnown reports whether a recent read has shown that the ledger does not
// have the tokens that a request lacks.
func (b *localBalance) shortageKnown(tokens int64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.shortageAt.IsZero() && now.Sub(b.shortageAt) <= shortageTTL && tokens > b.free+b.shortageFree
}

// addWaiter registers a waiting request. The returned channel is closed when
// tokens arrive or a shortage is recorded.
func (b *localBalance) addWaiter(tokens int64) <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiters++
	b.waitingTokens += tokens
	return b.changed
}

func (b *localBalance) removeWaiter(tokens int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiters--
	b.waitingTokens -= tokens
}

// Reservation is tokens that are reserved for one request.
type Reservation struct {
	balance *localBalance
	tokens  int64
	once    sync.Once
}

// Settle ends the reservation with the tokens that were used. The rest goes back
// to the local balance at once. Only the first call has an effect.
func (r *Reservation) Settle(used int64) {
	r.once.Do(func() { r.balance.settle(r.tokens, used) })
}
