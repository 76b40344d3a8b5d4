package prepaid

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/camphorlever/camphorlever/internal/catalog"
	"github.com/camphorlever/camphorlever/internal/counter"
)

// Times of the controller and of requests that wait for tokens.
const (
	// tickEvery is the least time between two looks at the hands when nobody
	// waits.
	tickEvery = 250 * time.Millisecond
	// tickPerRouter keeps the appends of all routers below 40 a second, with
	// some left for those at an old end, which are made again: an append takes
	// the log 4 ms.
	tickPerRouter = 28 * time.Millisecond
	// longestTick is well below the horizon, since hands sink between two
	// looks.
	longestTick = 2 * time.Second
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
	// bootWait is how long the controller pauses after a failed load.
	bootWait = 100 * time.Millisecond
)

// Outcome is the result of asking for tokens.
type Outcome uint8

// Outcomes of Acquire.
const (
	Granted     Outcome = iota
	Exhausted           // neither the ledger nor the other routers have them
	Unreachable         // it cannot be known now
	Kept                // what is left is kept for smaller requests
)

// String names the outcome for logs.
func (o Outcome) String() string {
	return [...]string{"granted", "exhausted", "unreachable", "kept for smaller requests"}[o]
}

// View is what a router knows of an account.
type View struct {
	Hand   int64         // free in this router's hand
	Ledger int64         // left for anybody to draw, as last read
	Age    time.Duration // of that
	Away   time.Duration // for which the log has not answered; zero if it does
}

// View returns what the router knows of an account.
func (g *Hands) View(account string) View {
	h := g.hand(account)
	h.mu.Lock()
	defer h.mu.Unlock()
	return View{Hand: h.free, Ledger: h.left, Age: time.Since(h.seen), Away: g.ledger.AwayFor()}
}

