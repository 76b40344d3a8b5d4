package stream

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/logservice"
	"github.com/camphorlever/camphorlever/internal/record"
)

// readEvents counts applied entries, failed reads and rebuilds by stream.
var readEvents = counter.NewSet("log_reads")

// Follower keeps a fold up to date with its stream. A failed read changes
// nothing: the last state stays readable. Its offset never decreases, unless the log
// came back from an older copy and nobody could write the lost entries again, see
// OnReset.
type Follower[F Fold[V], V any] struct {
	log    logservice.Log
	spec   Spec[F, V]
	logger zerolog.Logger
	wakeup chan struct{} // ends the delay before the next read

	mu                    sync.Mutex // guards all below; a pending batch is resolved together with the fold change
	fold                  F
	first                 ident.Offset // first and next offset of the stream at the last read
	next                  ident.Offset
	syncedAt              time.Time     // time of the last successful read
	syncErr               error         // why the state may be out of date, nil after a successful read
	advanced              chan struct{} // closed and replaced when the offset advances
	pending               map[record.Identity]chan readBack[V]
	checkpoints           *chunkAssembler
	checkpointCompletedAt time.Time // when the last complete checkpoint was read
	checkpointStartedAt   time.Time // when the first chunk of the newest checkpoint was read
	advanceHooks          []func()
	resetHooks            []func()

	era          logservice.Era // highest era seen
	answeredEra  logservice.Era // of the last answer that had one
	markedEra    logservice.Era // highest era whose marker was read
	badEraLogged bool
	eraRefused   bool      // the log has refused era; answeredEra is named in appends
	changedAt    time.Time // when entries were last read, or reading last failed
	tail         tail
	recovery     recovery
}

// readBack is the outcome of a batch.
type readBack[V any] struct {
	verdicts []V
	skipped  bool // the batch lies in a range that the state skipped; its verdicts are unknown
}

// NewFollower returns a follower at the beginning of its stream. It reads nothing
// until Run.
func NewFollower[F Fold[V], V any](log logservice.Log, spec Spec[F, V], logger zerolog.Logger) *Follower[F, V] {
	return &Follower[F, V]{
		log:                   log,
		spec:                  spec,
		logger:                logger.With().Str("part", "stream").Str("stream", string(spec.Stream)).Logger(),
		wakeup:                make(chan struct{}, 1),
		fold:                  spec.New(),
		syncErr:               errors.New("nothing was read yet"),
		advanced:              make(chan struct{}),
		pending:               map[record.Identity]chan readBack[V]{},
		checkpoints:           newChunkAssembler(spec.CheckpointKind, false),
		checkpointCompletedAt: time.Now(),
	}
}

// OnAdvance registers a function that is called, without the follower's lock,
// after the state has advanced. It must be called before Run.
func (f *Follower[F, V]) OnAdvance(hook func()) {
	f.advanceHooks = append(f.advanceHooks, hook)
}

// Run follows the stream until ctx ends. Failed reads are retried with backoff.
func (f *Follower[F, V]) Run(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		err := f.readPage(ctx)
		if err == nil {
			failures = 0
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.recordFailure(err, failures)
		sleep(ctx, retryDelay(failures), f.wakeup)
		failures++
	}
}

// readPage reads and applies one page. If its entries were trimmed, it rebuilds
// the state from a checkpoint.
func (f *Follower[F, V]) readPage(ctx context.Context) error {
	if err := f.checkSupported(); err != nil {
		return err
	}
	if f.recovery.active {
		return f.recover(ctx)
	}
	page, err := read(ctx, f.log, logservice.ReadRequest{
		Stream: f.spec.Stream,
		From:   f.Offset() + 1,
		Max:    maxPageEntries,
		Wait:   f.pollWait(),
	})
	if errors.Is(err, logservice.ErrTrimmed) {
		return f.recover(ctx)
	}
	if err != nil {
		return err
	}
	if f.noteEra(page.Era) {
		return f.recover(ctx)
	}
	if err := f.apply(page); err != nil {
		return err
	}
	return f.markComplete(ctx)
}

// pollWait returns how long a read may wait for new entries: zero until a
// read has succeeded and after a failed one, so that the result comes without
// delay.
func (f *Follower[F, V]) pollWait() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.syncErr != nil:
		return 0
	case !f.complete():
		return f.untilMark()
	default:
		return pollWait
	}
}

func (f *Follower[F, V]) recordFailure(err error, failures int) {
	f.mu.Lock()
	f.syncErr = err
	// Others may not have reached the log either, and may still have to write.
	f.changedAt = time.Now()
	f.mu.Unlock()
	readEvents.Inc(string(f.spec.Stream) + ".failed")
	if failures == 0 {
		f.logger.Warn().Err(err).Msg("reading the stream failed; the last state stays in use")
	}
}

func (f *Follower[F, V]) checkSupported() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.fold.Supported() {
		return ErrUnsupported
	}
	return nil
}

