package stream

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/record"
)

// Pace of checkpoints.
const (
	// checkpointShare is the part of the retention after which a new
	// checkpoint is due.
	checkpointShare = 4
	// checkpointLeast keeps small streams from consisting of checkpoints.
	checkpointLeast = 16
	// checkpointMost bounds what a cold start has to read, in entries.
	checkpointMost = 20_000
	// checkpointAge is when a checkpoint is due although few entries came, as
	// retention may also be a time.
	checkpointAge = 10 * time.Minute
	// checkpointGrace is how long a checkpoint that another process has begun
	// may take.
	checkpointGrace = 30 * time.Second
	checkpointTick  = time.Second
	checkpointDelay = 5 * time.Second // at most, so that usually one process writes
)

// Checkpointer appends checkpoints of a follower's state to its stream.
// Checkpoints of different processes are interchangeable, however late they
// are written, so processes need not agree who writes.
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
	for sleep(ctx, checkpointTick, nil) {
		due, urgent := c.follower.checkpointDue(time.Now())
		if !due {
			continue
		}
		if !urgent && !sleep(ctx, rand.N(checkpointDelay), nil) {
			return
		}
		if due, _ := c.follower.checkpointDue(time.Now()); due {
			c.attempt(ctx)
		}
	}
}

func (c *Checkpointer[F, V]) attempt(ctx context.Context) {
	if err := c.Write(ctx); err != nil && ctx.Err() == nil {
		c.follower.logger.Warn().Err(err).Msg("checkpoint was not completed")
	}
}

// Write appends one checkpoint of the state as it is now.
func (c *Checkpointer[F, V]) Write(ctx context.Context) error {
	offset, snapshot, err := c.follower.Snapshot()
	if err != nil {
		return err
	}
	if offset == ident.NoOffset {
		return nil
	}
	for _, chunk := range split(offset, snapshot, chunkBytes) {
		r, err := record.New(c.follower.spec.CheckpointKind, chunk)
		if err != nil {
			return err
		}
		if _, err := c.writer.Submit(ctx, r); err != nil {
			return err
		}
	}
	return nil
}

// checkpointDue reports whether the stream needs a checkpoint, and whether it
// must not wait for others to write one.
func (f *Follower[F, V]) checkpointDue(now time.Time) (due, urgent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.problem != nil || f.fold.Offset() < 0 {
		return false, false
	}
	if now.Sub(f.started) < checkpointGrace && f.pieces.started > f.pieces.covers {
		return false, false
	}
	since := int64(f.fold.Offset() - f.pieces.covers)
	every := f.checkpointEvery()
	aged := now.Sub(f.covered) >= checkpointAge
	return since >= every || aged, since >= 2*every
}

// checkpointEvery returns after how many entries a checkpoint is due. What is
// retained now is the estimate of the retention; while nothing was trimmed yet
// it is a lower bound.
func (f *Follower[F, V]) checkpointEvery() int64 {
	retained := int64(f.next - f.first)
	if f.first > 0 {
		return min(checkpointMost, max(1, retained/checkpointShare))
	}
	return min(checkpointMost, max(checkpointLeast, retained/checkpointShare))
}
