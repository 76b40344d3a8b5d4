// Package watch follows a keyed stream of the platform's log: it passes on the
// newest entry of each key once, then every further entry in order.
package watch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/logservice"
)

// Log is the part of the platform's log that a watcher uses. A call without any
// traffic for a while must fail by itself.
type Log interface {
	logservice.Pager
	ReadKeyed(ctx context.Context, stream logservice.Stream, from logservice.Position, wait time.Duration) (logservice.KeyedPage, error)
}

// Sink receives the entries that a watcher reads. Its methods are called one at
// a time.
type Sink interface {
	// Reset passes the newest entry of every key.
	Reset(entries []logservice.KeyedEntry)
	// Restore passes the newest entry of every key after the log came back from an older
	// copy. Entries may be older than known ones, and a missing key may only be missing
	// in the copy; each writer writes its entries again.
	Restore(entries []logservice.KeyedEntry)
	// Apply passes the entries that were added since, in order.
	Apply(entries []logservice.KeyedEntry)
	// SetReachable reports whether the last call to the log succeeded.
	SetReachable(ok bool)
}

// Timing of the calls.
const (
	// replyTimeout bounds a reply, in addition to the long poll: a page after
	// an outage can be large for a slow link. The log's client abandons a
	// silent call sooner.
	replyTimeout = 6 * time.Second
	// minBackoff and maxBackoff bound the pause after a failure. maxBackoff is
	// well below the time within which settings must be in force.
	minBackoff = 60 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
)

// PollTiming is how often a stream is read.
type PollTiming struct {
	// MinInterval is the least time between the starts of two reads. It bounds
	// the number of calls when many writers add entries one by one.
	MinInterval time.Duration
	// LongPoll is how long the log delays the reply to a read without entries.
	// A silent connection is noticed soon after that time.
	LongPoll time.Duration
}

// Watcher follows one stream while Run is running.
type Watcher struct {
	log    Log
	stream logservice.Stream
	sink   Sink
	timing PollTiming
	logger zerolog.Logger
	events *counter.Set

	next          logservice.Position      // of the next read; only Run uses it
	loaded        bool                     // Reset was called; only Run uses it
	source        SnapshotSource           // nil if snapshots are not shared
	newest        *newestEntries           // nil if snapshots are not shared
	snapshotTried bool                     // a snapshot was asked for; only Run uses it
	partialLoad   *logservice.NewestReader // entries of a load that is not complete; only Run uses it

	mu            sync.Mutex         // guards all below
	syncedAt      time.Time          // when the last successful call began, or its long poll ended
	unavailable   bool               // the last call failed
	failingSince  time.Time          // when the first of the last calls that all failed ended
	era           logservice.Era     // of the last successful call
	restoredTo    logservice.Era     // era in which the log last came back from an older copy
	gap           time.Duration      // between the last read before that and the first one afterwards
	syncRequested bool               // a caller of Sync waits for a read
	changed       chan struct{}      // closed when syncedAt or unavailable is set
	abortPoll     context.CancelFunc // ends the long poll in progress
}

// New returns a watcher that is idle until Run.
func New(log Log, stream logservice.Stream, sink Sink, timing PollTiming, logger zerolog.Logger) *Watcher {
	return &Watcher{
		log:     log,
		stream:  stream,
		sink:    sink,
		timing:  timing,
		logger:  logger.With().Str("part", "watch").Str("stream", string(stream)).Logger(),
		events:  counter.NewSet("watch"),
		changed: make(chan struct{}),
	}
}

// SyncedAt returns the time up to which all entries are known; zero before the
// first load.
func (w *Watcher) SyncedAt() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.syncedAt
}

// UnavailableFor returns for how long all calls to the log have failed, zero if the last
// one succeeded.
func (w *Watcher) UnavailableFor() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.unavailable {
		return 0
	}
	return time.Since(w.failingSince)
}

// GapBefore returns for how long the log could not be read until an era was first seen, or
// so far. It is zero if nothing was read before that era.
func (w *Watcher) GapBefore(era logservice.Era) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.restoredTo >= era:
		return w.gap
	case w.syncedAt.IsZero() || w.era >= era:
		return 0
	default:
		return time.Since(w.syncedAt)
	}
}

// ErrUnavailable means that the last call to the log failed.
var ErrUnavailable = errors.New("log is unavailable")

// Sync waits until all entries that were added before the call are known. It
// fails with ErrUnavailable if the last call to the log failed, and with the
// error of ctx if that ends first.
func (w *Watcher) Sync(ctx context.Context) error {
	since := time.Now()
	for {
		w.mu.Lock()
		if !w.syncedAt.Before(since) {
			w.mu.Unlock()
			return nil
		}
		if w.unavailable {
			w.mu.Unlock()
			return errors.Wrapf(ErrUnavailable, "stream %s", w.stream)
		}
		changed := w.changed
		if !w.syncRequested {
			w.syncRequested = true
			if w.abortPoll != nil {
				w.abortPoll()
			}
		}
		w.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "stream %s", w.stream)
		}
	}
}

