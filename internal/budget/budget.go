// Package budget manages a router's share of the teams' prepaid tokens: grants
// drawn from the ledger and loans from other routers. A run is admitted only if
// its whole bound fits what is left of one grant or loan, so that no network
// partition and no paused process can make a team spend more than it has paid
// for. Admission from the local balance does no I/O.
package budget

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/record"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// Ledger gives access to the folds of the ledger's shards.
type Ledger interface {
	// Submit appends records to the shard of a team and returns the fold's
	// verdicts once the records were read back. An error means that the outcome
	// is unknown; the records may still take effect.
	Submit(ctx context.Context, team ident.TeamID, records ...record.Record) ([]ledger.Verdict, error)
	// View calls read with the fold of the team's shard. read must not retain
	// the state.
	View(team ident.TeamID, read func(*ledger.State))
}

// Router identifies a live router.
type Router struct {
	Incarnation ident.Incarnation
	DataCentre  ident.DataCentreID
}

// Fleet provides the membership and seals of the other routers.
type Fleet interface {
	// Routers returns the live routers that are not sealed, including this one.
	Routers() []Router
	// Sealed reports whether an incarnation is sealed or closed.
	Sealed(ident.Incarnation) bool
	// Closed reports whether the fleet stream proves that no run begun by an
	// incarnation is still in progress and that all are settled. Once true, it
	// stays true.
	Closed(ident.Incarnation) bool
}

// Peers calls other routers. An error means that the outcome is unknown.
type Peers interface {
	Borrow(ctx context.Context, lender ident.Incarnation, args wire.BorrowArgs) (wire.BorrowReply, error)
	Repay(ctx context.Context, lender ident.Incarnation, args wire.RepayArgs) (wire.RepayReply, error)
}

// Config holds the dependencies and settings of Grants.
type Config struct {
	Self       ident.Incarnation
	DataCentre ident.DataCentreID
	Ledger     Ledger
	Fleet      Fleet
	Peers      Peers
	// Policy returns the sizing policy of a team from its settings.
	Policy func(ident.TeamID) Policy
	Logger zerolog.Logger
	// Teams returns the teams of the settings, for which a minimum of tokens is
	// drawn before their first request. It may be nil.
	Teams func() []ident.TeamID
	// Now is the clock used for sizing; no safety property depends on it.
	// Default: time.Now.
	Now func() time.Time
	// Launch runs a task asynchronously. Default: a goroutine that Close waits
	// for.
	Launch func(task func())
}

const (
	shardCount = 64
	// wakeupQueueSize limits the teams waiting to be processed before the next
	// tick. Teams beyond that are processed by the next tick.
	wakeupQueueSize = 256
)

// Grants is a router's share of all budgets. It is safe for concurrent use.
type Grants struct {
	config         Config
	shards         [shardCount]balanceShard
	lenderStates   lenderSet
	borrowerStates borrowerSet
	fenced         atomic.Bool // no admission: draining, sealed or closed
	sealed         atomic.Bool // this incarnation was sealed; never reset
	logHealth      logHealth
	cachedPeers    atomic.Pointer[peerSet]
	wakeup         chan *localBalance // teams to be processed before the next tick
	tasks          sync.WaitGroup
	lifetime       context.Context // ends with Close; ledger appends in flight run under it
	cancel         context.CancelFunc
	counts         *counter.Set
	log            zerolog.Logger
}

// balanceShard holds the local balances of a part of the teams.
type balanceShard struct {
	mu sync.Mutex // serialises writers of the map; the balances have their own locks
	// balances is replaced as a whole when a team is added, so that admission
	// reads it without a lock.
	balances atomic.Pointer[map[ident.TeamID]*localBalance]
}

// New returns a router's empty share. Run must be running for tokens to be
// drawn before they are needed.
func New(config Config) *Grants {
	g := &Grants{
		config: config,
		wakeup: make(chan *localBalance, wakeupQueueSize),
		counts: counter.NewSet("budget"),
		log:    config.Logger.With().Str("part", "budget").Logger(),
	}
	if g.config.Now == nil {
		g.config.Now = time.Now
	}
	if g.config.Launch == nil {
		g.config.Launch = g.launch
	}
	g.lifetime, g.cancel = context.WithCancel(context.Background())
	for i := range g.shards {
		g.shards[i].balances.Store(&map[ident.TeamID]*localBalance{})
	}
	return g
}

func (g *Grants) launch(task func()) {
	g.tasks.Go(task)
}

func (g *Grants) shardOf(team ident.TeamID) *balanceShard {
	return &g.shards[xxhash.Sum64String(string(team))%shardCount]
}

// lookup returns the local balance of a team, or nil if there is none yet.
func (g *Grants) lookup(team ident.TeamID) *localBalance {
	return (*g.shardOf(team).balances.Load())[team]
}

// balanceOf returns the local balance of a team, creating it if needed.
func (g *Grants) balanceOf(team ident.TeamID) *localBalance {
	if b := g.lookup(team); b != nil {
		return b
	}
	s := g.shardOf(team)
	s.mu.Lock()
	defer s.mu.Unlock()
	old := *s.balances.Load()
	if b := old[team]; b != nil {
		return b
	}
	b := newLocalBalance(team, g.config.Self)
	next := maps.Clone(old)
	next[team] = b
	s.balances.Store(&next)
	return b
}

// allBalances returns the local balances of all teams that have one.
func (g *Grants) allBalances() []*localBalance {
	var all []*localBalance
	for i := range g.shards {
		for _, b := range *g.shards[i].balances.Load() {
			all = append(all, b)
		}
	}
	return all
}

// Fence permanently stops admission because this incarnation was sealed. Runs
// that were already admitted are settled by the gates and the other settler.
func (g *Grants) Fence() {
	g.fenced.Store(true)
	if !g.sealed.Swap(true) {
		g.log.Warn().Msg("This incarnation was sealed; admission stopped.")
	}
}

// Close cancels the ledger appends in flight and waits for their tasks. Their
// outcome remains unknown here; the ledger is authoritative.
func (g *Grants) Close() {
	g.cancel()
	g.tasks.Wait()
}
