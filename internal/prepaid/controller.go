package prepaid

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/camphorlever/camphorlever/internal/catalog"
	"github.com/camphorlever/camphorlever/internal/supervise"
)

// Timing of the rebalancing loop.
const (
	// minRebalanceInterval is the shortest interval between two rounds of an
	// owner when no request waits for tokens. The owners of a shard together
	// make at most 16 appends per second in this way; an append takes the log
	// 4 ms.
	minRebalanceInterval = 250 * time.Millisecond
	// idleRebalanceInterval is the interval between two rounds of a router that
	// is not an owner. It only gives back tokens that it doesn't need.
	idleRebalanceInterval = time.Second
	// loadRetryDelay is the pause after the ledger could not be loaded.
	loadRetryDelay = 100 * time.Millisecond
)

// Run loads the ledger, then draws tokens before local balances run low and
// returns tokens that are not needed, until ctx ends.
func (bs *LocalBalances) Run(ctx context.Context) {
	var shards []*shard
	supervise.Run(ctx, bs.log, "load ledger", func(ctx context.Context) { shards = bs.loadShards(ctx) })
	if ctx.Err() != nil {
		return
	}
	close(bs.loaded)
	var loops conc.WaitGroup
	if bs.peers != nil {
		loops.Go(func() { supervise.Run(ctx, bs.log, "reclaim loans", bs.runReclaim) })
	}
	loops.Go(func() { supervise.Run(ctx, bs.log, "detect pauses", bs.pauses.run) })
	for i := range shards {
		loops.Go(func() {
			supervise.Run(ctx, bs.log, "rebalance shard "+shards[i].name, func(ctx context.Context) { bs.runShard(ctx, shards, i) })
		})
	}
	loops.Wait()
}

// runShard rebalances the accounts of one shard until ctx ends.
func (bs *LocalBalances) runShard(ctx context.Context, shards []*shard, index int) {
	s := shards[index]
	for sleepOrWake(ctx, bs.rebalanceInterval(s), s.wakeup) {
		accounts, version := bs.accountsOf(index, len(shards))
		bs.rebalance(ctx, s, index, accounts, version)
	}
}

