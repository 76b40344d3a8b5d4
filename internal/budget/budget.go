// Package budget holds a router's share of the teams' prepaid tokens: grants
// drawn from the ledger and loans from other routers. A run is admitted only
// if its whole bound fits what is left of one grant or loan, so that no cut of
// the network and no pause of a process can make a team spend more than it
// has paid for. Admission from tokens in hand takes no I/O.
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
	// verdicts once they were read back. An error means that the outcome is
	// unknown; the records may still take effect.
	Submit(ctx context.Context, team ident.TeamID, records ...record.Record) ([]ledger.Verdict, error)
	// View reads the fold of the team's shard. The state must not be kept.
	View(team ident.TeamID, read func(*ledger.State))
}

// Router is one router that this one may deal with.
type Router struct {
	Incarnation ident.Incarnation
	DataCentre  ident.DataCentreID
}

// Fleet is what must be known of the other routers.
type Fleet interface {
	// Routers lists the live ones that are not sealed, this one included.
	Routers() []Router
	// Sealed reports whether a life is sealed or closed.
	Sealed(ident.Incarnation) bool
	// Closed reports whether the fleet stream proves that no run which a life
	// began goes on and that all are settled. It stays true.
	Closed(ident.Incarnation) bool
}

// Peers calls other routers. An error means that the outcome is unknown.
type Peers interface {
	Borrow(ctx context.Context, lender ident.Incarnation, args wire.BorrowArgs) (wire.BorrowReply, error)
	Repay(ctx context.Context, lender ident.Incarnation, args wire.RepayArgs) (wire.RepayReply, error)
}

// Config is what Grants needs.
type Config struct {
	Self       ident.Incarnation
	DataCentre ident.DataCentreID
	Ledger     Ledger
	Fleet      Fleet
	Peers      Peers
	// Policy returns the sizing policy of a team as its settings say.
	Policy func(ident.TeamID) Policy
	Logger zerolog.Logger
	// Teams lists the teams of the settings, of which a floor is held before
	// their first request. It may be nil.
	Teams func() []ident.TeamID
	// Now is the clock of the sizing; no safety depends on it. Default
	// time.Now.
	Now func() time.Time
	// Launch runs a task beside the caller. Default: a goroutine that Run
	// waits for.
	Launch func(task func())
}

const (
	shardCount = 64
	// kickQueue bounds the hands that wait for a draw out of turn; others are
	// seen to by the next tick.
	kickQueue = 256
)

// Grants is a router's share of all budgets. It is safe for concurrent use.
type Grants struct {
	config Config
	shards [shardCount]shard
	debts  debts
	loans  loanBook
	fenced atomic.Bool // admits nothing
	sealed atomic.Bool // for good, by others
	health health
	known  atomic.Pointer[roster]
	kick   chan *hand // hands whose draw is due before the next tick
	tasks  sync.WaitGroup
	life   context.Context // ends with Close; draws in flight run under it
	cancel context.CancelFunc
	counts *counter.Set
	log    zerolog.Logger
}

// shard is a part of the teams.
type shard struct {
	mu sync.Mutex // orders the writers of hands; the hands have their own locks
	// hands is replaced as a whole when a team is added, so that admission
	// reads it without a lock.
	hands atomic.Pointer[map[ident.TeamID]*hand]
}

// New returns a router's empty share. Run must be running for draws to be made
// before they are needed.
func New(config Config) *Grants {
	g := &Grants{
		config: config,
		kick:   make(chan *hand, kickQueue),
		counts: counter.NewSet("budget"),
		log:    config.Logger.With().Str("part", "budget").Logger(),
	}
	if g.config.Now == nil {
		g.config.Now = time.Now
	}
	if g.config.Launch == nil {
		g.config.Launch = g.launch
	}
	g.life, g.cancel = context.WithCancel(context.Background())
	for i := range g.shards {
		g.shards[i].hands.Store(&map[ident.TeamID]*hand{})
	}
	return g
}

func (g *Grants) launch(task func()) {
	g.tasks.Go(task)
}

func (g *Grants) shardOf(team ident.TeamID) *shard {
	return &g.shards[xxhash.Sum64String(string(team))%shardCount]
}

// lookup returns what is in hand for a team, nil if nothing ever was.
func (g *Grants) lookup(team ident.TeamID) *hand {
	return (*g.shardOf(team).hands.Load())[team]
}

// hand returns what is in hand for a team, creating it if needed.
func (g *Grants) hand(team ident.TeamID) *hand {
	if h := g.lookup(team); h != nil {
		return h
	}
	s := g.shardOf(team)
	s.mu.Lock()
	defer s.mu.Unlock()
	old := *s.hands.Load()
	if h := old[team]; h != nil {
		return h
	}
	h := newHand(team, g.config.Self)
	next := maps.Clone(old)
	next[team] = h
	s.hands.Store(&next)
	return h
}

// hands returns all teams of which something is or was in hand.
func (g *Grants) hands() []*hand {
	var all []*hand
	for i := range g.shards {
		for _, h := range *g.shards[i].hands.Load() {
			all = append(all, h)
		}
	}
	return all
}

// Fence stops all admission for good: this life was sealed. The runs that were
// admitted are left to the gates and the other witness.
func (g *Grants) Fence() {
	g.fenced.Store(true)
	if !g.sealed.Swap(true) {
		g.log.Warn().Msg("Sealed: no further admission.")
	}
}

// Close ends the draws in flight. Their outcome stays unknown here; the ledger
// holds the truth.
func (g *Grants) Close() {
	g.cancel()
	g.tasks.Wait()
}
