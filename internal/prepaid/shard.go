package prepaid

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/camphorlever/camphorlever/internal/catalog"
)

// shard is the part of the ledger that holds the accounts of one hash value. Each
// shard has a stream of its own, so that routers that draw for different accounts
// do not make each other's conditional appends fail.
type shard struct {
	name         string // seed of the rendezvous order of the owners
	ledger       *Ledger
	wakeup       chan struct{}       // starts a rebalancing round
	needsRefresh atomic.Bool         // a request needs a fresh read of the ledger
	collection   collection          // only used by the shard's loop
	unannounced  map[string]struct{} // accounts of draws that no other owner was told of; only used by the shard's loop

	mu            sync.Mutex // guards all below
	owners        []string   // owner routers, which draw for the accounts, in the order in which this router asks them
	ranked        []string   // the same routers in the rendezvous order, which is the same at all routers
	isOwner       bool       // this router is an owner
	ownersVersion uint64     // fleet version from which owners were computed
}

// newShards returns the shards of a ledger.
func newShards(log Log, streams Streams, count int, incarnation string, logger zerolog.Logger) []*shard {
	shards := make([]*shard, count)
	for i := range shards {
		stream := streams.shardStream(i, count)
		shards[i] = &shard{
			name:   strconv.Itoa(i),
			ledger: NewLedger(log, stream, incarnation, logger.With().Str("stream", string(stream)).Logger()),
			wakeup: make(chan struct{}, 1),

			unannounced: map[string]struct{}{},
		}
	}
	return shards
}

// shardOf returns the shard of an account; nil until the layout was loaded.
func (bs *LocalBalances) shardOf(account string) *shard {
	shards := bs.shards.Load()
	if shards == nil {
		return nil
	}
	return (*shards)[shardIndex(account, len(*shards))]
}

func shardIndex(account string, shards int) int {
	return int(xxhash.Sum64String(account) % uint64(shards))
}

// ownersIn returns the owners of the shard's accounts, and whether this router is
// one of them.
func (s *shard) ownersIn(fleet Fleet) (owners []string, isOwner bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owners == nil || s.ownersVersion != fleet.Version {
		s.ranked = ownersOf(s.name, fleet.Routers)
		s.owners, s.ownersVersion = rotate(s.ranked, fleet.Self), fleet.Version
		s.isOwner = slices.Contains(s.owners, fleet.Self)
	}
	return s.owners, s.isOwner
}

// gathererIn returns the owners of the shard's accounts in the rendezvous order, and
// whether this router is the first of them that it can reach.
func (s *shard) gathererIn(fleet Fleet, unreachable func(name string) bool) (owners []string, isGatherer bool) {
	s.ownersIn(fleet)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range s.ranked {
		if name == fleet.Self {
			return s.ranked, true
		}
		if !unreachable(name) {
			break
		}
	}
	return s.ranked, false
}

// rotate returns the owners starting at one that depends on the router, so that
// the owners of a shard lend and hold similar shares.
func rotate(owners []string, self string) []string {
	if len(owners) == 0 {
		return owners
	}
	first := int(xxhash.Sum64String(self) % uint64(len(owners)))
	return append(slices.Clone(owners[first:]), owners[:first]...)
}

// triggerRebalance makes the shard's next round start now.
func (s *shard) triggerRebalance() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// accountsByShard is the metered accounts of one version of the settings, by shard.
type accountsByShard struct {
	settings *catalog.Settings
	accounts [][]*catalog.Account
}

// accountsOf returns the metered accounts of a shard and the version of the
// settings that name them.
func (bs *LocalBalances) accountsOf(index, shards int) (accounts []*catalog.Account, version int64) {
	settings := bs.settings()
	if settings == nil {
		return nil, 0
	}
	cached := bs.accounts.Load()
	if cached == nil || cached.settings != settings {
		cached = &accountsByShard{settings: settings, accounts: make([][]*catalog.Account, shards)}
		settings.ForEachAccount(func(a *catalog.Account) {
			if a.Metered {
				i := shardIndex(a.Name, shards)
				cached.accounts[i] = append(cached.accounts[i], a)
			}
		})
		bs.accounts.Store(cached)
	}
	return cached.accounts[index], settings.Version
}

// loadShards loads the layout, and the entries of the shards that this router
// owns, and collects draws that the log has lost, until ctx ends.
func (bs *LocalBalances) loadShards(ctx context.Context) []*shard {
	count := 0
	bs.retryLoad(ctx, func() (err error) {
		call, cancel := context.WithTimeout(ctx, loadTimeout)
		defer cancel()
		count, err = loadLayout(call, bs.ledgerLog, bs.streams)
		return err
	})
	if count == 0 {
		return nil
	}
	shards := newShards(bs.ledgerLog, bs.streams, count, bs.incarnation, bs.log)
	bs.shards.Store(&shards)
	bs.awaitFleet(ctx)
	var loads conc.WaitGroup
	for i, s := range shards {
		if _, isOwner := s.ownersIn(bs.fleet()); isOwner {
			loads.Go(func() {
				bs.retryLoad(ctx, func() error { return s.ledger.Load(ctx) })
				for !bs.repair(ctx, s, i) && sleepOrWake(ctx, collectInterval, nil) {
				}
			})
		}
	}
	loads.Wait()
	return shards
}

// retryLoad repeats a load until it succeeds or ctx ends.
func (bs *LocalBalances) retryLoad(ctx context.Context, load func() error) {
	for {
		err := load()
		if err == nil || ctx.Err() != nil {
			return
		}
		bs.events.Inc("load_failed")
		bs.log.Warn().Err(err).Msg("budget entries could not be loaded")
		sleepOrWake(ctx, loadRetryDelay, nil)
	}
}

// Bounds of the wait for the other routers at the start.
const (
	// fleetTimeout bounds the wait. A router that knows no others treats itself
	// as an owner of every shard.
	fleetTimeout = time.Second
	// fleetPollPeriod is how often the list of routers is checked.
	fleetPollPeriod = 20 * time.Millisecond
)

// awaitFleet waits until the other routers have been read, at most fleetTimeout.
func (bs *LocalBalances) awaitFleet(ctx context.Context) {
	for end := time.Now().Add(fleetTimeout); !bs.fleet().Loaded && time.Now().Before(end); {
		if !sleepOrWake(ctx, fleetPollPeriod, nil) {
			return
		}
	}
}
