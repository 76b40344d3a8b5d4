package membership

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/camphorlever/camphorlever/internal/counter"
)

// returnGrace is how long after the store's return an entry that lapsed while
// it was away may take to come back; the platform promises about two seconds.
const returnGrace = 2 * time.Second

// Table is the set of backend servers. It is safe for concurrent use; readers
// take no lock.
type Table struct {
	log    zerolog.Logger
	events *counter.Set

	mu        sync.Mutex // guards all below; current is replaced under it
	known     map[string]*entry
	away      bool      // the store cannot be read
	returned  time.Time // when it could be read again
	current   atomic.Pointer[map[string][]Server]
	listeners []func()
}

// entry is what is known of one id.
type entry struct {
	server Server    // of the newest entry that could be read
	gone   bool      // the id names no server to use
	lapsed time.Time // when its entry went while the store was unstable; zero if it holds
}

// New returns an empty table.
func New(log zerolog.Logger) *Table {
	t := &Table{
		log:    log.With().Str("part", "membership").Logger(),
		events: counter.NewSet("membership"),
		known:  map[string]*entry{},
	}
	t.current.Store(&map[string][]Server{})
	return t
}

// OnChange registers a function that is called after the set changed. It must
// be called before the first entry.
func (t *Table) OnChange(listener func()) {
	t.listeners = append(t.listeners, listener)
}

// Of returns the servers of a service that may get new work. The slice must not
// be changed.
func (t *Table) Of(service string) []Server {
	return (*t.current.Load())[service]
}

// Usable reports whether a life of a server may get new work now.
func (t *Table) Usable(s Server) bool {
	for _, now := range t.Of(s.Service) {
		if now.SameLife(s) {
			return true
		}
	}
	return false
}

// Known reports whether an id names a server that is not gone.
func (t *Table) Known(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.known[id]
	return e != nil && !e.gone
}

// Put takes in an entry.
func (t *Table) Put(s Server) {
	t.change(func() { t.put(s) })
}

func (t *Table) put(s Server) {
	known := t.known[s.ID]
	if known != nil && s.olderThan(known.server) {
		t.events.Inc("entry_older")
		return
	}
	if known != nil && known.gone && s.Born == known.server.Born && s.Sequence == known.server.Sequence {
		t.events.Inc("entry_repeated")
		return
	}
	t.known[s.ID] = &entry{server: s}
	if known == nil || known.gone || known.server.Draining != s.Draining || !known.server.SameLife(s) {
		t.log.Info().Str("server", s.ID).Str("service", s.Service).Str("address", s.Address).
			Bool("draining", s.Draining).Int64("born", s.Born).Int64("sequence", s.Sequence).Msg("server entry")
	}
}

// Drop takes in that the entry of an id is gone. While the store is away, and a
// while after, the server is kept: its entry may have lapsed only because it
// could not be renewed.
func (t *Table) Drop(id string) {
	t.change(func() { t.drop(id, "removed") })
}

// Spoil takes in an entry that cannot be read or was not written by a server.
func (t *Table) Spoil(id string, cause error) {
	t.events.Inc("entry_unreadable")
	t.log.Warn().Err(cause).Str("server", id).Msg("entry names no server")
	t.change(func() { t.drop(id, "unreadable") })
}

func (t *Table) drop(id, reason string) {
	known := t.known[id]
	if known == nil || known.gone {
		return
	}
	if reason == "removed" && t.unstable() && !known.server.Draining {
		if known.lapsed.IsZero() {
			known.lapsed = time.Now()
			t.log.Info().Str("server", id).Msg("entry lapsed while the store was unstable")
		}
		return
	}
	known.gone = true
	t.log.Info().Str("server", id).Str("reason", reason).Msg("server is gone")
}

// unstable reports whether entries may be missing without their server being
// gone. The lock is held.
func (t *Table) unstable() bool {
	return t.away || (!t.returned.IsZero() && time.Since(t.returned) < returnGrace)
}

// Replace takes in the complete set of entries, as read anew.
func (t *Table) Replace(present map[string]bool) {
	t.change(func() {
		for id := range t.known {
			if !present[id] {
				t.drop(id, "removed")
			}
		}
	})
}

// Reachable takes in whether the store can be read.
func (t *Table) Reachable(ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.away && ok {
		t.returned = time.Now()
	}
	t.away = !ok
}

// Settle removes the servers whose entries did not come back in time. It must
// be called now and then.
func (t *Table) Settle() {
	t.mu.Lock()
	waiting := false
	for _, e := range t.known {
		waiting = waiting || (!e.gone && !e.lapsed.IsZero())
	}
	due := waiting && !t.unstable()
	t.mu.Unlock()
	if !due {
		return
	}
	t.change(func() {
		for id, e := range t.known {
			if !e.gone && !e.lapsed.IsZero() && !t.unstable() {
				e.gone = true
				t.log.Info().Str("server", id).Str("reason", "lapsed").Msg("server is gone")
			}
		}
	})
}

// change runs a change under the lock and publishes the result.
func (t *Table) change(apply func()) {
	t.mu.Lock()
	before := *t.current.Load()
	apply()
	after := t.usable()
	changed := !maps.EqualFunc(before, after, sameServers)
	t.current.Store(&after)
	t.mu.Unlock()
	if changed {
		for _, listener := range t.listeners {
			listener()
		}
	}
}

func sameServers(a, b []Server) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if !a[i].SameLife(b[i]) || a[i].Slots != b[i].Slots {
			return false
		}
	}
	return true
}

// usable lists the servers that may get new work, by service and sorted by id.
// The lock is held.
func (t *Table) usable() map[string][]Server {
	set := map[string][]Server{}
	for _, id := range slices.Sorted(maps.Keys(t.known)) {
		e := t.known[id]
		if !e.gone && !e.server.Draining {
			set[e.server.Service] = append(set[e.server.Service], e.server)
		}
	}
	return set
}
