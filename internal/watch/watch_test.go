package watch

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/logservice"
)

// silentCallTimeout is when a silent call fails, as with the log's client.
const silentCallTimeout = 700 * time.Millisecond

// fakeLog holds one stream. Its calls can hang, fail or find the stream
// trimmed.
type fakeLog struct {
	mu        sync.Mutex
	era       logservice.Era
	entries   []logservice.KeyedEntry
	first     ident.Offset // offset of the first entry that is not trimmed
	silent    bool         // calls are never answered
	down      bool         // calls fail at once
	delay     time.Duration
	failEvery int // one in so many calls fails; zero: none
	reads     int
	pages     int // pages of newest entries that were returned
	pageSize  int // entries in a page; zero: all in one page
	added     chan struct{}
}

func newFakeLog() *fakeLog { return &fakeLog{era: 1, added: make(chan struct{})} }

func (l *fakeLog) add(key, value string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := logservice.KeyedEntry{Key: key, Offset: ident.Offset(len(l.entries))}
	if value != "" {
		e.Value = []byte(value)
	}
	l.entries = append(l.entries, e)
	close(l.added)
	l.added = make(chan struct{})
}

func (l *fakeLog) update(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

func (l *fakeLog) simulateCall(ctx context.Context, wait time.Duration) error {
	l.mu.Lock()
	silent, down, delay := l.silent, l.down, l.delay
	l.reads++
	down = down || (l.failEvery > 0 && l.reads%l.failEvery == 0)
	l.mu.Unlock()
	if silent {
		delay, down = wait+silentCallTimeout, true
	}
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return logservice.Unavailable(ctx.Err())
	}
	if down {
		return logservice.ErrUnavailable
	}
	return nil
}

func (l *fakeLog) NewestPage(ctx context.Context, _ logservice.Stream, after string) (logservice.NewestPage, error) {
	if err := l.simulateCall(ctx, 0); err != nil {
		return logservice.NewestPage{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pages++
	newest := map[string]logservice.KeyedEntry{}
	for _, e := range l.entries {
		newest[e.Key] = e
	}
	page := logservice.NewestPage{End: logservice.Position{Era: l.era, Offset: ident.Offset(len(l.entries))}}
	for _, key := range slices.Sorted(maps.Keys(newest)) {
		if e := newest[key]; e.Value == nil || key <= after {
			continue
		}
		if l.pageSize > 0 && len(page.Entries) == l.pageSize {
			page.More = true
			break
		}
		page.Entries = append(page.Entries, newest[key])
	}
	return page, nil
}

func (l *fakeLog) ReadKeyed(ctx context.Context, _ logservice.Stream, from logservice.Position, wait time.Duration) (logservice.KeyedPage, error) {
	if err := l.simulateCall(ctx, wait); err != nil {
		return logservice.KeyedPage{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		l.mu.Lock()
		if from.Era != l.era {
			l.mu.Unlock()
			return logservice.KeyedPage{}, logservice.ErrRestored
		}
		if from.Offset < l.first {
			l.mu.Unlock()
			return logservice.KeyedPage{}, logservice.ErrTrimmed
		}
		if int(from.Offset) < len(l.entries) {
			found := append([]logservice.KeyedEntry(nil), l.entries[from.Offset:]...)
			l.mu.Unlock()
			return logservice.KeyedPage{Entries: found, Next: from.After(len(found))}, nil
		}
		added := l.added
		l.mu.Unlock()
		select {
		case <-added:
		case <-timer.C:
			return logservice.KeyedPage{Next: from}, nil
		case <-ctx.Done():
			return logservice.KeyedPage{}, logservice.Unavailable(ctx.Err())
		}
	}
}

// restore goes back to the first entries, in a new era.
func (l *fakeLog) restore(entries int) {
	l.update(func() {
		l.era++
		l.entries = l.entries[:entries:entries]
		close(l.added)
		l.added = make(chan struct{})
	})
}

// fakeSink holds the newest values.
type fakeSink struct {
	mu        sync.Mutex
	values    map[string]string
	restores  int
	reachable bool
}

func (s *fakeSink) Restore(entries []logservice.KeyedEntry) {
	s.mu.Lock()
	s.restores++
	s.mu.Unlock()
	s.Apply(entries)
}

func (s *fakeSink) Reset(entries []logservice.KeyedEntry) {
	s.mu.Lock()
	s.values = map[string]string{}
	s.mu.Unlock()
	s.Apply(entries)
}

func (s *fakeSink) Apply(entries []logservice.KeyedEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range entries {
		if e.Value == nil {
			delete(s.values, e.Key)
			continue
		}
		s.values[e.Key] = string(e.Value)
	}
}

func (s *fakeSink) SetReachable(ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reachable = ok
}

func (s *fakeSink) isReachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reachable
}

func (s *fakeSink) get(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.values[key]
}

var timing = PollTiming{MinInterval: 100 * time.Millisecond, LongPoll: 900 * time.Millisecond}

// runWatcher runs test against a watcher that has loaded a stream with one
// entry.
func runWatcher(t *testing.T, test func(t *testing.T, log *fakeLog, s *fakeSink, w *Watcher)) {
	synctest.Test(t, func(t *testing.T) {
		log, s := newFakeLog(), &fakeSink{}
		log.add("a", "1")
		w := New(log, "stream", s, timing, zerolog.Nop())
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go w.Run(ctx)
		synctest.Wait()
		test(t, log, s, w)
	})
}

// TestLoadResumesAtFailedPage loads ten pages from a log of which each third
// call fails, as a log does that many routers read at once. A load that began
// again after each failure would not complete.
func TestLoadResumesAtFailedPage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, s := newFakeLog(), &fakeSink{}
		for i := range 50 {
			log.add(fmt.Sprintf("k%02d", i), "1")
		}
		log.pageSize, log.failEvery = 5, 3
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go New(log, "stream", s, timing, zerolog.Nop()).Run(ctx)
		time.Sleep(5 * time.Second)
		log.update(func() { log.failEvery = 0 })
		require.Equal(t, "1", s.get("k49"))
		require.Equal(t, 10, log.pages, "no page is read twice")
		log.add("k07", "2")
		time.Sleep(2 * time.Second)
		require.Equal(t, "2", s.get("k07"), "entries that were added after the load are applied")
	})
}

