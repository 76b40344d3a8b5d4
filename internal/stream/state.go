package stream

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/logservice"
	"github.com/camphorlever/camphorlever/internal/record"
)

// registerPending registers a batch and returns the channel that receives its
// outcome once it was read back.
func (f *Follower[F, V]) registerPending(identity record.Identity) <-chan readBack[V] {
	done := make(chan readBack[V], 1)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pending[identity] = done
	return done
}

// lastSequence returns the last sequence of a writer that the fold accepted, and
// whether the fold tracks sequences.
func (f *Follower[F, V]) lastSequence(writer ident.Incarnation) (uint64, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	tracker, ok := any(f.fold).(sequenceTracker)
	if !ok {
		return 0, false
	}
	return tracker.LastSequence(writer), true
}

// View calls visit with the state while holding the follower's lock. visit must
// neither retain nor change the state.
func (f *Follower[F, V]) View(visit func(F)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	visit(f.fold)
}

// Offset returns the offset of the last applied entry, NoOffset at the beginning.
func (f *Follower[F, V]) Offset() ident.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fold.Offset()
}

// SyncError returns why the state may be out of date, nil after a successful
// read.
func (f *Follower[F, V]) SyncError() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.syncErr
}

// SyncedAt returns the time of the last successful read, zero if there was none.
func (f *Follower[F, V]) SyncedAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.syncedAt
}

// Snapshot is an encoded state. Offset is that of its last entry, in the era of the
// log that the state agrees with. Complete means that the log has all entries again
// that it lost before this era.
type Snapshot struct {
	Era      logservice.Era
	Complete bool
	Offset   ident.Offset
	State    []byte
}

// Snapshot returns the encoded state. It fails while the log is compared with the
// state after a restore.
func (f *Follower[F, V]) Snapshot() (Snapshot, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.recovery.active {
		return Snapshot{}, errors.New("log was restored and is not complete yet")
	}
	raw, err := f.fold.Snapshot()
	return Snapshot{Era: f.era, Complete: f.complete(), Offset: f.fold.Offset(), State: raw}, err
}

// WaitForOffset returns nil once the state has reached an offset, and an error
// when ctx ends first.
func (f *Follower[F, V]) WaitForOffset(ctx context.Context, offset ident.Offset) error {
	return f.WaitUntil(ctx, func(fold F) bool { return fold.Offset() >= offset })
}

// WaitUntil returns nil once a condition on the state holds, and an error when
// ctx ends first. It wakes a reader that is backing off after a failure.
func (f *Follower[F, V]) WaitUntil(ctx context.Context, condition func(F) bool) error {
	woken := false
	for {
		f.mu.Lock()
		done := condition(f.fold)
		advanced := f.advanced
		f.mu.Unlock()
		if done {
			return nil
		}
		if !woken {
			f.wakeReader()
			woken = true
		}
		select {
		case <-advanced:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "stream %s at offset %d", f.spec.Stream, f.Offset())
		}
	}
}

func (f *Follower[F, V]) wakeReader() {
	select {
	case f.wakeup <- struct{}{}:
	default:
	}
}

// CatchUp reads the end offset of the stream from the log and waits until the
// state has reached it.
func (f *Follower[F, V]) CatchUp(ctx context.Context) error {
	_, next, err := RetainedRange(ctx, f.log, f.spec.Stream)
	if err != nil {
		return err
	}
	return f.WaitForOffset(ctx, next-1)
}

// dropPending removes a pending batch that cannot be written.
func (f *Follower[F, V]) dropPending(identity record.Identity) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.pending, identity)
}