// Hands is what a router holds of all accounts. It is safe for concurrent use.
type Hands struct {
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

// NewHands returns empty hands. The peers may be nil.
func NewHands(ledger *Ledger, settings func() *catalog.Settings, peers Peers, log zerolog.Logger) *Hands {
	return &Hands{
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

// Away returns for how long the log has not answered; zero if it does.
func (g *Hands) Away() time.Duration {
	return g.ledger.AwayFor()
}

// Loaded is closed once it is known what was drawn of the accounts.
func (g *Hands) Loaded() <-chan struct{} {
	return g.loaded
}

func (g *Hands) hand(account string) *hand {
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
func (g *Hands) Acquire(ctx context.Context, account string, tokens int64) (*Hold, Outcome) {
	h := g.hand(account)
	h.asked(tokens)
	if h.take(tokens) {
		return &Hold{hand: h, tokens: tokens}, Granted
	}
	ctx, cancel := context.WithTimeout(ctx, waitForDraw)
	defer cancel()
	if _, home := g.homes(h); !home {
		g.borrowNear(ctx, h, tokens)
	}
	asked, begun := false, time.Now()
	for !h.take(tokens) {
		away := g.ledger.Away()
		switch {
		case !away && h.kept(tokens):
			if !g.look(ctx, h) {
				return nil, g.refused(Unreachable)
			}
			if h.kept(tokens) {
				return nil, g.refused(Kept)
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
	return &Hold{hand: h, tokens: tokens}, Granted
}

// borrowNear asks the homes of an account. Homes that died lately do not answer;
// there must be time left for a draw then.
func (g *Hands) borrowNear(ctx context.Context, h *hand, tokens int64) {
	ctx, cancel := context.WithTimeout(ctx, askHomesFor)
	defer cancel()
	g.borrow(ctx, h, tokens, false)
}

// look makes the view of an account fresh. It reports whether it is.
func (g *Hands) look(ctx context.Context, h *hand) bool {
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
func (g *Hands) wakeUp() {
	select {
	case g.kick <- struct{}{}:
	default:
	}
}

// lastResort asks all other routers where a draw cannot help.
func (g *Hands) lastResort(ctx context.Context, h *hand, tokens int64, away bool) (*Hold, Outcome) {
	g.borrow(ctx, h, tokens, true)
	switch {
	case h.take(tokens):
		return &Hold{hand: h, tokens: tokens}, Granted
	case away:
		return nil, g.refused(Unreachable)
	default:
		return nil, g.refused(Exhausted)
	}
}

// await asks for a draw and waits until tokens come into a hand or a verdict on
// them, or the time or ctx is over.
func (g *Hands) await(ctx context.Context, h *hand, tokens int64, limit time.Duration) {
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

func (g *Hands) refused(o Outcome) Outcome {
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

// Hold is tokens that are set aside for one request.
type Hold struct {
	hand   *hand
	tokens int64
	once   sync.Once
}

// Settle ends the hold with the tokens that were used; the rest is in hand
// again at once.
func (h *Hold) Settle(used int64) {
	h.once.Do(func() { h.hand.settle(h.tokens, used) })
}

// Run draws before tokens are short and gives back what is not needed, until
// ctx ends.
func (g *Hands) Run(ctx context.Context) {
	for g.ledger.Load(ctx) != nil {
		g.events.Inc("load_failed")
		if !wait(ctx, bootWait, nil) {
			return
		}
	}
	close(g.loaded)
	for wait(ctx, g.tick(), g.kick) {
		g.balance(ctx)
	}
}

// tick returns the time until the hands are looked at again. A log that is away
// is tried at the shortest, so that its return is noticed soon.
func (g *Hands) tick() time.Duration {
	if g.ledger.Away() {
		return tickEvery
	}
	return min(max(tickEvery, time.Duration(len(g.fleet().Routers))*tickPerRouter), longestTick)
}

// wait pauses, or until the kick; it returns false when ctx ended.
func wait(ctx context.Context, d time.Duration, kick <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-kick:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// balance makes the changes that are due in one append.
func (g *Hands) balance(ctx context.Context) {
	settings := g.settings()
	if settings == nil {
		return
	}
	if g.unsure.Swap(false) {
		if err := g.ledger.Update(ctx); err != nil {
			g.events.Inc("look_failed")
			g.log.Warn().Err(err).Msg("budget entries could not be read for a refusal")
		}
	}
	var all []due
	urgent := false
	settings.Accounts(func(a *catalog.Account) {
		if a.Metered {
			d := g.dueFor(a, settings.Version)
			urgent = urgent || d.urgent
			all = append(all, d)
		}
	})
	if !urgent {
		return
	}
	var changes []Change
	all = slices.DeleteFunc(all, func(d due) bool {
		return d.change.Draw == 0 && d.change.Return == 0 && d.need == 0
	})
	for _, d := range all {
		changes = append(changes, d.change)
	}
	results, err := g.ledger.Apply(ctx, changes)
	now := time.Now()
	if err != nil {
		g.failed(err, all)
		return
	}
	for i, d := range all {
		g.apply(d, results[i], now)
	}
}

// failed ends changes that were not made. Tokens to be given back stay in hand
// if nothing was sent; otherwise the append may take effect yet, and they are
// lost.
func (g *Hands) failed(err error, all []due) {
	var unsent *NotWrittenError
	if !errors.As(err, &unsent) {
		g.events.Inc("append_failed")
		return
	}
	g.events.Inc("append_unsent")
	for _, d := range all {
		if d.change.Return > 0 {
			d.hand.give(d.change.Return)
		}
	}
}

// due is a change that one hand asks for.
type due struct {
	hand   *hand
	change Change
	need   int64 // of requests that wait, beyond what is in hand
	urgent bool  // the change is worth an append of its own
}

// dueFor works out the change that is due for an account.
func (g *Hands) dueFor(a *catalog.Account, version int64) due {
	h := g.hand(a.Name)
	drawn, read := g.ledger.Drawn(a.Name)
	free := a.Prepaid - drawn
	s, need := h.tick(time.Now(), free, a.Prepaid)
	h.saw(read)
	s.free = free
	fleet := g.fleet()
	homes, home := g.homes(h)
	s.home, s.homes, s.routers = home && fleet.Known, len(homes), len(fleet.Routers)
	s.others, s.told = g.ledger.OtherRates(a.Name)
	d := due{hand: h, need: need, change: Change{Account: a.Name, Paid: a.Prepaid, Version: version, Home: home, Rate: s.rate}}
	draw, low := s.draw()
	if need > 0 {
		d.change.Draw, d.urgent = max(need, draw), true
		return d
	}
	if excess := s.excess(); excess > 0 {
		d.change.Return, d.urgent = h.giveUp(excess), true
		return d
	}
	d.change.Draw, d.urgent = draw, low
	return d
}

// apply takes over the result of a change.
func (g *Hands) apply(d due, r Result, now time.Time) {
	if d.change.Return > 0 {
		g.events.Inc("returns")
		g.log.Info().Str("account", d.change.Account).Int64("tokens", d.change.Return).Int64("free", r.Free).
			Int64("settings", d.change.Version).Msg("tokens given back")
		return
	}
	if r.Given > 0 {
		g.events.Inc("draws")
		g.log.Info().Str("account", d.change.Account).Int64("tokens", r.Given).Int64("free", r.Free).
			Int64("settings", d.change.Version).Msg("tokens drawn")
		d.hand.give(r.Given)
	}
	if r.Given < d.need {
		g.events.Inc("short")
		d.hand.lacks(max(r.Free-r.Given, 0), now)
	}
}

// Release gives back everything that is in hand, when the router stops and Run
// has ended: to the ledger, or to another router if the ledger cannot be
// written.
func (g *Hands) Release(ctx context.Context) {
	settings := g.settings()
	if settings == nil {
		return
	}
	var changes []Change
	totals := map[string]int64{}
	settings.Accounts(func(a *catalog.Account) {
		if !a.Metered {
			return
		}
		if tokens := g.hand(a.Name).giveUp(a.Prepaid); tokens > 0 {
			changes = append(changes, Change{Account: a.Name, Paid: a.Prepaid, Version: settings.Version, Return: tokens})
			totals[a.Name] = tokens
		}
	})
	if len(changes) == 0 {
		return
	}
	if g.ledger.Away() && g.peers != nil {
		err := g.peers.Give(ctx, GiveArgs{Giver: g.ledger.life, Totals: totals})
		g.log.Info().Err(err).Int("accounts", len(totals)).Msg("tokens in hand were handed to another router")
		return // an error leaves it open whether a router has them
	}
	if _, err := g.ledger.Apply(ctx, changes); err != nil {
		g.log.Warn().Err(err).Int("accounts", len(changes)).Msg("tokens in hand could not be given back")
		return
	}
	g.log.Info().Int("accounts", len(changes)).Msg("tokens in hand were given back")
}
