package membership

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/camphorlever/camphorlever/internal/counter"
)

// returnGrace is how long after the store's return an entry that lapsed while
// it was away may take to come back; the platform promises about two seconds.
const returnGrace = 2 * time.Second

// detailAtLoad is up to how many entries that are read together are logged one by
// one: some seconds of what the log lines may take.
const detailAtLoad = 100

// rememberGone is how long an id that went is remembered, so that an older entry
// of it is not taken for a new one: far longer than any read of the log is late.
const rememberGone = 10 * time.Minute

// Table is the set of backend servers. It is safe for concurrent use; readers
// take no lock.
type Table struct {
	log    zerolog.Logger
	events *counter.Set

	mu        sync.Mutex // guards all below; current is replaced under it
	known     map[string]*entry
	touched   map[string]struct{} // ids that changed and are not published yet
	listed    map[string]Server   // as published
	terse     bool                // entries are not logged one by one
	away      bool                // the store cannot be read
	returned  time.Time           // when it could be read again
	current   atomic.Pointer[map[string][]Server]
	listeners []func()
}

// entry is what is known of one id.
type entry struct {
	server Server    // of the newest entry that could be read
	gone   bool      // the id names no server to use
	since  time.Time // when it went
	lapsed time.Time // when its entry went while the store was unstable; zero if it holds
}

// New returns an empty table.
func New(log zerolog.Logger) *Table {
	t := &Table{
		log:     log.With().Str("part", "membership").Logger(),
		events:  counter.NewSet("membership"),
		known:   map[string]*entry{},
		touched: map[string]struct{}{},
		listed:  map[string]Server{},
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
func (t *Table) ForService(service string) []Server {
	return (*t.current.Load())[service]
}

// Usable reports whether a life of a server may get new work now.
func (t *Table) Usable(s Server) bool {
	for _, now := range t.ForService(s.Service) {
		if now.SameIncarnation(s) {
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

// Update is what was read of the entry of one server.
type Update struct {
	ID     string
	Server *Server // nil if the entry was removed or cannot be used
	Err    error   // why it cannot be used; nil if it was removed
}

// Apply takes in entries in their order. While the store is away, and a while
// after, a server whose entry was removed is kept: the entry may have lapsed only
// because it could not be renewed.
func (t *Table) Apply(updates ...Update) {
	t.change(func() { t.apply(updates) })
}

// Reset takes in the newest entries of all servers. What is not among them was
// removed.
func (t *Table) Reset(updates ...Update) {
	t.change(func() {
		t.terse = len(updates) > detailAtLoad
		t.apply(updates)
		t.terse = false
		t.log.Info().Int("entries", len(updates)).Msg("servers read")
		present := make(map[string]struct{}, len(updates))
		for _, u := range updates {
			present[u.ID] = struct{}{}
		}
		for id := range t.known {
			if _, ok := present[id]; !ok {
				t.drop(id, "removed")
			}
		}
	})
}

func (t *Table) apply(updates []Update) {
	for _, u := range updates {
		switch {
		case u.Server != nil:
			t.put(*u.Server)
		case u.Err != nil:
			t.events.Inc("entry_unreadable")
			t.log.Warn().Err(u.Err).Str("server", u.ID).Msg("entry names no server")
			t.drop(u.ID, "unreadable")
		default:
			t.drop(u.ID, "removed")
		}
	}
}

func (t *Table) put(s Server) {
	known := t.known[s.ID]
	if known != nil && s.olderThan(known.server) {
		t.events.Inc("entry_older")
		return
	}
	if known != nil && known.gone && s.StartedMS == known.server.StartedMS && s.Sequence == known.server.Sequence {
		t.events.Inc("entry_repeated")
		return
	}
	t.known[s.ID] = &entry{server: s}
	t.touched[s.ID] = struct{}{}
	if t.terse {
		return
	}
	if known == nil || known.gone || known.server.Draining != s.Draining || !known.server.SameIncarnation(s) {
		t.log.Info().Str("server", s.ID).Str("service", s.Service).Str("address", s.Address).
			Bool("draining", s.Draining).Int64("born", s.StartedMS).Int64("sequence", s.Sequence).Msg("server entry")
	}
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
	t.remove(id, known, reason)
}

func (t *Table) remove(id string, e *entry, reason string) {
	e.gone, e.since = true, time.Now()
	t.touched[id] = struct{}{}
	t.log.Info().Str("server", id).Str("reason", reason).Msg("server is gone")
}

// unstable reports whether entries may be missing without their server being
// gone. The lock is held.
func (t *Table) unstable() bool {
	return t.away || (!t.returned.IsZero() && time.Since(t.returned) < returnGrace)
}

// SetReachable takes in whether the store can be read.
func (t *Table) SetReachable(ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.away && ok {
		t.returned = time.Now()
	}
	t.away = !ok
}

// RemoveExpired removes the servers whose entries did not come back in time, and forgets
// those that went long ago. It must be called now and then.
func (t *Table) RemoveExpired() {
	t.change(func() {
		for id, e := range t.known {
			switch {
			case e.gone && time.Since(e.since) > rememberGone:
				delete(t.known, id)
			case !e.gone && !e.lapsed.IsZero() && !t.unstable():
				t.remove(id, e, "lapsed")
			}
		}
	})
}

// change runs a change under the lock and publishes the result.
func (t *Table) change(apply func()) {
	t.mu.Lock()
	apply()
	changed := t.publish()
	t.mu.Unlock()
	if changed {
		for _, listener := range t.listeners {
			listener()
		}
	}
}