// rebuild builds a new fold from the log and replaces the old one by it. The old
// fold stays readable until then.
func (f *Follower[F, V]) rebuild(ctx context.Context) error {
	readEvents.Inc(string(f.spec.Stream) + ".rebuilt")
	built, err := rebuild(ctx, f.log, f.spec)
	if err != nil {
		return err
	}
	if f.noteEra(built.era) {
		return errRestoredAgain
	}
	if !f.replaceFold(built.fold) {
		return errors.Wrapf(ErrNoCheckpoint, "rebuilt %s only to offset %d", f.spec.Stream, built.fold.Offset())
	}
	f.mu.Lock()
	f.adoptRebuilt(built)
	f.mu.Unlock()
	f.logger.Info().Int64("offset", int64(built.fold.Offset())).Msg("state was rebuilt from the log")
	return nil
}

// adoptRebuilt takes over what was read while the fold was rebuilt. The caller holds
// the lock.
func (f *Follower[F, V]) adoptRebuilt(built rebuilt[F]) {
	f.first, f.next, f.checkpoints = built.first, built.next, built.checkpoints
	f.tail = built.tail
	f.markedEra = max(f.markedEra, built.markedEra)
}

// Adopt replaces the state by a peer's snapshot if that is newer, and reports
// whether it did. A snapshot of another era may include entries that the log has
// lost and is not adopted. It returns an error if the snapshot cannot be loaded.
func (f *Follower[F, V]) Adopt(snapshot Snapshot) (bool, error) {
	fold, err := f.spec.Load(snapshot.State)
	if err != nil {
		return false, err
	}
	f.mu.Lock()
	if f.era == logservice.NoEra {
		f.era, f.answeredEra = snapshot.Era, snapshot.Era
	}
	sameEra := snapshot.Era == f.era && !f.recovery.active
	if sameEra && snapshot.Complete {
		f.markedEra = max(f.markedEra, snapshot.Era)
	}
	f.mu.Unlock()
	return sameEra && f.replaceFold(fold), nil
}

// replaceFold replaces the fold if the given one is newer. Pending batches may be
// among the entries that are skipped this way.
func (f *Follower[F, V]) replaceFold(fold F) bool {
	f.mu.Lock()
	newer := fold.Offset() > f.fold.Offset()
	if newer {
		f.fold = fold
		f.tail.clear(fold.Offset() + 1)
		f.resolveSkipped()
		f.notifyAdvanced()
	}
	f.mu.Unlock()
	if newer {
		f.runHooks()
	}
	return newer
}

// resolveSkipped resolves pending batches whose verdicts may be lost because the
// new fold already includes them. If the fold tracks sequences, batches after the
// writer's last sequence are not included and stay pending.
func (f *Follower[F, V]) resolveSkipped() {
	tracker, tracked := any(f.fold).(sequenceTracker)
	for identity, done := range f.pending {
		if tracked && tracker.LastSequence(identity.Writer) < identity.Sequence {
			continue
		}
		delete(f.pending, identity)
		done <- readBack[V]{skipped: true}
	}
}

func (f *Follower[F, V]) apply(page logservice.Page) error {
	f.mu.Lock()
	firstRead := f.syncedAt.IsZero()
	err := f.applyLocked(page)
	if len(page.Entries) > 0 || firstRead {
		f.notifyAdvanced()
	}
	f.mu.Unlock()
	if len(page.Entries) > 0 {
		f.runHooks()
	}
	return err
}

func (f *Follower[F, V]) applyLocked(page logservice.Page) error {
	f.first = page.First
	f.next = page.Next
	f.syncedAt = time.Now()
	f.syncErr = nil
	if len(page.Entries) > 0 {
		f.changedAt = f.syncedAt
	}
	for _, entry := range page.Entries {
		if entry.Offset <= f.fold.Offset() {
			continue // a peer's snapshot adopted in the meantime includes it
		}
		if entry.Offset != f.fold.Offset()+1 {
			return errors.Wrapf(logservice.ErrUnavailable, "gap before offset %d", entry.Offset)
		}
		verdicts := f.fold.Apply(entry.Offset, entry.Data)
		f.tail.add(entry.Offset, entry.Data)
		f.observeEntry(entry, verdicts)
		if !f.fold.Supported() {
			return ErrUnsupported
		}
	}
	readEvents.Add(string(f.spec.Stream)+".entries", int64(len(page.Entries)))
	return nil
}

// observeEntry resolves the batch if it is pending, and tracks checkpoints.
func (f *Follower[F, V]) observeEntry(entry logservice.Entry, verdicts []V) {
	batch, err := record.Unmarshal(entry.Data)
	if err != nil {
		return
	}
	f.noteMarker(markedEra(batch))
	if done, ok := f.pending[batch.Identity]; ok {
		delete(f.pending, batch.Identity)
		done <- readBack[V]{verdicts: verdicts}
	}
	completeOffset, startedOffset := f.checkpoints.completeOffset, f.checkpoints.startedOffset
	f.checkpoints.addBatch(batch, entry.Offset)
	if f.checkpoints.completeOffset > completeOffset {
		f.checkpointCompletedAt = f.syncedAt
	}
	if f.checkpoints.startedOffset > startedOffset {
		f.checkpointStartedAt = f.syncedAt
	}
}

// notifyAdvanced wakes the waiters after the offset has advanced.
func (f *Follower[F, V]) notifyAdvanced() {
	close(f.advanced)
	f.advanced = make(chan struct{})
}

func (f *Follower[F, V]) runHooks() {
	for _, hook := range f.advanceHooks {
		hook()
	}
}
