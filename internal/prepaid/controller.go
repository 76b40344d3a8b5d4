package prepaid

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/catalog"
)

// Times of the controller.
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
	// bootWait is how long the controller pauses after a failed load.
	bootWait = 100 * time.Millisecond
)

// Run draws before tokens are short and gives back what is not needed, until
// ctx ends.
func (g *LocalBalances) Run(ctx context.Context) {
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
func (g *LocalBalances) tick() time.Duration {
	if g.ledger.Unavailable() {
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
func (g *LocalBalances) balance(ctx context.Context) {
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
	settings.ForEachAccount(func(a *catalog.Account) {
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
func (g *LocalBalances) failed(err error, all []due) {
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
func (g *LocalBalances) dueFor(a *catalog.Account, version int64) due {
	h := g.hand(a.Name)
	drawn, read := g.ledger.Drawn(a.Name)
	free := a.PrepaidTokens - drawn
	s, need := h.tick(time.Now(), free, a.PrepaidTokens)
	h.saw(read)
	s.free = free
	fleet := g.fleet()
	homes, home := g.homes(h)
	s.home, s.homes, s.routers = home && fleet.Loaded, len(homes), len(fleet.Routers)
	s.others, s.told = g.ledger.OtherOwnerRates(a.Name)
	d := due{hand: h, need: need, change: Change{Account: a.Name, Paid: a.PrepaidTokens, SettingsVersion: version, Owner: home, Rate: s.rate}}
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
func (g *LocalBalances) apply(d due, r Result, now time.Time) {
	if d.change.Return > 0 {
		g.events.Inc("returns")
		g.log.Info().Str("account", d.change.Account).Int64("tokens", d.change.Return).Int64("free", r.FreeBefore).
			Int64("settings", d.change.SettingsVersion).Msg("tokens given back")
		return
	}
	if r.Granted > 0 {
		g.events.Inc("draws")
		g.log.Info().Str("account", d.change.Account).Int64("tokens", r.Granted).Int64("free", r.FreeBefore).
			Int64("settings", d.change.SettingsVersion).Msg("tokens drawn")
		d.hand.give(r.Granted)
	}
	if r.Granted < d.need {
		g.events.Inc("short")
		d.hand.lacks(max(r.FreeBefore-r.Granted, 0), now)
	}
}

// Release gives back everything that is in hand, when the router stops and Run
// has ended: to the ledger, or to another router if the ledger cannot be
// written.
func (g *LocalBalances) Release(ctx context.Context) {
	settings := g.settings()
	if settings == nil {
		return
	}
	var changes []Change
	totals := map[string]int64{}
	settings.ForEachAccount(func(a *catalog.Account) {
		if !a.Metered {
			return
		}
		if tokens := g.hand(a.Name).giveUp(a.PrepaidTokens); tokens > 0 {
			changes = append(changes, Change{Account: a.Name, Paid: a.PrepaidTokens, SettingsVersion: settings.Version, Return: tokens})
			totals[a.Name] = tokens
		}
	})
	if len(changes) == 0 {
		return
	}
	if g.ledger.Unavailable() && g.peers != nil {
		err := g.peers.Transfer(ctx, TransferArgs{Giver: g.ledger.life, Totals: totals})
		g.log.Info().Err(err).Int("accounts", len(totals)).Msg("tokens in hand were handed to another router")
		return // an error leaves it open whether a router has them
	}
	if _, err := g.ledger.Apply(ctx, changes); err != nil {
		g.log.Warn().Err(err).Int("accounts", len(changes)).Msg("tokens in hand could not be given back")
		return
	}
	g.log.Info().Int("accounts", len(changes)).Msg("tokens in hand were given back")
}
