package node

import (
	"context"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/logservice"
	"github.com/camphorlever/camphorlever/internal/record"
	"github.com/camphorlever/camphorlever/internal/stream"
)

type (
	ledgerFollower = stream.Follower[*ledger.State, ledger.Verdict]
	ledgerWriter   = stream.Writer[*ledger.State, ledger.Verdict]
)

// Ledger reads and writes the shards of the ledger. Every process follows every
// shard.
type Ledger struct {
	shards []ledgerShard
}

type ledgerShard struct {
	follower *ledgerFollower
	writer   *ledgerWriter
}

// LedgerSpec returns the stream specification of a ledger shard; shards is the
// total number of shards.
func LedgerSpec(shard, shards int) stream.Spec[*ledger.State, ledger.Verdict] {
	return stream.Spec[*ledger.State, ledger.Verdict]{
		Stream:         ledger.StreamOf(shard),
		New:            func() *ledger.State { return ledger.New(shard, shards) },
		Load:           ledger.Load,
		CheckpointKind: ledger.KindCheckpoint,
	}
}

func newLedger(log logservice.Log, shards int, identity func() ident.Incarnation, logger zerolog.Logger) *Ledger {
	l := &Ledger{shards: make([]ledgerShard, shards)}
	for i := range l.shards {
		follower := stream.NewFollower(log, LedgerSpec(i, shards), logger)
		l.shards[i] = ledgerShard{follower: follower, writer: stream.NewWriter(follower, identity)}
	}
	return l
}

func (l *Ledger) run(ctx context.Context, work *conc.WaitGroup) {
	for _, shard := range l.shards {
		work.Go(func() { shard.follower.Run(ctx) })
		work.Go(func() { shard.writer.Run(ctx) })
	}
}

// ready returns nil once every shard has been loaded from the log or a peer,
// and ErrNotLoaded or stream.ErrUnsupported before.
func (l *Ledger) ready() error {
	for i, shard := range l.shards {
		if shard.follower.Offset() == ident.NoOffset && shard.follower.SyncedAt().IsZero() {
			return errors.Wrapf(ErrNotLoaded, "ledger shard %d", i)
		}
		if !supported(shard.follower) {
			return stream.ErrUnsupported
		}
	}
	return nil
}

func (l *Ledger) shardOf(team ident.TeamID) ledgerShard {
	return l.shards[ledger.ShardOf(team, len(l.shards))]
}

// Submit appends records to the team's shard and returns the fold's verdicts
// once the records were read back. Concurrent callers share an append. When ctx
// ends first it returns stream.ErrNotWritten or stream.ErrOutcomeUnknown.
func (l *Ledger) Submit(ctx context.Context, team ident.TeamID, records ...record.Record) ([]ledger.Verdict, error) {
	return l.shardOf(team).writer.Submit(ctx, records...)
}

// View calls visit with the fold of the team's shard while holding its lock.
// visit must neither retain nor change the state.
func (l *Ledger) View(team ident.TeamID, visit func(*ledger.State)) {
	l.shardOf(team).follower.View(visit)
}

// Shards returns the number of shards.
func (l *Ledger) Shards() int {
	return len(l.shards)
}

// SubmitShard is Submit for a shard given by its number.
func (l *Ledger) SubmitShard(ctx context.Context, shard int, records ...record.Record) ([]ledger.Verdict, error) {
	return l.shards[shard].writer.Submit(ctx, records...)
}

// ViewShard is View for a shard given by its number.
func (l *Ledger) ViewShard(shard int, visit func(*ledger.State)) {
	l.shards[shard].follower.View(visit)
}

// CatchUp reads the end offset of the team's shard from the log service and
// waits until the fold has reached it.
func (l *Ledger) CatchUp(ctx context.Context, team ident.TeamID) error {
	return l.shardOf(team).follower.CatchUp(ctx)
}

// SyncError returns why the team's shard may be out of date, nil after a
// successful read.
func (l *Ledger) SyncError(team ident.TeamID) error {
	return l.shardOf(team).follower.SyncError()
}

// OnAdvance registers a function that is called with the shard number after a
// shard has advanced. It must be called before the node is started.
func (l *Ledger) OnAdvance(onAdvance func(shard int)) {
	for i, shard := range l.shards {
		shard.follower.OnAdvance(func() { onAdvance(i) })
	}
}
