// Package watch follows a keyed stream of the platform's log: it hands over the
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
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/logservice"
)

// Log is what a watcher needs of the platform's log. A call on which nothing
// comes for a while fails by itself.
type Log interface {
	logservice.Pager
	ReadKeyed(ctx context.Context, stream logservice.Stream, from ident.Offset, wait time.Duration) ([]logservice.KeyedEntry, ident.Offset, error)
}

// Sink takes in what a watcher reads. Its methods are called one at a time.
type Sink interface {
	// Reset gives the newest entry of every key there is.
	Reset(entries []logservice.KeyedEntry)
	// Apply gives entries that were added since.
	Apply(entries []logservice.KeyedEntry)
	// SetReachable tells whether the last call to the log was answered.
	SetReachable(ok bool)
}

// Times of the calls.
const (
	// longestReply bounds a reply beyond the hold: a page after an outage can
	// be large for a slow link. The log's client gives a silent call up sooner.
	longestReply = 6 * time.Second
	// firstPause and longestPause bound the pause after a failure. The longest
	// stays well below the time in which settings come into force.
	firstPause   = 60 * time.Millisecond
	longestPause = 400 * time.Millisecond
)

// PollTiming says how often a stream is read.
type PollTiming struct {
	// MinInterval is the least time between two reads, which bounds the calls where
	// many writers add entries one by one.
	MinInterval time.Duration
	// LongPoll is how long the log holds a read without entries. A connection that
	// went silent is noticed soon after.
	LongPoll time.Duration
}

// Watcher follows one stream. Run must be running.
type Watcher struct {
	log    Log
	stream logservice.Stream
	sink   Sink
	pace   PollTiming
	logger zerolog.Logger
	events *counter.Set

	next   ident.Offset       // only Run uses it
	loaded bool               // only Run uses it; Reset was called
	newest *logservice.Newest // only Run uses it; what was read of a load that is not complete

	mu      sync.Mutex // guards all below
	contact time.Time  // when the newest answered call began
	away    bool       // the last call failed
	asked   bool       // somebody waits for a fresh read
	changed chan struct{}
	abort   context.CancelFunc // ends the poll in progress
}

// New returns a watcher.
func New(log Log, stream logservice.Stream, sink Sink, pace PollTiming, logger zerolog.Logger) *Watcher {
	return &Watcher{
		log:     log,
		stream:  stream,
		sink:    sink,
		pace:    pace,
		logger:  logger.With().Str("part", "watch").Str("stream", string(stream)).Logger(),
		events:  counter.NewSet("watch"),
		changed: make(chan struct{}),
	}
}

// SyncedAt returns a time up to which all entries are known, zero if none are.
func (w *Watcher) SyncedAt() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.contact
}

// ErrUnavailable means that the log does not answer.
var ErrUnavailable = errors.New("log does not answer")

// Sync waits until everything added before now is known. It fails with ErrAway
// if the last call to the log failed, and when ctx ends first.
func (w *Watcher) Sync(ctx context.Context) error {
	since := time.Now()
	for {
		w.mu.Lock()
		if !w.contact.Before(since) {
			w.mu.Unlock()
			return nil
		}
		if w.away {
			w.mu.Unlock()
			return errors.Wrapf(ErrUnavailable, "stream %s", w.stream)
		}
		changed := w.changed
		if !w.asked {
			w.asked = true
			if w.abort != nil {
				w.abort()
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
		held, err := w.step(ctx, failures)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errInterrupted) {
			continue
		}
		if err != nil {
			w.failed(err, failures)
			sleep(ctx, pause(failures))
			failures++
			continue
		}
		if failures > 0 {
			w.logger.Info().Int("failures", failures).Int64("offset", int64(w.next)).Msg("log can be read again")
		}
		failures = 0
		w.answered(begun.Add(held))
		sleep(ctx, w.pace.MinInterval-time.Since(begun))
	}
}

var errInterrupted = errors.New("poll was interrupted for a fresh read")

// step makes one read and hands its entries over. It returns for how long the
// log held the read without finding an entry.
func (w *Watcher) step(ctx context.Context, failures int) (time.Duration, error) {
	wait := w.pace.LongPoll
	if failures > 0 || !w.loaded {
		wait = 0
	}
	w.mu.Lock()
	if w.asked {
		wait = 0
		w.asked = false
	}
	call, cancel := context.WithTimeout(ctx, wait+longestReply)
	interruptible := wait > 0
	if interruptible {
		w.abort = cancel
	}
	w.mu.Unlock()
	defer cancel()
	found, err := w.read(call, wait)
	w.mu.Lock()
	w.abort = nil
	interrupted := interruptible && w.asked && errors.Is(call.Err(), context.Canceled)
	w.mu.Unlock()
	if err != nil && interrupted {
		return 0, errInterrupted
	}
	if found {
		wait = 0
	}
	return wait, err
}

// read makes one read; it reports whether there were entries.
func (w *Watcher) read(ctx context.Context, wait time.Duration) (bool, error) {
	if !w.loaded {
		return true, w.load(ctx)
	}
	entries, _, err := w.log.ReadKeyed(ctx, w.stream, w.next, wait)
	if errors.Is(err, logservice.ErrTrimmed) {
		w.events.Inc("trimmed")
		w.logger.Info().Int64("offset", int64(w.next)).Msg("entries were trimmed, the newest are read again")
		return true, w.load(ctx)
	}
	if err != nil || len(entries) == 0 {
		return false, err
	}
	w.next = entries[len(entries)-1].Offset + 1
	w.sink.Apply(entries)
	return true, nil
}

func (w *Watcher) load(ctx context.Context) error {
	if w.newest == nil {
		w.newest = &logservice.Newest{}
	}
	if err := w.newest.Read(ctx, w.log, w.stream); err != nil {
		return err
	}
	newest := w.newest
	w.newest = nil
	w.next, w.loaded = newest.End, true
	w.sink.Reset(newest.Entries)
	return nil
}

func (w *Watcher) failed(err error, failures int) {
	w.events.Inc("failed")
	if failures == 0 {
		w.logger.Warn().Err(err).Int64("offset", int64(w.next)).Msg("log cannot be read, the last state stays")
	}
	w.sink.SetReachable(false)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.away = true
	w.tell()
}

// tell wakes those who wait. The lock is held.
func (w *Watcher) tell() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// answered notes that everything up to a time is known.
func (w *Watcher) answered(known time.Time) {
	w.sink.SetReachable(true)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.contact, w.away = known, false
	w.tell()
}

// pause grows with the failures in a row; half of it is drawn at random, so
// that routers do not return together.
func pause(failures int) time.Duration {
	limit := min(firstPause<<min(failures, 10), longestPause)
	return limit/2 + rand.N(limit/2)
}

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
