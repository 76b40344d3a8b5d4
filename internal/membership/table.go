package membership

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/camphorlever/camphorlever/internal/counter"
)

// recoveryGrace is how long after the recovery of the store an entry that
// lapsed during the outage may take to be written again; the platform promises
// about two seconds.
const recoveryGrace = 2 * time.Second

// maxDetailedEntries is up to how many entries of one read are logged one by
// one. So many lines use up some seconds of the log line budget.
const maxDetailedEntries = 100

// removalRetention is how long a removed id is remembered, so that an older
// entry of it is not taken for a new one. It is far longer than any read of the
// log is delayed.
const removalRetention = 10 * time.Minute

// Table is the set of backend servers. It is safe for concurrent use;
// ForService and Usable take no lock.
type Table struct {
	log    zerolog.Logger
	events *counter.Set

	mu               sync.Mutex // guards all below; current is replaced under it
	entries          map[string]*entry
	unpublished      map[string]struct{} // ids that changed since the last publication
	published        map[string]Server   // servers in the published lists, by id
	bulkLoad         bool                // many entries are applied at once and not logged one by one
	storeUnavailable bool                // the store cannot be read
	storeRecoveredAt time.Time           // when the store could be read again
	current          atomic.Pointer[map[string][]Server]
	listeners        []func()
	withheld         func(dataCentre string) bool // nil if no data centre is ever evacuated
}

// entry is the state of one id.
type entry struct {
	server    Server    // of the newest entry that could be decoded
	removed   bool      // the id has no server that may be used
	removedAt time.Time // when it was removed
	lapsedAt  time.Time // when its entry was removed while the store was unstable; zero if the entry is valid
	leaving   bool      // the incarnation has said in a response that it will stop
}

// New returns an empty table.
func New(log zerolog.Logger) *Table {
	t := &Table{
		log:         log.With().Str("part", "membership").Logger(),
		events:      counter.NewSet("membership"),
		entries:     map[string]*entry{},
		unpublished: map[string]struct{}{},
		published:   map[string]Server{},
	}
	t.current.Store(&map[string][]Server{})
	return t
}

// OnChange registers a function that is called after each change of the set. It
// must be called before the first entry is applied.
func (t *Table) OnChange(listener func()) {
	t.listeners = append(t.listeners, listener)
}

// WithholdDataCentres has the servers of the data centres for which withheld returns true
// get no work. It must be called before the first entry is applied; after a change of
// what withheld returns, Reevaluate must be called.
func (t *Table) WithholdDataCentres(withheld func(dataCentre string) bool) { t.withheld = withheld }

// Reevaluate applies a change of the data centres that get no work.
func (t *Table) Reevaluate() {
	t.update(func() {
		for id, e := range t.entries {
			if _, listed := t.published[id]; listed != t.usable(e) {
				t.unpublished[id] = struct{}{}
			}
		}
	})
}

// InDataCentre returns the servers of a data centre that were not removed, in no
// particular order.
func (t *Table) InDataCentre(dataCentre string) []Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	var servers []Server
	for _, e := range t.entries {
		if !e.removed && e.server.DataCentre == dataCentre {
			servers = append(servers, e.server)
		}
	}
	return servers
}

// ForService returns the servers of a service that may get new work, sorted by
// id. The caller must not change the slice.
func (t *Table) ForService(service string) []Server {
	return (*t.current.Load())[service]
}

// Usable reports whether this incarnation of a server may get new work now.
func (t *Table) Usable(s Server) bool {
	for _, candidate := range t.ForService(s.Service) {
		if candidate.SameIncarnation(s) {
			return true
		}
	}
	return false
}

// Known reports whether an id has a server that was not removed.
func (t *Table) Known(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	return e != nil && !e.removed
}

// Ended reports whether an incarnation of a server has ended without having announced
// that.
func (t *Table) Ended(s Server) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[s.ID]
	if e == nil || !e.server.SameIncarnation(s) {
		return true
	}
	return e.removed && !e.server.Draining && !e.leaving
}

// Update is the content of the entry of one server.
type Update struct {
	ID     string
	Server *Server // nil if the entry was removed or cannot be used
	Err    error   // why the entry cannot be used; nil if it was removed
}

// Apply applies entries in the given order. While the store is unavailable, and
// for recoveryGrace afterwards, a server whose entry was removed is kept unless
// it was draining: the entry may have lapsed only because it could not be
// renewed.
func (t *Table) Apply(updates ...Update) {
	t.update(func() { t.apply(updates) })
}

