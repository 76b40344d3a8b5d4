package placement

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/camphorlever/camphorlever/internal/filter/queue"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/measure"
)

// Shape of the load on the queue.
const (
	queueRoom    = 16
	queueLength  = 300 * time.Second
	tokenHold    = 4 * time.Millisecond // of a place, per token
	meanTokens   = 300
	capacityRate = queueRoom / (meanTokens * 0.004) // requests a second
	smallShare   = 0.05                             // of the capacity
	floodShare   = 3.0
)

// measureFairness compares a small team's times beside a flooding team with
// those that it has alone.
func measureFairness(_ context.Context, emit measure.Emit) error {
	alone := serveTeams(0)
	beside := serveTeams(floodShare)
	ratio := float64(quantile(beside.total, 0.95)) / float64(quantile(alone.total, 0.95))
	emit("fairness.small_team_p95_ratio", ratio, "ratio")
	emit("fairness.small_team_wait_p95_ms", float64(quantile(beside.wait, 0.95))/float64(time.Millisecond), "ms")
	emit("fairness.small_team_shed", float64(beside.shed), "requests")
	emit("fairness.flooding_team_shed_ratio", float64(beside.floodShed)/float64(beside.flood), "ratio")
	return nil
}

// served is what became of the small team's requests.
type served struct {
	clock     clock
	pool      *queue.Scheduler
	pending   []*pending
	wait      []time.Duration
	total     []time.Duration
	shed      int
	flood     int
	floodShed int
}

type pending struct {
	waiter *queue.Waiter
	at     time.Duration
	tokens float64
	small  bool
}

func serveTeams(flood float64) *served {
	s := &served{}
	s.pool = queue.NewScheduler(s.clock.Now)
	s.arrivals("small", smallShare*capacityRate, 4)
	if flood > 0 {
		s.arrivals("flood", flood*capacityRate, 5)
	}
	s.clock.runUntil(queueLength)
	return s
}

// arrivals draws the requests of a team, the same whoever else there is.
func (s *served) arrivals(team ident.TeamID, rate float64, stream uint64) {
	r := rand.New(rand.NewPCG(traceSeed, stream))
	for at := time.Duration(0); at < queueLength; {
		at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
		tokens := 1 + r.ExpFloat64()*meanTokens
		s.clock.at(at, func() { s.arrive(team, tokens) })
	}
}

func (s *served) arrive(team ident.TeamID, tokens float64) {
	small := team == "small"
	if !small {
		s.flood++
	}
	w, _ := s.pool.Enqueue(queue.Job{Team: team, Weight: 1, Priority: 5, Cost: tokens}, func() int { return queueRoom })
	if w == nil {
		if small {
			s.shed++
		} else {
			s.floodShed++
		}
		return
	}
	s.pending = append(s.pending, &pending{waiter: w, at: s.clock.now, tokens: tokens, small: small})
	s.begin()
}

// begin starts what has got its turn.
func (s *served) begin() {
	rest := s.pending[:0]
	for _, p := range s.pending {
		select {
		case <-p.waiter.Ready():
			s.run(p)
		default:
			rest = append(rest, p)
		}
	}
	s.pending = rest
}

func (s *served) run(p *pending) {
	turn, _ := s.pool.Slot(p.waiter)
	if turn == nil {
		return
	}
	waited := s.clock.now - p.at
	s.clock.after(time.Duration(p.tokens*float64(tokenHold)), func() {
		if p.small {
			s.wait = append(s.wait, waited)
			s.total = append(s.total, s.clock.now-p.at)
		}
		turn.Release()
		s.begin()
	})
}
