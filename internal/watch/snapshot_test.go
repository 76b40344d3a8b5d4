package watch

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/logservice"
)

// fixedSource returns one snapshot.
type fixedSource struct {
	snapshot Snapshot
	found    bool
	asked    int
}

func (s *fixedSource) Fetch(context.Context, logservice.Stream) (Snapshot, bool) {
	s.asked++
	return s.snapshot, s.found
}

// startShared runs a watcher that asks source for a snapshot.
func startShared(t *testing.T, log *fakeLog, sink *fakeSink, source SnapshotSource) *Watcher {
	w := New(log, "stream", sink, timing, zerolog.Nop())
	w.ShareSnapshots(source)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go w.Run(ctx)
	return w
}

// snapshotOf returns the snapshot of a watcher that has read the whole log.
func snapshotOf(t *testing.T, log *fakeLog) Snapshot {
	w := startShared(t, log, &fakeSink{}, &fixedSource{})
	synctest.Wait()
	snapshot, found, err := w.Snapshot()
	require.NoError(t, err)
	require.True(t, found)
	return snapshot
}

// TestSnapshotIsFollowedByTheLog: a watcher that starts from the snapshot of another
// one reads only what was added since, and is synced only after that.
func TestSnapshotIsFollowedByTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		for i := range 100 {
			log.add(fmt.Sprint("k", i), "old")
		}
		log.add("k1", "")
		snapshot := snapshotOf(t, log)
		log.add("k2", "new")
		log.add("k3", "")
		log.update(func() { log.pages = 0 })
		sink := &fakeSink{}
		w := startShared(t, log, sink, &fixedSource{snapshot: snapshot, found: true})
		synctest.Wait()
		require.Equal(t, "old", sink.get("k0"))
		require.Empty(t, sink.get("k1"), "removed before the snapshot")
		require.Equal(t, "new", sink.get("k2"), "changed after it")
		require.Empty(t, sink.get("k3"), "removed after it")
		require.False(t, w.SyncedAt().IsZero())
		log.update(func() { require.Zero(t, log.pages, "the list was not read from the log") })
		again, found, err := w.Snapshot()
		require.NoError(t, err)
		require.True(t, found)
		entries, err := decodeSnapshot(again)
		require.NoError(t, err)
		require.Len(t, entries, 98)
	})
}

// TestNotSyncedBySnapshotAlone: the peer's snapshot may be old, so a router must not
// serve by it while the log can't be read.
func TestNotSyncedBySnapshotAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		log.add("a", "1")
		snapshot := snapshotOf(t, log)
		log.update(func() { log.down = true })
		w := startShared(t, log, &fakeSink{}, &fixedSource{snapshot: snapshot, found: true})
		time.Sleep(2 * time.Second)
		require.True(t, w.SyncedAt().IsZero())
		log.update(func() { log.down = false })
		time.Sleep(time.Second)
		require.False(t, w.SyncedAt().IsZero())
	})
}

// TestUnusableSnapshotIsReplacedByTheLog: a snapshot that can't be decoded, or whose
// offset the log has trimmed, is not used, and is asked for once.
func TestUnusableSnapshotIsReplacedByTheLog(t *testing.T) {
	cases := map[string]func(s Snapshot, log *fakeLog) Snapshot{
		"not compressed": func(s Snapshot, _ *fakeLog) Snapshot { return Snapshot{Position: s.Position, Data: []byte("x")} },
		"cut off": func(s Snapshot, _ *fakeLog) Snapshot {
			return Snapshot{Position: s.Position, Data: s.Data[:len(s.Data)/2]}
		},
		"empty": func(s Snapshot, _ *fakeLog) Snapshot { return Snapshot{Position: s.Position} },
		"trimmed": func(s Snapshot, log *fakeLog) Snapshot {
			log.add("b", "2")
			log.update(func() { log.first = 2 })
			return s
		},
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := newFakeLog()
				log.add("a", "1")
				source := &fixedSource{found: true}
				source.snapshot = change(snapshotOf(t, log), log)
				sink := &fakeSink{}
				w := startShared(t, log, sink, source)
				time.Sleep(time.Second)
				require.Equal(t, "1", sink.get("a"))
				require.False(t, w.SyncedAt().IsZero())
				require.Equal(t, 1, source.asked)
			})
		})
	}
}

// TestSnapshotIsMadeOncePerInterval: routers that ask at the same time get the same
// snapshot, and a later one includes what was added since.
func TestSnapshotIsMadeOncePerInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		log.add("a", "1")
		w := startShared(t, log, &fakeSink{}, &fixedSource{})
		_, found, _ := w.Snapshot()
		require.False(t, found, "nothing was read yet")
		synctest.Wait()
		first, _, err := w.Snapshot()
		require.NoError(t, err)
		log.add("b", "2")
		time.Sleep(time.Second)
		second, _, _ := w.Snapshot()
		require.Equal(t, first, second)
		time.Sleep(snapshotReuse)
		third, _, _ := w.Snapshot()
		require.Greater(t, third.Position.Offset, first.Position.Offset)
	})
}

// FuzzDecodeSnapshot: a snapshot comes from another process.
func FuzzDecodeSnapshot(f *testing.F) {
	data, err := encodeSnapshot(map[string][]byte{"a": []byte("1"), "": {}, "b": nil})
	require.NoError(f, err)
	f.Add(data)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		entries, err := decodeSnapshot(Snapshot{Data: data})
		if err != nil {
			return
		}
		for _, e := range entries {
			require.NotEmpty(t, e.Key)
			require.NotEmpty(t, e.Value)
		}
	})
}
