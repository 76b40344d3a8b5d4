package queue

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/ident"
)

func limitOne() int { return 1 }

func newJob(team ident.TeamID, priority int, cost float64) Job {
	return Job{Team: team, Weight: 1, Priority: priority, Cost: cost}
}

// serveInOrder enqueues the jobs while the only slot is occupied and returns the
// order in which they are granted it.
func serveInOrder(t *testing.T, jobs ...Job) []ident.TeamID {
	s := NewScheduler(nil)
	first, _ := s.Enqueue(newJob("first", 0, 1), limitOne)
	waiting := map[*Waiter]ident.TeamID{}
	for _, job := range jobs {
		w, shed := s.Enqueue(job, limitOne)
		require.NotNil(t, w, shed)
		waiting[w] = job.Team
	}
	var order []ident.TeamID
	for current := first; ; {
		slot, _ := s.Slot(current)
		slot.Release()
		current = nil
		for w, team := range waiting {
			select {
			case <-w.Ready():
				require.Nil(t, current, "the only slot is granted to one waiter at a time")
				current = w
				order = append(order, team)
				delete(waiting, w)
			default:
			}
		}
		if current == nil {
			return order
		}
	}
}

func TestServingOrder(t *testing.T) {
	heavy := newJob("heavy", 5, 10)
	heavy.Weight = 3
	cases := map[string]struct {
		jobs []Job
		want []ident.TeamID
	}{
		"priority first": {[]Job{newJob("low", 9, 1), newJob("high", 1, 100), newJob("mid", 5, 1)}, []ident.TeamID{"high", "mid", "low"}},
		"a flooding team waits behind its own requests": {[]Job{newJob("flood", 5, 10), newJob("flood", 5, 10), newJob("flood", 5, 10), newJob("small", 5, 10)},
			[]ident.TeamID{"flood", "small", "flood", "flood"}},
		"fair by tokens, not by requests": {[]Job{newJob("long", 5, 40), newJob("long", 5, 40), newJob("short", 5, 10), newJob("short", 5, 10), newJob("short", 5, 10)},
			[]ident.TeamID{"long", "short", "short", "short", "long"}},
		"weights": {[]Job{heavy, heavy, heavy, heavy, newJob("light", 5, 10), newJob("light", 5, 10)},
			[]ident.TeamID{"heavy", "light", "heavy", "heavy", "heavy", "light"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, serveInOrder(t, c.jobs...))
		})
	}
}

func TestPausingTeamKeepsItsVirtualTime(t *testing.T) {
	s := NewScheduler(nil)
	w, _ := s.Enqueue(newJob("a", 5, 100), limitOne)
	slot, _ := s.Slot(w)
	a, _ := s.Enqueue(newJob("a", 5, 100), limitOne) // the team was charged 100 tokens for its first request
	b, _ := s.Enqueue(newJob("b", 5, 100), limitOne)
	slot.Release()
	require.True(t, b.granted)
	require.False(t, a.granted)
}

func TestShedding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewScheduler(nil)
		first, _ := s.Enqueue(newJob("holder", 0, 1), limitOne)
		slot, _ := s.Slot(first)

		// At the initial estimate of 2000 tokens per second, 20 s are 40,000 tokens.
		_, shed := s.Enqueue(newJob("flood", 5, 35_000), limitOne)
		require.Empty(t, shed.Reason)
		_, shed = s.Enqueue(newJob("flood", 5, 35_000), limitOne)
		require.Empty(t, shed.Reason, "35,000 tokens are ahead of it, less than MaxWait")
		_, shed = s.Enqueue(newJob("flood", 5, 1), limitOne)
		require.Equal(t, shedWait, shed.Reason)
		require.InDelta(t, 35, shed.RetryAfter.Seconds(), 0.1)
		_, shed = s.Enqueue(newJob("small", 5, 10), limitOne)
		require.Empty(t, shed.Reason, "other teams count only with their share")
		_, shed = s.Enqueue(newJob("urgent", 0, 35_000), limitOne)
		require.Empty(t, shed.Reason, "a higher priority is served first")
		_, shed = s.Enqueue(newJob("late", 9, 1), limitOne)
		require.Equal(t, shedWait, shed.Reason, "the lowest priority is shed first")

		// A request that was not served within MaxWait is shed.
		ended := make(chan Shed)
		go func() {
			_, shed := s.Acquire(context.Background(), newJob("patient", 1, 1), limitOne)
			ended <- shed
		}()
		start := time.Now()
		require.Equal(t, shedTimeout, (<-ended).Reason)
		require.Equal(t, MaxWait, time.Since(start))
		slot.Release()
	})
}

func TestFullQueueEvictsTheLowestPriority(t *testing.T) {
	s := NewScheduler(nil)
	_, _ = s.Enqueue(newJob("holder", 0, 1), limitOne)
	var last *Waiter
	for i := range maxWaiting {
		last, _ = s.Enqueue(newJob(ident.TeamID(fmt.Sprint(i)), 8, 1e-3), limitOne)
		require.NotNil(t, last)
	}
	_, shed := s.Enqueue(newJob("same", 8, 1e-3), limitOne)
	require.Equal(t, shedFull, shed.Reason)
	w, _ := s.Enqueue(newJob("higher", 2, 1e-3), limitOne)
	require.NotNil(t, w)
	require.Equal(t, maxWaiting, s.fairQueue.count)
	evicted := 0
	for _, q := range s.fairQueue.levels[8].teams {
		evicted += 1 - len(q.waiting)
	}
	require.Equal(t, 1, evicted)
}

func TestCancelledWaiterLeavesTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewScheduler(nil)
		first, _ := s.Enqueue(newJob("holder", 0, 1), limitOne)
		slot, _ := s.Slot(first)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan *Slot)
		go func() {
			got, _ := s.Acquire(ctx, newJob("gone", 1, 1), limitOne)
			ended <- got
		}()
		synctest.Wait()
		cancel()
		require.Nil(t, <-ended)
		require.Zero(t, s.fairQueue.count)
		slot.Release()
		require.Zero(t, s.Running())
	})
}

func TestDispatchWaitingUsesRaisedLimit(t *testing.T) {
	s := NewScheduler(nil)
	limit := 1
	waiters := make([]*Waiter, 3)
	for i := range waiters {
		waiters[i], _ = s.Enqueue(newJob("a", 5, 1), func() int { return limit })
	}
	granted := func() int {
		return len(slices.DeleteFunc(slices.Clone(waiters), func(w *Waiter) bool { return !w.granted }))
	}
	require.Equal(t, 1, granted())
	limit = 3
	s.DispatchWaiting()
	require.Equal(t, 3, granted())
}
