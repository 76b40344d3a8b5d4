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

// reads counts the results of reads from the log by stream and reason.
var reads = counter.NewSet("log_reads")

// Follower keeps a fold up to date with its stream. A failed read changes
// nothing: the last state stays readable, and its offset never goes back.
type Follower[F Fold[V], V any] struct {
	log    logservice.Log
	spec   Spec[F, V]
	logger zerolog.Logger
	nudge  chan struct{} // ends a pause between reads

	mu       sync.Mutex // guards all below; pending is resolved with the fold that saw it
	fold     F
	first    ident.Offset // as the log last told
	next     ident.Offset
	contact  time.Time // of the last good read
	problem  error     // why the state may be old, nil after a good read
	advanced chan struct{}
	pending  map[record.Identity]chan readBack[V]
	pieces   *assembly
	covered  time.Time // when a checkpoint was last seen complete
	started  time.Time // when a checkpoint was last seen to begin
	hooks    []func()
}

// readBack is what became of a batch.
type readBack[V any] struct {
	verdicts []V
	lost     bool // the state jumped over the batch; its verdicts are not known
}

// NewFollower returns a follower at the beginning of its stream. Run makes it
// follow.
func NewFollower[F Fold[V], V any](log logservice.Log, spec Spec[F, V], logger zerolog.Logger) *Follower[F, V] {
	return &Follower[F, V]{
		log:      log,
		spec:     spec,
		logger:   logger.With().Str("part", "stream").Str("stream", string(spec.Stream)).Logger(),
		nudge:    make(chan struct{}, 1),
		fold:     spec.New(),
		problem:  errors.New("nothing was read yet"),
		advanced: make(chan struct{}),
		pending:  map[record.Identity]chan readBack[V]{},
		pieces:   newAssembly(spec.CheckpointKind, false),
		covered:  time.Now(),
	}
}

// OnAdvance registers a function that is called after the state advanced,
// outside the follower's lock. It must be called before Run.
func (f *Follower[F, V]) OnAdvance(hook func()) {
	f.hooks = append(f.hooks, hook)
}

// Run follows the stream until ctx ends.
func (f *Follower[F, V]) Run(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		err := f.step(ctx)
		if err == nil {
			failures = 0
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.failed(err, failures)
		sleep(ctx, pause(failures), f.nudge)
		failures++
	}
}

// step reads and applies one page.
func (f *Follower[F, V]) step(ctx context.Context) error {
	if err := f.supported(); err != nil {
		return err
	}
	page, err := read(ctx, f.log, logservice.ReadRequest{
		Stream: f.spec.Stream,
		From:   f.Offset() + 1,
		Max:    pageEntries,
		Wait:   f.pollWait(),
	})
	if errors.Is(err, logservice.ErrTrimmed) {
		return f.rebuild(ctx)
	}
	if err != nil {
		return err
	}
	return f.apply(page)
}

// pollWait is zero as long as it is not known that the log can be read.
func (f *Follower[F, V]) pollWait() time.Duration {
	if f.SyncError() != nil {
		return 0
	}
	return pollWait
}

func (f *Follower[F, V]) failed(err error, failures int) {
	f.mu.Lock()
	f.problem = err
	f.mu.Unlock()
	reads.Inc(string(f.spec.Stream) + ".failed")
	if failures == 0 {
		f.logger.Warn().Err(err).Msg("cannot follow, the last state stays")
	}
}

func (f *Follower[F, V]) supported() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.fold.Supported() {
		return ErrUnsupported
	}
	return nil
}

// rebuild fills a new fold and puts it in place of the old one, which stays
// readable meanwhile.
func (f *Follower[F, V]) rebuild(ctx context.Context) error {
	reads.Inc(string(f.spec.Stream) + ".rebuilt")
	built, err := rebuild(ctx, f.log, f.spec)
	if err != nil {
		return err
	}
	if !f.replace(built.fold) {
		return errors.Wrapf(ErrNoCheckpoint, "rebuilt %s only to offset %d", f.spec.Stream, built.fold.Offset())
	}
	f.mu.Lock()
	f.first, f.next, f.pieces = built.first, built.next, built.pieces
	f.mu.Unlock()
	f.logger.Info().Int64("offset", int64(built.fold.Offset())).Msg("state was rebuilt")
	return nil
}

// Adopt takes the snapshot of a peer if it is newer than the follower's own
// state, and reports whether it was.
func (f *Follower[F, V]) Adopt(snapshot []byte) (bool, error) {
	fold, err := f.spec.Load(snapshot)
	if err != nil {
		return false, err
	}
	return f.replace(fold), nil
}

// replace swaps the fold for a newer one. Batches that the old fold has not
// seen may be among what was jumped over.
func (f *Follower[F, V]) replace(fold F) bool {
	f.mu.Lock()
	newer := fold.Offset() > f.fold.Offset()
	if newer {
		f.fold = fold
		f.resolveJumped()
		f.wake()
	}
	f.mu.Unlock()
	if newer {
		f.runHooks()
	}
	return newer
}

// resolveJumped ends the wait for batches whose verdicts cannot be had any
// more. With a mark it is known whether the batch was among them.
func (f *Follower[F, V]) resolveJumped() {
	marks, hasMarks := any(f.fold).(marker)
	for identity, done := range f.pending {
		if hasMarks && marks.LastSequence(identity.Writer) < identity.Sequence {
			continue
		}
		delete(f.pending, identity)
		done <- readBack[V]{lost: true}
	}
}

func (f *Follower[F, V]) apply(page logservice.Page) error {
	f.mu.Lock()
	err := f.applyLocked(page)
	if len(page.Entries) > 0 {
		f.wake()
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
	f.contact = time.Now()
	f.problem = nil
	for _, entry := range page.Entries {
		if entry.Offset <= f.fold.Offset() {
			continue // a peer's state was adopted meanwhile
		}
		if entry.Offset != f.fold.Offset()+1 {
			return errors.Wrapf(logservice.ErrUnavailable, "gap before offset %d", entry.Offset)
		}
		verdicts := f.fold.Apply(entry.Offset, entry.Data)
		f.observe(entry, verdicts)
		if !f.fold.Supported() {
			return ErrUnsupported
		}
	}
	reads.Add(string(f.spec.Stream)+".entries", int64(len(page.Entries)))
	return nil
}

// observe resolves the batch if it is one of the own writer's, and takes note
// of checkpoints.
func (f *Follower[F, V]) observe(entry logservice.Entry, verdicts []V) {
	batch, err := record.Unmarshal(entry.Data)
	if err != nil {
		return
	}
	if done, ok := f.pending[batch.Identity]; ok {
		delete(f.pending, batch.Identity)
		done <- readBack[V]{verdicts: verdicts}
	}
	covers, started := f.pieces.covers, f.pieces.started
	f.pieces.batch(batch, entry.Offset)
	if f.pieces.covers > covers {
		f.covered = f.contact
	}
	if f.pieces.started > started {
		f.started = f.contact
	}
}

// wake tells waiters that the offset has moved.
func (f *Follower[F, V]) wake() {
	close(f.advanced)
	f.advanced = make(chan struct{})
}

func (f *Follower[F, V]) runHooks() {
	for _, hook := range f.hooks {
		hook()
	}
}
