package queue

import (
	"slices"

	"github.com/camphorlever/camphorlever/internal/ident"
)

// order is a start-time fair queue per priority. Not safe for concurrent use.
type order struct {
	count  int
	levels [priorities]level
}

// level holds the waiting requests of one priority.
type level struct {
	now   float64 // virtual time: tokens per weight that each team has had
	teams map[ident.TeamID]*teamQueue
}

// teamQueue holds the waiting requests of one team. It stays while its finish
// is ahead of the level's virtual time, so that a team gains nothing by
// having no request waiting for a moment.
type teamQueue struct {
	finish  float64 // virtual time at which the last request's turn ends
	cost    float64 // of all waiting
	weight  float64
	waiting []*Waiter
}

func (o *order) push(w *Waiter) {
	l := &o.levels[w.ticket.Priority]
	if l.teams == nil {
		l.teams = map[ident.TeamID]*teamQueue{}
	}
	q, ok := l.teams[w.ticket.Team]
	if !ok {
		q = &teamQueue{}
		l.teams[w.ticket.Team] = q
	}
	q.weight = w.ticket.Weight
	w.start = max(l.now, q.finish)
	q.finish = w.start + w.ticket.Cost/w.ticket.Weight
	q.cost += w.ticket.Cost
	q.waiting = append(q.waiting, w)
	o.count++
}

// pop takes the next request out; there must be one.
func (o *order) pop() *Waiter {
	for i := range o.levels {
		l := &o.levels[i]
		next := l.next()
		if next == nil {
			continue
		}
		w := next.waiting[0]
		next.waiting = next.waiting[1:]
		next.cost -= w.ticket.Cost
		l.now = w.start
		l.forget()
		o.count--
		return w
	}
	panic("queue: pop from an empty order")
}

// next returns the team whose first request starts earliest; ties go by name
// so that the order does not depend on the map.
func (l *level) next() *teamQueue {
	var best *teamQueue
	var name ident.TeamID
	for id, q := range l.teams {
		if len(q.waiting) == 0 {
			continue
		}
		if best == nil || q.waiting[0].start < best.waiting[0].start ||
			(q.waiting[0].start == best.waiting[0].start && id < name) {
			best, name = q, id
		}
	}
	return best
}

// forget drops teams that have had no more than their share.
func (l *level) forget() {
	for id, q := range l.teams {
		if len(q.waiting) == 0 && q.finish <= l.now {
			delete(l.teams, id)
		}
	}
}

// remove takes a waiting request out; false if it is not there.
func (o *order) remove(w *Waiter) bool {
	q, ok := o.levels[w.ticket.Priority].teams[w.ticket.Team]
	if !ok {
		return false
	}
	at := slices.Index(q.waiting, w)
	if at < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, at, at+1)
	q.cost -= w.ticket.Cost
	q.finish -= w.ticket.Cost / w.ticket.Weight
	o.count--
	return true
}

// last returns the request that goes last: of the lowest priority, of the
// team that starts latest.
func (o *order) last() *Waiter {
	for i := priorities - 1; i >= 0; i-- {
		var last *Waiter
		for _, q := range o.levels[i].teams {
			if n := len(q.waiting); n > 0 && (last == nil || q.waiting[n-1].start > last.start) {
				last = q.waiting[n-1]
			}
		}
		if last != nil {
			return last
		}
	}
	return nil
}

// ahead returns the tokens that would be served before a new request ends its
// wait: all of higher priority, and of each team beside its own no more than
// that team's share of the same time.
func (o *order) ahead(t Job) float64 {
	total := 0.0
	for i := range t.Priority {
		for _, q := range o.levels[i].teams {
			total += q.cost
		}
	}
	l := &o.levels[t.Priority]
	own := 0.0
	if q, ok := l.teams[t.Team]; ok {
		own = q.cost
	}
	for id, q := range l.teams {
		if id != t.Team {
			total += min(q.cost, (own+t.Cost)*q.weight/t.Weight)
		}
	}
	return total + own
}
