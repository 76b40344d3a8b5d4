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
	"github.com/camphorlever/camphorlever/internal/logservice"
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
	view := AccountView{LocalBalance: b.free, LedgerFree: b.ledgerFree, LedgerAge: time.Since(b.ledgerReadAt)}
	if s := bs.shardOf(account); s != nil {
		view.LogUnavailable = s.ledger.UnavailableFor()
	}
	return view
}

// LocalBalances holds the local balances of a router, one per account. It is
// safe for concurrent use.
type LocalBalances struct {
	ledgerLog   Log
	streams     Streams
	incarnation string
	settings    func() *catalog.Settings
	peers       Peers // nil if there are no other routers
	log         zerolog.Logger
	events      *counter.Set
	shards      atomic.Pointer[[]*shard] // nil until the layout was loaded
	accounts    atomic.Pointer[accountsByShard]
	settling    settling
	pauses      pauseDetector
	logGap      func(era logservice.Era) time.Duration // nil if unknown

	mu       sync.Mutex // guards the map; each balance has its own lock
	balances map[string]*localBalance
	loaded   chan struct{} // closed once the ledger was loaded

	sent     *transfers // tokens lent to other routers
	given    *transfers // tokens given to other routers that did not ask for them
	received *transfers // tokens borrowed or received from other routers
}

// NewLocalBalances returns empty local balances for one incarnation of a router.
// The name of the incarnation must be unique for all time and begin with the node's
// name and a slash. The peers may be nil.
func NewLocalBalances(ledgerLog Log, streams Streams, incarnation string, settings func() *catalog.Settings, peers Peers, log zerolog.Logger) *LocalBalances {
	return &LocalBalances{
		ledgerLog:   ledgerLog,
		streams:     streams,
		incarnation: incarnation,
		settings:    settings,
		peers:       peers,
		log:         log.With().Str("part", "budget").Logger(),
		events:      counter.NewSet("budget"),
		balances:    map[string]*localBalance{},
		loaded:      make(chan struct{}),
		sent:        newTransfers(),
		given:       newTransfers(),
		received:    newTransfers(),
	}
}

// UnavailableFor returns how long a part of the log has not answered; zero if it
// answers.
func (bs *LocalBalances) UnavailableFor() time.Duration {
	longest := time.Duration(0)
	if shards := bs.shards.Load(); shards != nil {
		for _, s := range *shards {
			longest = max(longest, s.ledger.UnavailableFor())
		}
	}
	return longest
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
// too few, an owner waits up to drawTimeout for a draw and borrows from other
// routers if a draw can't help; another router borrows from the owners, and draws
// only if none of them answers. The reservation is nil unless the outcome is
// Granted.
func (bs *LocalBalances) Reserve(ctx context.Context, account string, tokens int64) (*Reservation, Outcome) {
	b := bs.balance(account)
	b.observeRequest(tokens)
	outcome := Granted
	if !b.reserve(tokens) {
		outcome = bs.awaitTokens(ctx, b, tokens)
	}
	if outcome != Granted {
		return nil, bs.countRefusal(outcome)
	}
	return &Reservation{balance: b, tokens: tokens}, Granted
}

// awaitTokens gets tokens for a request that the local balance doesn't cover, and
// reserves them if the outcome is Granted.
func (bs *LocalBalances) awaitTokens(ctx context.Context, b *localBalance, tokens int64) Outcome {
	ctx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	b.addWaiter(tokens)
	defer b.removeWaiter(tokens)
	if _, isOwner := bs.owners(b); !isOwner {
		if outcome, decided := bs.reserveFromOwners(ctx, b, tokens); decided {
			return outcome
		}
		b.addDrawWaiter()
		defer b.removeDrawWaiter()
	}
	return bs.reserveByDraw(ctx, b, tokens)
}

// reserveByDraw waits for a draw of this router, and borrows from other routers if
// the draw takes long or the ledger has too few tokens.
func (bs *LocalBalances) reserveByDraw(ctx context.Context, b *localBalance, tokens int64) Outcome {
	askedAll, started := false, time.Now()
	for !b.reserve(tokens) {
		unavailable := bs.logUnavailable(b.account)
		switch {
		case !unavailable && b.reservedForSmall(tokens):
			if !bs.ensureFreshLedger(ctx, b) {
				return Unreachable
			}
			if b.reservedForSmall(tokens) {
				return ReservedForSmall
			}
			continue
		case unavailable || b.shortageKnown(tokens, time.Now()):
			return bs.borrowFromAll(ctx, b, tokens, unavailable)
		case ctx.Err() != nil:
			return Unreachable
		case !askedAll && time.Since(started) >= borrowFromAllAfter:
			askedAll = true
			bs.borrow(ctx, b, tokens, true)
			continue
		}
		limit := drawTimeout
		if !askedAll {
			limit = borrowFromAllAfter - time.Since(started)
		}
		bs.awaitDraw(ctx, b, limit)
	}
	return Granted
}

// ensureFreshLedger waits until the ledger data of an account is at most
// maxLedgerAge old. It returns false if ctx ended first.
func (bs *LocalBalances) ensureFreshLedger(ctx context.Context, b *localBalance) bool {
	if b.ledgerAge(time.Now()) <= maxLedgerAge {
		return true
	}
	ledgerRead := b.nextLedgerRead(time.Now())
	if s := bs.shardOf(b.account); s != nil {
		s.needsRefresh.Store(true)
		s.triggerRebalance()
	}
	select {
	case <-ledgerRead:
		return true
	case <-ctx.Done():
		return false
	}
}

// triggerRebalance makes the next round of an account's shard start now.
func (bs *LocalBalances) triggerRebalance(account string) {
	if s := bs.shardOf(account); s != nil {
		s.triggerRebalance()
	}
}

// logUnavailable reports whether the log did not answer the last call for an
// account.
func (bs *LocalBalances) logUnavailable(account string) bool {
	s := bs.shardOf(account)
	return s != nil && s.ledger.Unavailable()
}

// awaitDraw triggers a draw and waits until tokens arrive, a shortage is
// recorded, the limit has passed or ctx ends.
func (bs *LocalBalances) awaitDraw(ctx context.Context, b *localBalance, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	changed := b.nextChange()
	bs.triggerRebalance(b.account)
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

// nextChange returns the channel that is closed when tokens arrive or a shortage
// is recorded. It is for callers that have called addWaiter.
func (b *localBalance) nextChange() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// addDrawWaiter registers a waiting request for which this router must draw
// although it is not an owner.
func (b *localBalance) addDrawWaiter() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drawWaiters++
}

func (b *localBalance) removeDrawWaiter() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drawWaiters--
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
