package stream

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/record"
)

// Frequency of checkpoints.
const (
	// checkpointsPerRetention is how many checkpoints are written within the
	// number of entries that the log retains.
	checkpointsPerRetention = 4
	// minCheckpointInterval, in entries, keeps small streams from consisting
	// mostly of checkpoints.
	minCheckpointInterval = 16
	// maxCheckpointInterval, in entries, bounds how much a cold start reads.
	maxCheckpointInterval = 20_000
	// maxCheckpointAge is the age after which a checkpoint is due even if few
	// entries were written, because the retention may also be a time.
	maxCheckpointAge = 10 * time.Minute
	// checkpointWriteTimeout is how long to wait for a checkpoint that another
	// process has begun to write.
	checkpointWriteTimeout = 30 * time.Second
	checkpointPollInterval = time.Second
	maxCheckpointDelay     = 5 * time.Second // upper limit of a random delay, so that usually one process writes
)

// Checkpointer appends checkpoints of a follower's state to its stream.
// Checkpoints of different processes are interchangeable, however late they
// are written, so the processes need no agreement on which of them writes.
type Checkpointer[F Fold[V], V any] struct {
	follower *Follower[F, V]
	writer   *Writer[F, V]
}

// NewCheckpointer returns a checkpointer that writes through a writer of the
// follower's stream.
func NewCheckpointer[F Fold[V], V any](follower *Follower[F, V], writer *Writer[F, V]) *Checkpointer[F, V] {
	return &Checkpointer[F, V]{follower: follower, writer: writer}
}

// Run writes checkpoints when they are due, until ctx ends.
func (c *Checkpointer[F, V]) Run(ctx context.Context) {
	for sleep(ctx, checkpointPollInterval, nil) {
		due, urgent := c.follower.checkpointDue(time.Now())
		if !due {
			continue
		}
		if !urgent && !sleep(ctx, rand.N(maxCheckpointDelay), nil) {
			return
		}
		if due, _ := c.follower.checkpointDue(time.Now()); due {
			c.tryWrite(ctx)
		}
	}
}

func (c *Checkpointer[F, V]) tryWrite(ctx context.Context) {
	if err := c.Write(ctx); err != nil && ctx.Err() == nil {
		c.follower.logger.Warn().Err(err).Msg("writing the checkpoint failed; it is retried when due")
	}
}

// Write appends one checkpoint of the current state. It writes nothing while the
// state is at the beginning of the stream.
func (c *Checkpointer[F, V]) Write(ctx context.Context) error {
	snapshot, err := c.follower.Snapshot()
	if err != nil {
		return err
	}
	if snapshot.Offset == ident.NoOffset {
		return nil
	}
	for _, chunk := range splitSnapshot(snapshot.Offset, snapshot.State, maxChunkBytes) {
		r, err := record.New(c.follower.spec.CheckpointKind, chunk)
		if err != nil {
			return err
		}
		records := []record.Record{r}
		if snapshot.Era > 1 && snapshot.Complete && chunk.Index == 0 {
			marker, err := newEraMarker(snapshot.Era)
			if err != nil {
				return err
			}
			records = append(records, marker)
		}
		if _, err := c.writer.Submit(ctx, records...); err != nil {
			return err
		}
	}
	return nil
}

// checkpointDue reports whether the stream needs a checkpoint, and whether it is
// urgent, so that it is written without the random delay that gives other
// processes time to write it.
func (f *Follower[F, V]) checkpointDue(now time.Time) (due, urgent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.syncErr != nil || f.fold.Offset() < 0 {
		return false, false
	}
	if now.Sub(f.checkpointStartedAt) < checkpointWriteTimeout && f.checkpoints.startedOffset > f.checkpoints.completeOffset {
		return false, false
	}
	entries := int64(f.fold.Offset() - f.checkpoints.completeOffset)
	interval := f.checkpointInterval()
	expired := now.Sub(f.checkpointCompletedAt) >= maxCheckpointAge
	return entries >= interval || expired, entries >= 2*interval
}

// checkpointInterval returns the number of entries after which a checkpoint is
// due. It estimates the retention by the number of entries retained now, which
// is a lower bound while nothing was trimmed yet.
func (f *Follower[F, V]) checkpointInterval() int64 {
	retained := int64(f.next - f.first)
	if f.first > 0 {
		return min(maxCheckpointInterval, max(1, retained/checkpointsPerRetention))
	}
	return min(maxCheckpointInterval, max(minCheckpointInterval, retained/checkpointsPerRetention))
}
