package side

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/gate"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/record"
)

const (
	// settleBatch bounds the settlements of one append.
	settleBatch = 256
	// settleDelay lets settlements gather, to spare the log service appends.
	settleDelay = 200 * time.Millisecond
	// settleTimeout bounds one attempt, settleRetry is the pause after one
	// that failed. A settlement may be written twice: the fold bills a run
	// once.
	settleTimeout = 10 * time.Second
	settleRetry   = 500 * time.Millisecond
)

// ShardLedger writes to the shards of the ledger.
type ShardLedger interface {
	Shards() int
	// SubmitShard returns the fold's verdicts after the records were read
	// back, or an error if that is not known yet.
	SubmitShard(ctx context.Context, shard int, records ...record.Record) ([]ledger.Verdict, error)
}

// Settler writes the settlements of the gate's runs to the ledger, in batches,
// until each has been read back. While the log service is out they wait in
// memory.
type Settler struct {
	ledger ShardLedger
	log    zerolog.Logger
	counts *counter.Set
	shards []settleQueue
}

var _ gate.Settler = (*Settler)(nil)

// settleQueue holds what waits for one shard.
type settleQueue struct {
	mu      sync.Mutex // guards pending
	pending []unsettled
	wake    chan struct{}
}

type unsettled struct {
	settlement ledger.Settle
	settled    func()
}

// NewSettler returns a settler that writes nothing until Run.
func NewSettler(target ShardLedger, logger zerolog.Logger) *Settler {
	s := &Settler{
		ledger: target,
		log:    logger.With().Str("part", "settler").Logger(),
		counts: counter.NewSet("settler"),
		shards: make([]settleQueue, target.Shards()),
	}
	for i := range s.shards {
		s.shards[i].wake = make(chan struct{}, 1)
	}
	return s
}

// Settle implements gate.Settler.
func (s *Settler) Settle(settlement ledger.Settle, settled func()) {
	q := &s.shards[ledger.ShardOf(settlement.Team, len(s.shards))]
	q.mu.Lock()
	q.pending = append(q.pending, unsettled{settlement: settlement, settled: settled})
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// Run writes until ctx ends.
func (s *Settler) Run(ctx context.Context) {
	var group sync.WaitGroup // a panic in a shard ends the process
	for shard := range s.shards {
		group.Go(func() { s.runShard(ctx, shard) })
	}
	group.Wait()
}

func (s *Settler) runShard(ctx context.Context, shard int) {
	q := &s.shards[shard]
	for {
		select {
		case <-q.wake:
		case <-ctx.Done():
			return
		}
		pauseFor(ctx, settleDelay)
		for batch := q.take(); len(batch) > 0 && ctx.Err() == nil; batch = q.take() {
			s.write(ctx, shard, batch)
		}
	}
}

func (q *settleQueue) take() []unsettled {
	q.mu.Lock()
	defer q.mu.Unlock()
	count := min(len(q.pending), settleBatch)
	batch := q.pending[:count:count]
	q.pending = q.pending[count:]
	return batch
}

// write repeats a batch until every settlement of it is decided.
func (s *Settler) write(ctx context.Context, shard int, batch []unsettled) {
	waiting := false
	for len(batch) > 0 && ctx.Err() == nil {
		undecided := s.attempt(ctx, shard, batch)
		if len(undecided) == len(batch) {
			if !waiting {
				s.log.Warn().Int("shard", shard).Int("runs", len(batch)).Msg("settlements wait for the log")
			}
			waiting = true
			pauseFor(ctx, settleRetry)
		}
		batch = undecided
	}
}

// attempt writes a batch once and returns what is not decided.
func (s *Settler) attempt(ctx context.Context, shard int, batch []unsettled) []unsettled {
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
		return batch
	}
	var undecided []unsettled
	for i, u := range batch {
		if !s.decided(u.settlement.Run, verdicts[i]) {
			undecided = append(undecided, u)
			continue
		}
		u.settled()
	}
	return undecided
}

// decided reports whether a verdict is final, and counts those that mean that
// the run was not billed here.
func (s *Settler) decided(run ident.RunID, verdict ledger.Verdict) bool {
	switch verdict.Outcome {
	case ledger.Accepted:
		s.counts.Inc("billed")
	case ledger.Repeated:
		s.counts.Inc("repeated")
	case ledger.AlreadyBilled:
		s.counts.Inc("key_already_billed")
	case ledger.RefusedClosed, ledger.RefusedInvalid:
		s.counts.Inc("refused")
		s.log.Error().Stringer("run", run).Uint8("outcome", uint8(verdict.Outcome)).Msg("settlement refused")
	default:
		s.counts.Inc("retry")
		return false
	}
	return true
}

// pauseFor waits, at most until ctx ends.
func pauseFor(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
