package watch

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/camphorlever/camphorlever/internal/logservice"
)

// Snapshot is the newest entry of each key of a stream, up to a position.
type Snapshot struct {
	Position logservice.Position // entries at and after it are not included
	Data     []byte              // compressed entries
}

// SnapshotSource gets snapshots from other processes that follow a stream.
type SnapshotSource interface {
	// Fetch returns a snapshot of a stream. It returns false if this process shall
	// read the stream from the log, and otherwise waits until a snapshot is found
	// or ctx ends.
	Fetch(ctx context.Context, stream logservice.Stream) (Snapshot, bool)
}

const (
	// snapshotReuse is how long a snapshot is handed out before a new one is made.
	// Its receivers read what follows from the log, whose history is longer.
	snapshotReuse = 3 * time.Second
	// maxSnapshotBytes bounds a snapshot after decompression.
	maxSnapshotBytes = 64 << 20
)

// newestEntries holds the newest entry of each key, encoded as in the log, to make
// snapshots. Its methods are called by one watcher; snapshot may be called by
// others.
type newestEntries struct {
	mu      sync.Mutex // guards all below
	values  map[string][]byte
	next    logservice.Position // values include all entries before it
	loaded  bool
	cached  Snapshot
	builtAt time.Time // of cached; zero if there is none
}

// reset replaces all entries.
func (n *newestEntries) reset(entries []logservice.KeyedEntry, next logservice.Position) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.values, n.loaded, n.next, n.builtAt = make(map[string][]byte, len(entries)), true, next, time.Time{}
	n.add(entries)
}

// apply adds entries that follow.
func (n *newestEntries) apply(entries []logservice.KeyedEntry, next logservice.Position) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.add(entries)
	n.next = next
}

// add adds entries. The lock is held.
func (n *newestEntries) add(entries []logservice.KeyedEntry) {
	for _, e := range entries {
		switch {
		case e.Key == "": // the record is not in the keyed format
		case e.Value == nil:
			delete(n.values, e.Key)
		default:
			n.values[e.Key] = e.Value
		}
	}
}

// snapshot returns a snapshot, which may be up to snapshotReuse old. It returns
// false if the stream was not loaded yet.
func (n *newestEntries) snapshot(now time.Time) (Snapshot, bool, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.loaded {
		return Snapshot{}, false, nil
	}
	if !n.builtAt.IsZero() && now.Sub(n.builtAt) < snapshotReuse {
		return n.cached, true, nil
	}
	data, err := encodeSnapshot(n.values)
	if err != nil {
		return Snapshot{}, false, err
	}
	n.cached, n.builtAt = Snapshot{Position: n.next, Data: data}, now
	return n.cached, true, nil
}

func encodeSnapshot(values map[string][]byte) ([]byte, error) {
	var out bytes.Buffer
	compressor, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress snapshot")
	}
	if err := msgpack.NewEncoder(compressor).Encode(values); err != nil {
		return nil, errors.Wrap(err, "encode snapshot")
	}
	if err := compressor.Close(); err != nil {
		return nil, errors.Wrap(err, "compress snapshot")
	}
	return out.Bytes(), nil
}

func decodeSnapshot(s Snapshot) ([]logservice.KeyedEntry, error) {
	var values map[string][]byte
	plain := io.LimitReader(flate.NewReader(bytes.NewReader(s.Data)), maxSnapshotBytes)
	if err := msgpack.NewDecoder(plain).Decode(&values); err != nil {
		return nil, errors.Wrap(err, "decode snapshot")
	}
	entries := make([]logservice.KeyedEntry, 0, len(values))
	for key, value := range values {
		if key != "" && len(value) > 0 {
			entries = append(entries, logservice.KeyedEntry{Key: key, Value: value})
		}
	}
	return entries, nil
}

// ShareSnapshots makes the watcher load its stream from a snapshot of another
// process if there is one, and keep the entries for snapshots of its own. It must
// be called before Run.
func (w *Watcher) ShareSnapshots(source SnapshotSource) {
	w.source, w.newest = source, &newestEntries{}
}

// Snapshot returns a snapshot of the stream. It returns false if the stream was not
// loaded yet, or if snapshots are not shared.
func (w *Watcher) Snapshot() (Snapshot, bool, error) {
	if w.newest == nil {
		return Snapshot{}, false, nil
	}
	return w.newest.snapshot(time.Now())
}

// loadSnapshot loads the stream from a snapshot of another process, and reports
// whether it did.
func (w *Watcher) loadSnapshot(ctx context.Context) bool {
	if w.source == nil || w.snapshotTried {
		return false
	}
	w.snapshotTried = true // once, so that a useless snapshot delays a load only once
	snapshot, found := w.source.Fetch(ctx, w.stream)
	if !found {
		return false
	}
	entries, err := decodeSnapshot(snapshot)
	if err != nil {
		w.events.Inc("snapshot_unusable")
		w.logger.Warn().Err(err).Msg("snapshot of another router cannot be used")
		return false
	}
	w.events.Inc("snapshot_loaded")
	w.logger.Info().Int("entries", len(entries)).Int64("offset", int64(snapshot.Position.Offset)).Int("bytes", len(snapshot.Data)).
		Msg("snapshot of another router loaded")
	w.reset(entries, snapshot.Position)
	return true
}

// reset passes the newest entry of every key to the sink.
func (w *Watcher) reset(entries []logservice.KeyedEntry, next logservice.Position) {
	restored := w.loaded && next.Era != w.next.Era
	w.next, w.loaded = next, true
	if w.newest != nil {
		w.newest.reset(entries, next)
	}
	if restored {
		w.mu.Lock()
		w.restoredTo, w.gap = next.Era, time.Since(w.syncedAt)
		w.mu.Unlock()
		w.sink.Restore(entries)
		return
	}
	w.sink.Reset(entries)
}