// rebalanceInterval returns the time until the next round of a shard.
func (bs *LocalBalances) rebalanceInterval(s *shard) time.Duration {
	if s.ledger.NeedsRepair() {
		return collectInterval
	}
	if _, isOwner := s.ownersIn(bs.fleet()); isOwner {
		return minRebalanceInterval
	}
	return idleRebalanceInterval
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

// rebalance makes all planned changes of a shard in one append, if at least one of
// them is urgent or the log lacks entries that this router knows.
func (bs *LocalBalances) rebalance(ctx context.Context, s *shard, index int, accounts []*catalog.Account, version int64) {
	if s.needsRefresh.Swap(false) || bs.viewExpired(s) {
		if err := s.ledger.Update(ctx); err != nil {
			bs.events.Inc("look_failed")
			bs.log.Warn().Err(err).Msg("budget entries could not be read before refusing a request")
		}
	}
	if !bs.repair(ctx, s, index) {
		return
	}
	ahead := bs.mayDrawAhead(bs.fleet(), time.Now())
	all := make([]plannedChange, 0, len(accounts))
	for _, a := range accounts {
		all = append(all, bs.planChange(s, a, version, ahead))
	}
	all = bs.giveBack(ctx, all)
	if !slices.ContainsFunc(all, func(d plannedChange) bool { return d.urgent }) && !s.ledger.HasUnwritten() {
		bs.announceDraws(ctx, s, index, nil) // those that got no answer before
		return
	}
	all = slices.DeleteFunc(all, func(d plannedChange) bool {
		return d.change.Draw == 0 && d.change.Return == 0 && d.need == 0
	})
	changes := make([]Change, 0, len(all))
	for _, d := range all {
		changes = append(changes, d.change)
	}
	begun := time.Now()
	results, err := s.ledger.Apply(ctx, changes)
	now := time.Now()
	if err != nil {
		bs.handleApplyError(err, all)
		return
	}
	announced := bs.announceDraws(ctx, s, index, drawnAccounts(changes, results))
	if !bs.mayUse(ctx, s, begun, announced) {
		s.ledger.forfeit(changes, results)
		s.needsRefresh.Store(true)
		return
	}
	for i, d := range all {
		bs.applyResult(d, results[i], now)
	}
}

// drawnAccounts returns the accounts of which tokens were drawn.
func drawnAccounts(changes []Change, results []Result) []string {
	var accounts []string
	for i, r := range results {
		if r.Granted > 0 {
			accounts = append(accounts, changes[i].Account)
		}
	}
	return accounts
}

// maxOwnerViewAge is how old an owner's view of the ledger may be. An owner whose balance
// lasts makes no appends, and would not notice that the account is nearly used up, so that
// its balance is needed by the owner that gathers the rest.
const maxOwnerViewAge = time.Second

// viewExpired reports whether this router is an owner of a shard, and its view of the ledger
// is too old.
func (bs *LocalBalances) viewExpired(s *shard) bool {
	_, isOwner := s.ownersIn(bs.fleet())
	return isOwner && bs.peers != nil && s.ledger.age(time.Now()) > maxOwnerViewAge
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

// planChange returns the ledger change that an account needs now. Tokens that no
// request waits for are drawn only if ahead is set.
func (bs *LocalBalances) planChange(s *shard, a *catalog.Account, version int64, ahead bool) plannedChange {
	b := bs.balance(a.Name)
	drawn, readAt := s.ledger.Drawn(a.Name)
	fleet := bs.fleet()
	owners, isOwner := bs.owners(b)
	isOwner = isOwner && fleet.Loaded
	free := a.PrepaidTokens - drawn
	state, need := b.update(time.Now(), free, a.PrepaidTokens, isOwner)
	b.recordLedgerRead(readAt)
	state.ledgerFree, state.isOwner, state.ownerCount = free, isOwner, len(owners)
	state.otherOwnersRate, state.otherOwnersKnown = s.ledger.OtherOwnerRates(a.Name)
	d := plannedChange{balance: b, need: need, change: Change{Account: a.Name, Paid: a.PrepaidTokens, SettingsVersion: version, Owner: isOwner, Rate: state.rate}}
	draw, low := state.draw()
	if need > 0 {
		d.change.Draw, d.urgent = max(need+state.batch(), draw), true
		return d
	}
	// While the log does not answer, a return would keep the tokens from requests until it does.
	if excess := state.excess(); excess > 0 && !s.ledger.Unavailable() {
		d.change.Return, d.urgent = b.withdraw(excess), true
		return d
	}
	if ahead {
		d.change.Draw, d.urgent = draw, low
	}
	return d
}

// Conditions of draws in advance after the start. Routers that start at the same
// time learn of each other one by one, and each draw of a router that is not an
// owner after all would have to be returned.
const (
	// fleetSettleTime is how long the set of routers must have been the same,
	// longer than the interval at which new ones are read.
	fleetSettleTime = 1200 * time.Millisecond
	// maxSettleWait is how long after the start tokens are drawn in any case.
	maxSettleWait = 4 * time.Second
)

// settling tells when the set of routers was first known long enough to act on
// it.
type settling struct {
	mu        sync.Mutex // guards all below
	startedAt time.Time  // of the first round
	version   uint64     // last seen version of the fleet
	since     time.Time  // when that version was first seen
	done      bool
}

// mayDrawAhead reports whether tokens may be drawn that no request waits for.
func (bs *LocalBalances) mayDrawAhead(fleet Fleet, now time.Time) bool {
	st := &bs.settling
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.startedAt.IsZero() {
		st.startedAt = now
	}
	if st.since.IsZero() || fleet.Version != st.version {
		st.version, st.since = fleet.Version, now
	}
	st.done = st.done || (fleet.Loaded && now.Sub(st.since) >= fleetSettleTime) || now.Sub(st.startedAt) >= maxSettleWait
	return st.done
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
// ended. The tokens of each shard go to one of its owners, or to the ledger if
// that can't be reached; while the log is unavailable, to any other router.
func (bs *LocalBalances) Release(ctx context.Context) {
	shards := bs.shards.Load()
	if shards == nil {
		return
	}
	if bs.peers != nil {
		bs.reclaim(ctx)
	}
	var releases conc.WaitGroup
	for i, s := range *shards {
		accounts, version := bs.accountsOf(i, len(*shards))
		releases.Go(func() { bs.releaseShard(ctx, s, accounts, version) })
	}
	releases.Wait()
}

func (bs *LocalBalances) releaseShard(ctx context.Context, s *shard, accounts []*catalog.Account, version int64) {
	var changes []Change
	tokens := map[string]int64{}
	for _, a := range accounts {
		if held := bs.balance(a.Name).withdraw(a.PrepaidTokens); held > 0 {
			changes = append(changes, Change{Account: a.Name, Paid: a.PrepaidTokens, SettingsVersion: version, Return: held})
			tokens[a.Name] = held
		}
	}
	if len(changes) == 0 {
		return
	}
	owners, isOwner := s.ownersIn(bs.fleet())
	unavailable := s.ledger.Unavailable()
	if bs.peers != nil && (unavailable || !isOwner) {
		sent, err := bs.transfer(ctx, owners, unavailable, tokens)
		if sent {
			bs.log.Info().Err(err).Int("accounts", len(tokens)).Msg("transfer of the local balances to another router ended")
			return // after an error, the router may or may not have received the tokens
		}
	}
	if _, err := s.ledger.Apply(ctx, changes); err != nil {
		bs.log.Warn().Err(err).Int("accounts", len(changes)).Msg("local balances could not be returned to the ledger")
		return
	}
	bs.log.Info().Int("accounts", len(changes)).Msg("local balances returned to the ledger")
}
