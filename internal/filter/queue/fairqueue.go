package queue

import (
	"slices"

	"github.com/camphorlever/camphorlever/internal/ident"
)

// fairQueue is a strict-priority queue with start-time fair queuing between the
// teams of each priority. It is not safe for concurrent use.
type fairQueue struct {
	count  int
	levels [priorities]priorityLevel
}

// priorityLevel holds the waiting requests of one priority.
type priorityLevel struct {
	virtualTime float64 // tokens per unit of weight that each backlogged team has been served
	teams       map[ident.TeamID]*teamQueue
}

// teamQueue holds the waiting requests of one team. An empty one is kept while its
// finish is ahead of the level's virtual time, so that a team cannot gain service by
// letting its queue run empty for a moment.
type teamQueue struct {
	finish      float64 // virtual finish time of the team's last request
	waitingCost float64 // tokens of all waiting requests
	weight      float64
	waiting     []*Waiter
}

func (o *fairQueue) push(w *Waiter) {
	l := &o.levels[w.job.Priority]
	if l.teams == nil {
		l.teams = map[ident.TeamID]*teamQueue{}
	}
	q, ok := l.teams[w.job.Team]
	if !ok {
		q = &teamQueue{}
		l.teams[w.job.Team] = q
	}
	q.weight = w.job.Weight
	w.start = max(l.virtualTime, q.finish)
	q.finish = w.start + w.job.Cost/w.job.Weight
	q.waitingCost += w.job.Cost
	q.waiting = append(q.waiting, w)
	o.count++
}

// pop removes and returns the next request. It panics if the queue is empty.
func (o *fairQueue) pop() *Waiter {
	for i := range o.levels {
		l := &o.levels[i]
		nextTeam := l.nextTeam()
		if nextTeam == nil {
			continue
		}
		w := nextTeam.waiting[0]
		nextTeam.waiting = nextTeam.waiting[1:]
		nextTeam.waitingCost -= w.job.Cost
		l.virtualTime = w.start
		l.dropIdleTeams()
		o.count--
		return w
	}
	panic("queue: pop from an empty queue")
}

// nextTeam returns the team whose first request has the earliest virtual start time,
// nil if none is waiting. Ties are broken by name so that the order does not depend
// on map iteration.
func (l *priorityLevel) nextTeam() *teamQueue {
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

// dropIdleTeams removes teams without waiting requests whose finish is not ahead of
// the virtual time: they have received no more than their share.
func (l *priorityLevel) dropIdleTeams() {
	for id, q := range l.teams {
		if len(q.waiting) == 0 && q.finish <= l.virtualTime {
			delete(l.teams, id)
		}
	}
}

// remove removes a waiting request. It returns false if the request is not queued.
func (o *fairQueue) remove(w *Waiter) bool {
	q, ok := o.levels[w.job.Priority].teams[w.job.Team]
	if !ok {
		return false
	}
	index := slices.Index(q.waiting, w)
	if index < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, index, index+1)
	q.waitingCost -= w.job.Cost
	q.finish -= w.job.Cost / w.job.Weight
	o.count--
	return true
}

// last returns the request that would be served last: in the lowest
// priority, the one with the latest virtual start time. It returns nil if the queue
// is empty.
func (o *fairQueue) last() *Waiter {
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

// costAhead returns the tokens that would be served before a new request is: all of
// higher priorities, all of its own team, and of every other team no more than that
// team's fair share in the same time.
func (o *fairQueue) costAhead(j Job) float64 {
	total := 0.0
	for i := range j.Priority {
		for _, q := range o.levels[i].teams {
			total += q.waitingCost
		}
	}
	l := &o.levels[j.Priority]
	own := 0.0
	if q, ok := l.teams[j.Team]; ok {
		own = q.waitingCost
	}
	for id, q := range l.teams {
		if id != j.Team {
			total += min(q.waitingCost, (own+j.Cost)*q.weight/j.Weight)
		}
	}
	return total + own
}
