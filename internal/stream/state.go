package stream

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/record"
)

// expect registers a batch whose read-back is awaited.
func (f *Follower[F, V]) expect(identity record.Identity) <-chan readBack[V] {
	done := make(chan readBack[V], 1)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pending[identity] = done
	return done
}

// mark returns the fold's mark of a writer, and whether it keeps marks.
func (f *Follower[F, V]) mark(writer ident.Incarnation) (uint64, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	marks, ok := any(f.fold).(marker)
	if !ok {
		return 0, false
	}
	return marks.LastSequence(writer), true
}

// View calls visit with the state under the follower's lock. The state must
// not be kept or changed.
func (f *Follower[F, V]) View(visit func(F)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	visit(f.fold)
}

// Offset returns the last offset of the state, NoOffset at the beginning.
func (f *Follower[F, V]) Offset() ident.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fold.Offset()
}

// SyncError returns why the state may be old, nil after a good read.
func (f *Follower[F, V]) SyncError() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.problem
}

// SyncedAt returns the time of the last good read, zero if there was none.
func (f *Follower[F, V]) SyncedAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.contact
}

// Snapshot encodes the state.
func (f *Follower[F, V]) Snapshot() (ident.Offset, []byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	raw, err := f.fold.Snapshot()
	return f.fold.Offset(), raw, err
}

// WaitForOffset returns once the state has reached an offset.
func (f *Follower[F, V]) WaitForOffset(ctx context.Context, offset ident.Offset) error {
	return f.WaitUntil(ctx, func(fold F) bool { return fold.Offset() >= offset })
}

// WaitUntil returns once a condition on the state holds. It hurries a reader that
// pauses after a failure.
func (f *Follower[F, V]) WaitUntil(ctx context.Context, holds func(F) bool) error {
	hurried := false
	for {
		f.mu.Lock()
		done := holds(f.fold)
		advanced := f.advanced
		f.mu.Unlock()
		if done {
			return nil
		}
		if !hurried {
			f.hurry()
			hurried = true
		}
		select {
		case <-advanced:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "stream %s at offset %d", f.spec.Stream, f.Offset())
		}
	}
}

func (f *Follower[F, V]) hurry() {
	select {
	case f.nudge <- struct{}{}:
	default:
	}
}

// CatchUp reads the end of the stream from the log and waits until the state
// has reached it.
func (f *Follower[F, V]) CatchUp(ctx context.Context) error {
	_, next, err := RetainedRange(ctx, f.log, f.spec.Stream)
	if err != nil {
		return err
	}
	return f.WaitForOffset(ctx, next-1)
}

// forget gives up a batch that cannot be written.
func (f *Follower[F, V]) forget(identity record.Identity) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.pending, identity)
}