// maxPropagation is the bound that deployments set for a change to be in force.
const maxPropagation = 2 * time.Second

func TestWatcherAppliesNewEntries(t *testing.T) {
	runWatcher(t, func(t *testing.T, log *fakeLog, s *fakeSink, _ *Watcher) {
		require.Equal(t, "1", s.get("a"))
		log.add("a", "2")
		log.add("b", "3")
		time.Sleep(timing.MinInterval + time.Millisecond)
		require.Equal(t, "2", s.get("a"))
		require.Equal(t, "3", s.get("b"))
		log.add("b", "")
		time.Sleep(2 * timing.MinInterval)
		require.Empty(t, s.get("b"))
	})
}

func TestSilentConnectionIsAbandonedInTime(t *testing.T) {
	runWatcher(t, func(t *testing.T, log *fakeLog, s *fakeSink, _ *Watcher) {
		time.Sleep(50 * time.Millisecond)
		log.update(func() { log.silent = true })
		time.Sleep(3 * time.Second)
		log.add("a", "2")
		log.update(func() { log.silent = false })
		time.Sleep(maxPropagation)
		require.Equal(t, "2", s.get("a"))
	})
}

func TestStateIsKeptWhileLogIsUnavailable(t *testing.T) {
	runWatcher(t, func(t *testing.T, log *fakeLog, s *fakeSink, w *Watcher) {
		time.Sleep(time.Second)
		log.update(func() { log.down = true })
		time.Sleep(10 * time.Second)
		require.Equal(t, "1", s.get("a"))
		require.False(t, s.isReachable())
		require.Greater(t, time.Since(w.SyncedAt()), 8*time.Second)
		log.add("a", "2")
		log.update(func() { log.down = false })
		time.Sleep(maxBackoff + timing.MinInterval)
		require.Equal(t, "2", s.get("a"))
		require.True(t, s.isReachable())
	})
}

func TestTrimmedEntriesCauseReload(t *testing.T) {
	runWatcher(t, func(t *testing.T, log *fakeLog, s *fakeSink, _ *Watcher) {
		log.update(func() { log.down = true })
		time.Sleep(time.Second)
		log.add("b", "2")
		log.add("a", "")
		log.update(func() { log.down, log.first = false, 3 })
		time.Sleep(time.Second)
		require.Equal(t, "2", s.get("b"))
		require.Empty(t, s.get("a"), "the entry that removed it was trimmed")
	})
}

func TestSyncedAtStaysRecent(t *testing.T) {
	runWatcher(t, func(t *testing.T, _ *fakeLog, _ *fakeSink, w *Watcher) {
		for range 200 {
			time.Sleep(37 * time.Millisecond)
			require.LessOrEqual(t, time.Since(w.SyncedAt()), timing.LongPoll+timing.MinInterval)
		}
	})
}

