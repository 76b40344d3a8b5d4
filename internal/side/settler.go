package side

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/gate"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/record"
	"github.com/camphorlever/camphorlever/internal/stream"
)

const (
	// maxSettleBatch is the maximum number of settlements in one append.
	maxSettleBatch = 256
	// settleTimeout bounds one attempt to write a batch; settleRetryDelay is
	// the delay after a failed one. Retries may write a settlement twice,
	// which is safe because the fold bills a run once.
	settleTimeout    = 10 * time.Second
	settleRetryDelay = 500 * time.Millisecond
)

// ShardLedger writes to the shards of the ledger.
type ShardLedger interface {
	Shards() int
	// SubmitShard appends the records and returns the fold's verdicts on them
	// once they have been read back. After an error the records may or may
	// not have been written.
	SubmitShard(ctx context.Context, shard int, records ...record.Record) ([]ledger.Verdict, error)
}

// Settler writes the settlements of the gate's runs to the ledger in batches.
// It retries each until it has been read back with a final verdict. While the
// log service is unavailable, settlements are kept in memory.
type Settler struct {
	ledger ShardLedger
	log    zerolog.Logger
	counts *counter.Set
	queues []settleQueue
	pacer  *appendPacer
}

var _ gate.Settler = (*Settler)(nil)

// settleQueue holds the settlements still to be written to one shard.
type settleQueue struct {
	mu      sync.Mutex // guards pending
	pending []pendingSettlement
	wake    chan struct{}
}

type pendingSettlement struct {
	settlement ledger.Settle
	onSettled  func()
}

// NewSettler returns a settler. It writes nothing until Run is called.
// sideCount returns the number of side processes that share the append rate of
// the log service.
func NewSettler(target ShardLedger, sideCount func() int, logger zerolog.Logger) *Settler {
	s := &Settler{
		ledger: target,
		log:    logger.With().Str("part", "settler").Logger(),
		counts: counter.NewSet("settler"),
		queues: make([]settleQueue, target.Shards()),
		pacer:  newAppendPacer(sideCount, target.Shards()),
	}
	for i := range s.queues {
		s.queues[i].wake = make(chan struct{}, 1)
	}
	return s
}

// Settle implements gate.Settler.
func (s *Settler) Settle(settlement ledger.Settle, onSettled func()) {
	q := &s.queues[ledger.ShardOf(settlement.Team, len(s.queues))]
	q.mu.Lock()
	q.pending = append(q.pending, pendingSettlement{settlement: settlement, onSettled: onSettled})
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// Expedite shortens the delay for collecting settlements to its minimum until
// done is called.
func (s *Settler) Expedite() (done func()) {
	return s.pacer.expedite()
}

// Run writes settlements until ctx ends.
func (s *Settler) Run(ctx context.Context) {
	var group sync.WaitGroup // a panic in a shard ends the process
	for shard := range s.queues {
		group.Go(func() { s.runShard(ctx, shard) })
	}
	group.Wait()
}

func (s *Settler) runShard(ctx context.Context, shard int) {
	q := &s.queues[shard]
	for {
		select {
		case <-q.wake:
		case <-ctx.Done():
			return
		}
		s.pacer.wait(ctx)
		for batch := q.nextBatch(); len(batch) > 0 && ctx.Err() == nil; batch = q.nextBatch() {
			s.writeBatch(ctx, shard, batch)
		}
	}
}

func (q *settleQueue) nextBatch() []pendingSettlement {
	q.mu.Lock()
	defer q.mu.Unlock()
	count := min(len(q.pending), maxSettleBatch)
	batch := q.pending[:count:count]
	q.pending = q.pending[count:]
	return batch
}

// writeBatch retries a batch until every settlement in it has a final verdict.
func (s *Settler) writeBatch(ctx context.Context, shard int, batch []pendingSettlement) {
	logged := false
	for len(batch) > 0 && ctx.Err() == nil {
		undecided, err := s.tryWrite(ctx, shard, batch)
		if errors.Is(err, stream.ErrFenced) {
			s.giveUp(shard, batch)
			return
		}
		if len(undecided) == len(batch) {
			if !logged {
				s.log.Warn().Int("shard", shard).Int("runs", len(batch)).Msg("settlements could not be written to the ledger; retrying")
			}
			logged = true
			sleep(ctx, settleRetryDelay)
		}
		batch = undecided
	}
}

// giveUp drops settlements that this process may not write any more. The routers that
// began the runs settle them from their own records.
func (s *Settler) giveUp(shard int, batch []pendingSettlement) {
	s.counts.Add("given_up", int64(len(batch)))
	s.log.Error().Int("shard", shard).Int("runs", len(batch)).Msg("settlements given up: incarnation was lost in a restore of the log")
	for _, u := range batch {
		u.onSettled()
	}
}

// tryWrite writes a batch once and returns the settlements without a final
// verdict.
func (s *Settler) tryWrite(ctx context.Context, shard int, batch []pendingSettlement) ([]pendingSettlement, error) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	records := make([]record.Record, len(batch))
	for i, u := range batch {
		r, err := record.New(ledger.KindSettle, u.settlement)
		if err != nil {
			panic(err) // a settlement can always be encoded
		}
		records[i] = r
	}
	verdicts, err := s.ledger.SubmitShard(ctx, shard, records...)
	if err != nil || len(verdicts) != len(batch) {
		s.counts.Inc("retry")
		return batch, err
	}
	var undecided []pendingSettlement
	for i, u := range batch {
		if !s.isFinal(u.settlement.Run, verdicts[i]) {
			undecided = append(undecided, u)
			continue
		}
		u.onSettled()
	}
	return undecided, nil
}

// isFinal reports whether a verdict is final, and counts the verdict by outcome.
func (s *Settler) isFinal(run ident.RunID, verdict ledger.Verdict) bool {
	switch verdict.Outcome {
	case ledger.Accepted:
		s.counts.Inc("billed")
	case ledger.Repeated:
		s.counts.Inc("repeated")
	case ledger.AlreadyBilled:
		s.counts.Inc("key_already_billed")
	case ledger.RefusedClosed, ledger.RefusedInvalid:
		s.counts.Inc("refused")
		s.log.Error().Stringer("run", run).Uint8("outcome", uint8(verdict.Outcome)).Msg("ledger refused the settlement; the run is not billed")
	default:
		s.counts.Inc("retry")
		return false
	}
	return true
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
