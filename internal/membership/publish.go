package membership

import (
	"maps"
	"slices"
	"strings"
)

// publish makes the list of servers that may get new work anew where ids were
// touched, and reports whether it differs. Thousands of entries may change every
// second, so the rest is taken over as it is. The lock is held.
func (t *Table) publish() bool {
	if len(t.touched) == 0 {
		return false
	}
	next := edit{sets: maps.Clone(*t.current.Load()), own: map[string]bool{}}
	changed := false
	for id := range t.touched {
		changed = t.list(&next, id) || changed
	}
	clear(t.touched)
	t.current.Store(&next.sets)
	return changed
}

// list brings one id up to date in the list; it reports whether callers could
// tell.
func (t *Table) list(next *edit, id string) bool {
	e := t.known[id]
	now := e.server
	usable := !e.gone && !now.Draining
	before, listed := t.listed[id]
	if listed && (!usable || before.Service != now.Service) {
		next.remove(before)
		delete(t.listed, id)
	}
	if !usable {
		return listed
	}
	next.put(now)
	t.listed[id] = now
	return !listed || !before.SameIncarnation(now) || before.Slots != now.Slots || before.Service != now.Service
}

// edit is a new version of the published lists. Readers may still hold the old
// slices, so each is copied before its first change.
type edit struct {
	sets map[string][]Server
	own  map[string]bool // services whose slice is the edit's own
}

// find returns the slice of the service, which may be changed, and the place of
// the id in it.
func (e *edit) find(s Server) (list []Server, at int, found bool) {
	if !e.own[s.Service] {
		e.sets[s.Service] = slices.Clone(e.sets[s.Service])
		e.own[s.Service] = true
	}
	list = e.sets[s.Service]
	at, found = slices.BinarySearchFunc(list, s.ID, func(s Server, id string) int { return strings.Compare(s.ID, id) })
	return list, at, found
}

func (e *edit) put(s Server) {
	list, at, found := e.find(s)
	if found {
		list[at] = s
		return
	}
	e.sets[s.Service] = slices.Insert(list, at, s)
}

func (e *edit) remove(s Server) {
	list, at, found := e.find(s)
	if !found {
		return
	}
	if len(list) == 1 {
		delete(e.sets, s.Service)
		return
	}
	e.sets[s.Service] = slices.Delete(list, at, at+1)
}