// Reset applies the newest entries of all servers. Servers that are not among
// them were removed.
func (t *Table) Reset(updates ...Update) {
	t.update(func() {
		t.bulkLoad = len(updates) > maxDetailedEntries
		t.apply(updates)
		t.bulkLoad = false
		t.log.Info().Int("entries", len(updates)).Msg("server entries loaded")
		present := make(map[string]struct{}, len(updates))
		for _, u := range updates {
			present[u.ID] = struct{}{}
		}
		for id := range t.entries {
			if _, ok := present[id]; !ok {
				t.handleRemoval(id, "removed")
			}
		}
	})
}

// Restore applies the newest entries of all servers after the store came back from an
// older copy. Servers that are not among them are kept for recoveryGrace, within which
// those that live write their entries again.
func (t *Table) Restore(updates ...Update) {
	t.mu.Lock()
	t.storeRecoveredAt = time.Now()
	t.mu.Unlock()
	t.Reset(updates...)
}

func (t *Table) apply(updates []Update) {
	for _, u := range updates {
		switch {
		case u.Server != nil:
			t.upsert(*u.Server)
		case u.Err != nil:
			t.events.Inc("entry_unreadable")
			t.log.Warn().Err(u.Err).Str("server", u.ID).Msg("server entry cannot be used")
			t.handleRemoval(u.ID, "unreadable")
		default:
			t.handleRemoval(u.ID, "removed")
		}
	}
}

func (t *Table) upsert(s Server) {
	previous := t.entries[s.ID]
	if previous != nil && s.olderThan(previous.server) {
		t.events.Inc("entry_older")
		return
	}
	if previous != nil && previous.removed && s.StartedMS == previous.server.StartedMS && s.Sequence == previous.server.Sequence {
		t.events.Inc("entry_repeated")
		return
	}
	leaving := previous != nil && previous.leaving && previous.server.SameIncarnation(s)
	t.entries[s.ID] = &entry{server: s, leaving: leaving}
	t.unpublished[s.ID] = struct{}{}
	if t.bulkLoad {
		return
	}
	if previous == nil || previous.removed || previous.server.Draining != s.Draining || !previous.server.SameIncarnation(s) {
		t.log.Info().Str("server", s.ID).Str("service", s.Service).Str("address", s.Address).
			Bool("draining", s.Draining).Int64("born", s.StartedMS).Int64("sequence", s.Sequence).Msg("server entry applied")
	}
}

// MarkLeaving records that an incarnation of a server has said that it will stop. It gets no
// new work, whatever its entries say later, also if there is none at that moment.
func (t *Table) MarkLeaving(s Server) {
	t.update(func() {
		e := t.entries[s.ID]
		if e == nil || e.leaving || !e.server.SameIncarnation(s) {
			return
		}
		e.leaving = true
		t.unpublished[s.ID] = struct{}{}
		t.events.Inc("leaving_announced")
		t.log.Info().Str("server", s.ID).Str("address", s.Address).Int64("born", s.StartedMS).
			Bool("draining", e.server.Draining).Msg("server said in a response that it leaves")
	})
}

func (t *Table) handleRemoval(id, reason string) {
	e := t.entries[id]
	if e == nil || e.removed {
		return
	}
	if reason == "removed" && t.storeUnstable() && !e.server.Draining && !e.leaving {
		if e.lapsedAt.IsZero() {
			e.lapsedAt = time.Now()
			t.log.Info().Str("server", id).Msg("server entry was removed around an outage of the log; the server is kept for now")
		}
		return
	}
	t.markRemoved(id, e, reason)
}

func (t *Table) markRemoved(id string, e *entry, reason string) {
	e.removed, e.removedAt = true, time.Now()
	t.unpublished[id] = struct{}{}
	t.log.Info().Str("server", id).Str("reason", reason).Msg("server removed")
}

// storeUnstable reports whether entries may be missing although their servers
// exist. The caller holds the lock.
func (t *Table) storeUnstable() bool {
	return t.storeUnavailable || (!t.storeRecoveredAt.IsZero() && time.Since(t.storeRecoveredAt) < recoveryGrace)
}

// SetReachable records whether the store can be read.
func (t *Table) SetReachable(ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.storeUnavailable && ok {
		t.storeRecoveredAt = time.Now()
	}
	t.storeUnavailable = !ok
}

// RemoveExpired removes the servers whose entries were not written again within
// recoveryGrace, and forgets those that were removed longer than
// removalRetention ago. It must be called periodically.
func (t *Table) RemoveExpired() {
	t.update(func() {
		for id, e := range t.entries {
			switch {
			case e.removed && time.Since(e.removedAt) > removalRetention:
				delete(t.entries, id)
			case !e.removed && !e.lapsedAt.IsZero() && !t.storeUnstable():
				t.markRemoved(id, e, "lapsed")
			}
		}
	})
}

// update runs a change under the lock, publishes the result and calls the
// listeners.
func (t *Table) update(apply func()) {
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
