package prepaid

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/catalog"
)

// Timing of the rebalancing loop.
const (
	// minRebalanceInterval is the shortest interval between two rounds when no
	// request waits for tokens.
	minRebalanceInterval = 250 * time.Millisecond
	// rebalanceIntervalPerRouter keeps the appends of all routers below 40 per
	// second, which leaves room for appends that conflict and are retried: an
	// append takes the log 4 ms.
	rebalanceIntervalPerRouter = 28 * time.Millisecond
	// maxRebalanceInterval is well below outageHorizon, since local balances
	// shrink between two rounds.
	maxRebalanceInterval = 2 * time.Second
	// loadRetryDelay is the pause after the ledger could not be loaded.
	loadRetryDelay = 100 * time.Millisecond
)

// Run loads the ledger, then draws tokens before local balances run low and
// returns tokens that are not needed, until ctx ends.
func (bs *LocalBalances) Run(ctx context.Context) {
	for bs.ledger.Load(ctx) != nil {
		bs.events.Inc("load_failed")
		if !sleepOrWake(ctx, loadRetryDelay, nil) {
			return
		}
	}
	close(bs.loaded)
	for sleepOrWake(ctx, bs.rebalanceInterval(), bs.wakeup) {
		bs.rebalance(ctx)
	}
}

// rebalanceInterval returns the time until the next round. While the log is
// unavailable it is the shortest one, so that recovery is detected soon.
func (bs *LocalBalances) rebalanceInterval() time.Duration {
	if bs.ledger.Unavailable() {
		return minRebalanceInterval
	}
	return min(max(minRebalanceInterval, time.Duration(len(bs.fleet().Routers))*rebalanceIntervalPerRouter), maxRebalanceInterval)
}

// sleepOrWake waits for d or for a wakeup. It returns false if ctx ended.
func sleepOrWake(ctx context.Context, d time.Duration, wakeup <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wakeup:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// rebalance makes all planned changes in one append, if at least one of them is
// urgent.
func (bs *LocalBalances) rebalance(ctx context.Context) {
	settings := bs.settings()
	if settings == nil {
		return
	}
	if bs.needsRefresh.Swap(false) {
		if err := bs.ledger.Update(ctx); err != nil {
			bs.events.Inc("look_failed")
			bs.log.Warn().Err(err).Msg("budget entries could not be read before refusing a request")
		}
	}
	var all []plannedChange
	urgent := false
	settings.ForEachAccount(func(a *catalog.Account) {
		if a.Metered {
			d := bs.planChange(a, settings.Version)
			urgent = urgent || d.urgent
			all = append(all, d)
		}
	})
	if !urgent {
		return
	}
	var changes []Change
	all = slices.DeleteFunc(all, func(d plannedChange) bool {
		return d.change.Draw == 0 && d.change.Return == 0 && d.need == 0
	})
	for _, d := range all {
		changes = append(changes, d.change)
	}
	results, err := bs.ledger.Apply(ctx, changes)
	now := time.Now()
	if err != nil {
		bs.handleApplyError(err, all)
		return
	}
	for i, d := range all {
		bs.applyResult(d, results[i], now)
	}
}

// handleApplyError handles changes whose append failed. Tokens to be returned go
// back to the local balance if the append was not sent. Otherwise it may still
// take effect, so the tokens are written off.
func (bs *LocalBalances) handleApplyError(err error, all []plannedChange) {
	var unsent *NotWrittenError
	if !errors.As(err, &unsent) {
		bs.events.Inc("append_failed")
		return
	}
	bs.events.Inc("append_unsent")
	for _, d := range all {
		if d.change.Return > 0 {
			d.balance.deposit(d.change.Return)
		}
	}
}

// plannedChange is a ledger change for the local balance of one account.
type plannedChange struct {
	balance *localBalance
	change  Change
	need    int64 // tokens that waiting requests lack
	urgent  bool  // the change justifies an append by itself
}

// planChange returns the ledger change that an account needs now.
func (bs *LocalBalances) planChange(a *catalog.Account, version int64) plannedChange {
	b := bs.balance(a.Name)
	drawn, readAt := bs.ledger.Drawn(a.Name)
	free := a.PrepaidTokens - drawn
	s, need := b.update(time.Now(), free, a.PrepaidTokens)
	b.recordLedgerRead(readAt)
	s.ledgerFree = free
	fleet := bs.fleet()
	owners, isOwner := bs.owners(b)
	s.isOwner, s.ownerCount, s.routerCount = isOwner && fleet.Loaded, len(owners), len(fleet.Routers)
	s.otherOwnersRate, s.otherOwnersKnown = bs.ledger.OtherOwnerRates(a.Name)
	d := plannedChange{balance: b, need: need, change: Change{Account: a.Name, Paid: a.PrepaidTokens, SettingsVersion: version, Owner: isOwner, Rate: s.rate}}
	draw, low := s.draw()
	if need > 0 {
		d.change.Draw, d.urgent = max(need, draw), true
		return d
	}
	if excess := s.excess(); excess > 0 {
		d.change.Return, d.urgent = b.withdraw(excess), true
		return d
	}
	d.change.Draw, d.urgent = draw, low
	return d
}

// applyResult updates the local balance with the result of a change.
func (bs *LocalBalances) applyResult(d plannedChange, r Result, now time.Time) {
	if d.change.Return > 0 {
		bs.events.Inc("returns")
		bs.log.Info().Str("account", d.change.Account).Int64("tokens", d.change.Return).Int64("free", r.FreeBefore).
			Int64("settings", d.change.SettingsVersion).Msg("tokens returned to the ledger")
		return
	}
	if r.Granted > 0 {
		bs.events.Inc("draws")
		bs.log.Info().Str("account", d.change.Account).Int64("tokens", r.Granted).Int64("free", r.FreeBefore).
			Int64("settings", d.change.SettingsVersion).Msg("tokens drawn")
		d.balance.deposit(r.Granted)
	}
	if r.Granted < d.need {
		bs.events.Inc("short")
		d.balance.recordShortage(max(r.FreeBefore-r.Granted, 0), now)
	}
}

// Release gives up all local balances when the router stops, after Run has
// ended. They are returned to the ledger, or transferred to another router if
// the ledger is unavailable.
func (bs *LocalBalances) Release(ctx context.Context) {
	settings := bs.settings()
	if settings == nil {
		return
	}
	var changes []Change
	totals := map[string]int64{}
	settings.ForEachAccount(func(a *catalog.Account) {
		if !a.Metered {
			return
		}
		if tokens := bs.balance(a.Name).withdraw(a.PrepaidTokens); tokens > 0 {
			changes = append(changes, Change{Account: a.Name, Paid: a.PrepaidTokens, SettingsVersion: settings.Version, Return: tokens})
			totals[a.Name] = tokens
		}
	})
	if len(changes) == 0 {
		return
	}
	if bs.ledger.Unavailable() && bs.peers != nil {
		err := bs.peers.Transfer(ctx, TransferArgs{Giver: bs.ledger.incarnation, Totals: totals})
		bs.log.Info().Err(err).Int("accounts", len(totals)).Msg("transfer of the local balances to another router ended")
		return // after an error, a router may or may not have received the tokens
	}
	if _, err := bs.ledger.Apply(ctx, changes); err != nil {
		bs.log.Warn().Err(err).Int("accounts", len(changes)).Msg("local balances could not be returned to the ledger")
		return
	}
	bs.log.Info().Int("accounts", len(changes)).Msg("local balances returned to the ledger")
}
