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

// quiet is how long a silent call takes to fail, as the log's client does it.
const quiet = 700 * time.Millisecond

// fakeLog holds one stream; calls can hang, fail or find the stream trimmed.
type fakeLog struct {
	mu        sync.Mutex
	entries   []logservice.KeyedEntry
	first     ident.Offset
	silent    bool // calls are never answered
	down      bool // calls fail at once
	delay     time.Duration
	failEvery int // of the calls, one in so many fails; zero: none
	reads     int
	pages     int // of the newest entries, that were answered
	pageSize  int // zero: all in one
	added     chan struct{}
}

func newFakeLog() *fakeLog { return &fakeLog{added: make(chan struct{})} }

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

func (l *fakeLog) set(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

func (l *fakeLog) answer(ctx context.Context, wait time.Duration) error {
	l.mu.Lock()
	silent, down, delay := l.silent, l.down, l.delay
	l.reads++
	down = down || (l.failEvery > 0 && l.reads%l.failEvery == 0)
	l.mu.Unlock()
	if silent {
		delay, down = wait+quiet, true
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
	if err := l.answer(ctx, 0); err != nil {
		return logservice.NewestPage{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pages++
	newest := map[string]logservice.KeyedEntry{}
	for _, e := range l.entries {
		newest[e.Key] = e
	}
	page := logservice.NewestPage{End: ident.Offset(len(l.entries))}
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

func (l *fakeLog) ReadKeyed(ctx context.Context, _ logservice.Stream, from ident.Offset, wait time.Duration) ([]logservice.KeyedEntry, ident.Offset, error) {
	if err := l.answer(ctx, wait); err != nil {
		return nil, 0, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		l.mu.Lock()
		if from < l.first {
			l.mu.Unlock()
			return nil, 0, logservice.ErrTrimmed
		}
		if int(from) < len(l.entries) {
			list, end := append([]logservice.KeyedEntry(nil), l.entries[from:]...), ident.Offset(len(l.entries))
			l.mu.Unlock()
			return list, end, nil
		}
		added := l.added
		l.mu.Unlock()
		select {
		case <-added:
		case <-timer.C:
			return nil, from, nil
		case <-ctx.Done():
			return nil, 0, logservice.Unavailable(ctx.Err())
		}
	}
}

// state is a sink that holds the newest values.
type state struct {
	mu        sync.Mutex
	values    map[string]string
	reachable bool
}

func (s *state) Reset(entries []logservice.KeyedEntry) {
	s.mu.Lock()
	s.values = map[string]string{}
	s.mu.Unlock()
	s.Apply(entries)
}

func (s *state) Apply(entries []logservice.KeyedEntry) {
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

func (s *state) SetReachable(ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reachable = ok
}

func (s *state) seesTheLog() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reachable
}

func (s *state) get(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.values[key]
}

var pace = PollTiming{MinInterval: 100 * time.Millisecond, LongPoll: 900 * time.Millisecond}

func play(t *testing.T, test func(t *testing.T, log *fakeLog, s *state, w *Watcher)) {
	synctest.Test(t, func(t *testing.T) {
		log, s := newFakeLog(), &state{}
		log.add("a", "1")
		w := New(log, "stream", s, pace, zerolog.Nop())
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go w.Run(ctx)
		synctest.Wait()
		test(t, log, s, w)
	})
}

// TestLoadGoesOnWhereItFailed reads ten pages from a log of which each third call
// fails, as one does that many routers read at once.
func TestLoadGoesOnWhereItFailed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, s := newFakeLog(), &state{}
		for i := range 50 {
			log.add(fmt.Sprintf("k%02d", i), "1")
		}
		log.pageSize, log.failEvery = 5, 3
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go New(log, "stream", s, pace, zerolog.Nop()).Run(ctx)
		time.Sleep(5 * time.Second)
		log.set(func() { log.failEvery = 0 })
		require.Equal(t, "1", s.get("k49"))
		require.Equal(t, 10, log.pages, "no page is read twice")
		log.add("k07", "2")
		time.Sleep(2 * time.Second)
		require.Equal(t, "2", s.get("k07"), "changes come after it")
	})
}

// inForce is the bound that deployments set for a change to be in force.
const inForce = 2 * time.Second

func TestFollowsTheStream(t *testing.T) {
	play(t, func(t *testing.T, log *fakeLog, s *state, _ *Watcher) {
		require.Equal(t, "1", s.get("a"))
		log.add("a", "2")
		log.add("b", "3")
		time.Sleep(pace.MinInterval + time.Millisecond)
		require.Equal(t, "2", s.get("a"))
		require.Equal(t, "3", s.get("b"))
		log.add("b", "")
		time.Sleep(2 * pace.MinInterval)
		require.Empty(t, s.get("b"))
	})
}

func TestSilentConnectionIsLeftInTime(t *testing.T) {
	play(t, func(t *testing.T, log *fakeLog, s *state, _ *Watcher) {
		time.Sleep(50 * time.Millisecond)
		log.set(func() { log.silent = true })
		time.Sleep(3 * time.Second)
		log.add("a", "2")
		log.set(func() { log.silent = false })
		time.Sleep(inForce)
		require.Equal(t, "2", s.get("a"))
	})
}

func TestStateStaysWhileTheLogIsAway(t *testing.T) {
	play(t, func(t *testing.T, log *fakeLog, s *state, w *Watcher) {
		time.Sleep(time.Second)
		log.set(func() { log.down = true })
		time.Sleep(10 * time.Second)
		require.Equal(t, "1", s.get("a"))
		require.False(t, s.seesTheLog())
		require.Greater(t, time.Since(w.SyncedAt()), 8*time.Second)
		log.add("a", "2")
		log.set(func() { log.down = false })
		time.Sleep(longestPause + pace.MinInterval)
		require.Equal(t, "2", s.get("a"))
		require.True(t, s.seesTheLog())
	})
}

func TestTrimmedHistoryIsMadeUpFor(t *testing.T) {
	play(t, func(t *testing.T, log *fakeLog, s *state, _ *Watcher) {
		log.set(func() { log.down = true })
		time.Sleep(time.Second)
		log.add("b", "2")
		log.add("a", "")
		log.set(func() { log.down, log.first = false, 3 })
		time.Sleep(time.Second)
		require.Equal(t, "2", s.get("b"))
		require.Empty(t, s.get("a"), "it was dropped in the part that was trimmed")
	})
}

func TestContactIsNeverLongAgo(t *testing.T) {
	play(t, func(t *testing.T, _ *fakeLog, _ *state, w *Watcher) {
		for range 200 {
			time.Sleep(37 * time.Millisecond)
			require.LessOrEqual(t, time.Since(w.SyncedAt()), pace.LongPoll+pace.MinInterval)
		}
	})
}

func TestFreshReadDoesNotWaitForThePoll(t *testing.T) {
	play(t, func(t *testing.T, log *fakeLog, s *state, w *Watcher) {
		time.Sleep(300 * time.Millisecond)
		begun := time.Now()
		require.NoError(t, w.Sync(t.Context()))
		require.Less(t, time.Since(begun), pace.LongPoll/2)
		log.set(func() { log.down = true })
		time.Sleep(time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		require.Error(t, w.Sync(ctx))
	})
}

func TestCallsAreBoundedWhenManyEntriesCome(t *testing.T) {
	play(t, func(t *testing.T, log *fakeLog, _ *state, _ *Watcher) {
		log.set(func() { log.reads = 0 })
		for range 1000 {
			log.add("a", "x")
			time.Sleep(10 * time.Millisecond)
		}
		log.mu.Lock()
		defer log.mu.Unlock()
		require.LessOrEqual(t, log.reads, 102)
	})
}

// TestSlowReplyIsGivenMoreTime: after an outage a page can be so large that a
// slow link needs longer for it than a healthy log takes to answer.
func TestSlowReplyIsGivenMoreTime(t *testing.T) {
	play(t, func(t *testing.T, log *fakeLog, s *state, _ *Watcher) {
		log.set(func() { log.delay = 3 * quiet })
		log.add("a", "2")
		time.Sleep(15 * time.Second)
		require.Equal(t, "2", s.get("a"))
	})
}

func TestFreshReadIsNotWaitedForWhileTheLogIsAway(t *testing.T) {
	play(t, func(t *testing.T, log *fakeLog, _ *state, w *Watcher) {
		log.set(func() { log.down = true })
		time.Sleep(3 * time.Second)
		begun := time.Now()
		require.Error(t, w.Sync(t.Context()))
		require.Zero(t, time.Since(begun))
	})
}