func TestSyncInterruptsLongPoll(t *testing.T) {
	runWatcher(t, func(t *testing.T, log *fakeLog, s *fakeSink, w *Watcher) {
		time.Sleep(300 * time.Millisecond)
		begun := time.Now()
		require.NoError(t, w.Sync(t.Context()))
		require.Less(t, time.Since(begun), timing.LongPoll/2)
		log.update(func() { log.down = true })
		time.Sleep(time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		require.Error(t, w.Sync(ctx))
	})
}

func TestCallsAreBoundedWhenManyEntriesAreAdded(t *testing.T) {
	runWatcher(t, func(t *testing.T, log *fakeLog, _ *fakeSink, _ *Watcher) {
		log.update(func() { log.reads = 0 })
		for range 1000 {
			log.add("a", "x")
			time.Sleep(10 * time.Millisecond)
		}
		log.mu.Lock()
		defer log.mu.Unlock()
		require.LessOrEqual(t, log.reads, 102)
	})
}

// TestSlowReplyIsAwaited: after an outage a page can be so large that a slow
// link needs longer for it than a healthy log takes to answer. Such a reply
// must not be abandoned.
func TestSlowReplyIsAwaited(t *testing.T) {
	runWatcher(t, func(t *testing.T, log *fakeLog, s *fakeSink, _ *Watcher) {
		log.update(func() { log.delay = 3 * silentCallTimeout })
		log.add("a", "2")
		time.Sleep(15 * time.Second)
		require.Equal(t, "2", s.get("a"))
	})
}

func TestSyncFailsAtOnceWhileLogIsUnavailable(t *testing.T) {
	runWatcher(t, func(t *testing.T, log *fakeLog, _ *fakeSink, w *Watcher) {
		log.update(func() { log.down = true })
		time.Sleep(3 * time.Second)
		begun := time.Now()
		require.Error(t, w.Sync(t.Context()))
		require.Zero(t, time.Since(begun))
	})
}

// TestEntriesAtOffsetsGivenOutAgainAreRead guards against a watcher that goes on from its
// next offset after the log was restored from an older copy.
func TestEntriesAtOffsetsGivenOutAgainAreRead(t *testing.T) {
	for name, later := range map[string]int{"log is shorter": 0, "log has the same length": 1, "log is longer": 3} {
		t.Run(name, func(t *testing.T) {
			runWatcher(t, func(t *testing.T, log *fakeLog, s *fakeSink, _ *Watcher) {
				log.add("b", "2")
				time.Sleep(time.Second)
				log.update(func() { log.down = true })
				time.Sleep(time.Second)
				log.restore(1)
				log.add("c", "3")
				for i := range later {
					log.add(fmt.Sprint("d", i), "4")
				}
				log.update(func() { log.down = false })
				time.Sleep(2 * time.Second)
				require.Equal(t, "3", s.get("c"))
				require.Equal(t, "2", s.get("b"), "the copy lacks it")
				require.Equal(t, 1, s.restores)
				log.add("c", "5")
				time.Sleep(time.Second)
				require.Equal(t, "5", s.get("c"))
			})
		})
	}
}

func TestLoadStartsOverIfTheLogIsRestoredBetweenPages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, s := newFakeLog(), &fakeSink{}
		for i := range 50 {
			log.add(fmt.Sprintf("k%02d", i), "1")
		}
		log.pageSize, log.delay = 10, 100*time.Millisecond
		go New(log, "stream", s, timing, zerolog.Nop()).Run(t.Context())
		time.Sleep(250 * time.Millisecond) // two pages
		log.restore(5)
		log.add("k00", "2")
		time.Sleep(3 * time.Second)
		require.Equal(t, "2", s.get("k00"))
		require.Empty(t, s.get("k10"), "of the time before the restore")
	})
}

func TestSnapshotOfAnEarlierEraIsFollowedByTheRestoredLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		log.add("a", "1")
		log.add("b", "1")
		snapshot := snapshotOf(t, log)
		log.restore(1)
		log.add("c", "2")
		log.add("a", "3")
		sink := &fakeSink{}
		startShared(t, log, sink, &fixedSource{snapshot: snapshot, found: true})
		synctest.Wait()
		require.Equal(t, "2", sink.get("c"), "written at an offset that the snapshot includes")
		require.Equal(t, "3", sink.get("a"))
		require.Equal(t, "1", sink.get("b"))
	})
}