// Run follows the stream until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		begun := time.Now()
		heldFor, err := w.poll(ctx, failures)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errPollInterrupted) {
			continue
		}
		if err != nil {
			w.recordFailure(err, failures)
			sleep(ctx, backoff(failures))
			failures++
			continue
		}
		if failures > 0 {
			w.logger.Info().Int("failures", failures).Int64("offset", int64(w.next.Offset)).Msg("log is available again")
		}
		failures = 0
		w.recordSuccess(begun.Add(heldFor))
		sleep(ctx, w.timing.MinInterval-time.Since(begun))
	}
}

var errPollInterrupted = errors.New("long poll was interrupted by a sync request")

// poll makes one read and passes its entries to the sink. It returns how long
// the log delayed the reply without finding an entry.
func (w *Watcher) poll(ctx context.Context, failures int) (time.Duration, error) {
	wait := w.timing.LongPoll
	if failures > 0 || !w.loaded {
		wait = 0
	}
	w.mu.Lock()
	if w.syncRequested {
		wait = 0
		w.syncRequested = false
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+replyTimeout)
	interruptible := wait > 0
	if interruptible {
		w.abortPoll = cancel
	}
	w.mu.Unlock()
	defer cancel()
	found, err := w.readEntries(callCtx, wait)
	w.mu.Lock()
	w.abortPoll = nil
	interrupted := interruptible && w.syncRequested && errors.Is(callCtx.Err(), context.Canceled)
	w.mu.Unlock()
	if err != nil && interrupted {
		return 0, errPollInterrupted
	}
	if found {
		wait = 0
	}
	return wait, err
}

// readEntries makes one read and reports whether there were entries.
func (w *Watcher) readEntries(ctx context.Context, wait time.Duration) (bool, error) {
	if !w.loaded && !w.loadSnapshot(ctx) {
		return true, w.load(ctx)
	}
	page, err := w.log.ReadKeyed(ctx, w.stream, w.next, wait)
	switch {
	case errors.Is(err, logservice.ErrRestored):
		w.events.Inc("restored")
		w.logger.Warn().Int64("era", int64(w.next.Era)).Int64("offset", int64(w.next.Offset)).
			Msg("log was restored from an older copy; the newest entry of each key is loaded again")
		return true, w.load(ctx)
	case errors.Is(err, logservice.ErrTrimmed):
		w.events.Inc("trimmed")
		w.logger.Info().Int64("offset", int64(w.next.Offset)).Msg("entries were trimmed; the newest of each key are loaded again")
		return true, w.load(ctx)
	case err != nil:
		return false, err
	}
	w.next = page.Next
	if len(page.Entries) == 0 {
		return false, nil
	}
	if w.newest != nil {
		w.newest.apply(page.Entries, w.next)
	}
	w.sink.Apply(page.Entries)
	return true, nil
}

// load reads the newest entry of every key. After a failure the next call
// continues at the page that failed.
func (w *Watcher) load(ctx context.Context) error {
	if w.partialLoad == nil {
		w.partialLoad = &logservice.NewestReader{}
	}
	if err := w.partialLoad.Read(ctx, w.log, w.stream); err != nil {
		return err
	}
	newest := w.partialLoad
	w.partialLoad = nil
	w.reset(newest.Entries, newest.End)
	return nil
}

// recordFailure records that the log is unavailable. Only the first of several
// failures in a row is logged.
func (w *Watcher) recordFailure(err error, failures int) {
	w.events.Inc("failed")
	if failures == 0 {
		w.logger.Warn().Err(err).Int64("offset", int64(w.next.Offset)).Msg("log is unavailable; the last known state is kept")
	}
	w.sink.SetReachable(false)
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.unavailable {
		w.failingSince = time.Now()
	}
	w.unavailable = true
	w.notifyWaiters()
}

// notifyWaiters wakes the callers of Sync. The caller holds the lock.
func (w *Watcher) notifyWaiters() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// recordSuccess records that all entries up to syncedAt are known.
func (w *Watcher) recordSuccess(syncedAt time.Time) {
	w.sink.SetReachable(true)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.syncedAt, w.unavailable, w.era = syncedAt, false, w.next.Era
	w.notifyWaiters()
}

// backoff returns the pause after a number of failures in a row. Half of it is
// random, so that routers do not retry at the same time.
func backoff(failures int) time.Duration {
	limit := min(minBackoff<<min(failures, 10), maxBackoff)
	return limit/2 + rand.N(limit/2)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
