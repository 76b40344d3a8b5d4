package membership

import (
	"maps"
	"slices"
	"strings"
)

// publish brings the published lists up to date for the ids in unpublished, and
// reports whether they differ. Thousands of entries may change every second, so
// the rest of the lists is reused. The caller holds the lock.
func (t *Table) publish() bool {
	if len(t.unpublished) == 0 {
		return false
	}
	next := revision{byService: maps.Clone(*t.current.Load()), copied: map[string]bool{}}
	changed := false
	for id := range t.unpublished {
		changed = t.publishServer(&next, id) || changed
	}
	clear(t.unpublished)
	t.current.Store(&next.byService)
	return changed
}

// usable reports whether a server may get new work. The caller holds the lock.
func (t *Table) usable(e *entry) bool {
	return !e.removed && !e.server.Draining && !e.leaving && (t.withheld == nil || !t.withheld(e.server.DataCentre))
}

// publishServer brings one id up to date in the lists. It reports whether
// anything changed that matters to listeners.
func (t *Table) publishServer(next *revision, id string) bool {
	e := t.entries[id]
	current := e.server
	usable := t.usable(e)
	previous, listed := t.published[id]
	if listed && (!usable || previous.Service != current.Service) {
		next.remove(previous)
		delete(t.published, id)
	}
	if !usable {
		return listed
	}
	next.upsert(current)
	t.published[id] = current
	return !listed || !previous.SameIncarnation(current) || previous.Slots != current.Slots || previous.Service != current.Service
}

// revision is a new version of the published lists. Readers may still use the
// old slices, so each is copied before its first change.
type revision struct {
	byService map[string][]Server
	copied    map[string]bool // services whose slice was copied
}

// find returns a copy of the slice of the service that may be changed, and the
// index of the id in it.
func (e *revision) find(s Server) (servers []Server, index int, found bool) {
	if !e.copied[s.Service] {
		e.byService[s.Service] = slices.Clone(e.byService[s.Service])
		e.copied[s.Service] = true
	}
	servers = e.byService[s.Service]
	index, found = slices.BinarySearchFunc(servers, s.ID, func(s Server, id string) int { return strings.Compare(s.ID, id) })
	return servers, index, found
}

func (e *revision) upsert(s Server) {
	servers, index, found := e.find(s)
	if found {
		servers[index] = s
		return
	}
	e.byService[s.Service] = slices.Insert(servers, index, s)
}

func (e *revision) remove(s Server) {
	servers, index, found := e.find(s)
	if !found {
		return
	}
	if len(servers) == 1 {
		delete(e.byService, s.Service)
		return
	}
	e.byService[s.Service] = slices.Delete(servers, index, index+1)
}
