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

func one() int { return 1 }

func ticket(team ident.TeamID, priority int, cost float64) Job {
	return Job{Team: team, Weight: 1, Priority: priority, Cost: cost}
}

// serve joins the tickets while one place is taken and returns the order in
// which they get their turns.
func serve(t *testing.T, tickets ...Job) []ident.TeamID {
	p := NewScheduler(nil)
	first, _ := p.Enqueue(ticket("first", 0, 1), one)
	waiting := map[*Waiter]ident.TeamID{}
	for _, k := range tickets {
		w, shed := p.Enqueue(k, one)
		require.NotNil(t, w, shed)
		waiting[w] = k.Team
	}
	var order []ident.TeamID
	for current := first; ; {
		turn, _ := p.Slot(current)
		turn.Release()
		current = nil
		for w, team := range waiting {
			select {
			case <-w.Ready():
				require.Nil(t, current, "one place, one turn")
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

func TestOrder(t *testing.T) {
	heavy := ticket("heavy", 5, 10)
	heavy.Weight = 3
	cases := map[string]struct {
		tickets []Job
		want    []ident.TeamID
	}{
		"priority first": {[]Job{ticket("low", 9, 1), ticket("high", 1, 100), ticket("mid", 5, 1)}, []ident.TeamID{"high", "mid", "low"}},
		"a flood waits behind itself": {[]Job{ticket("flood", 5, 10), ticket("flood", 5, 10), ticket("flood", 5, 10), ticket("small", 5, 10)},
			[]ident.TeamID{"flood", "small", "flood", "flood"}},
		"fair by tokens, not by requests": {[]Job{ticket("long", 5, 40), ticket("long", 5, 40), ticket("short", 5, 10), ticket("short", 5, 10), ticket("short", 5, 10)},
			[]ident.TeamID{"long", "short", "short", "short", "long"}},
		"weights": {[]Job{heavy, heavy, heavy, heavy, ticket("light", 5, 10), ticket("light", 5, 10)},
			[]ident.TeamID{"heavy", "light", "heavy", "heavy", "heavy", "light"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, serve(t, c.tickets...))
		})
	}
}

func TestTeamGainsNothingByPausing(t *testing.T) {
	p := NewScheduler(nil)
	w, _ := p.Enqueue(ticket("a", 5, 100), one)
	turn, _ := p.Slot(w)
	a, _ := p.Enqueue(ticket("a", 5, 100), one) // charged 100 before it
	b, _ := p.Enqueue(ticket("b", 5, 100), one)
	turn.Release()
	require.True(t, b.granted)
	require.False(t, a.granted)
}

func TestShedding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewScheduler(nil)
		held, _ := p.Enqueue(ticket("holder", 0, 1), one)
		turn, _ := p.Slot(held)

		// 20 s at the first estimate of 2000 tokens a second are 40,000.
		_, shed := p.Enqueue(ticket("flood", 5, 35_000), one)
		require.Empty(t, shed.Reason)
		_, shed = p.Enqueue(ticket("flood", 5, 35_000), one)
		require.Empty(t, shed.Reason, "35,000 tokens before it")
		_, shed = p.Enqueue(ticket("flood", 5, 1), one)
		require.Equal(t, shedWait, shed.Reason)
		require.InDelta(t, 35, shed.RetryAfter.Seconds(), 0.1)
		_, shed = p.Enqueue(ticket("small", 5, 10), one)
		require.Empty(t, shed.Reason, "waits only for its share")
		_, shed = p.Enqueue(ticket("urgent", 0, 35_000), one)
		require.Empty(t, shed.Reason, "goes before all of them")
		_, shed = p.Enqueue(ticket("late", 9, 1), one)
		require.Equal(t, shedWait, shed.Reason, "the lowest priority is shed first")

		// What has waited too long is told so, and leaves the queue.
		ended := make(chan Shed)
		go func() {
			_, shed := p.Acquire(context.Background(), ticket("patient", 1, 1), one)
			ended <- shed
		}()
		start := time.Now()
		require.Equal(t, shedTimeout, (<-ended).Reason)
		require.Equal(t, MaxWait, time.Since(start))
		turn.Release()
	})
}

func TestFullQueueEvictsTheLowestPriority(t *testing.T) {
	p := NewScheduler(nil)
	_, _ = p.Enqueue(ticket("holder", 0, 1), one)
	var last *Waiter
	for i := range maxWaiting {
		last, _ = p.Enqueue(ticket(ident.TeamID(fmt.Sprint(i)), 8, 1e-3), one)
		require.NotNil(t, last)
	}
	_, shed := p.Enqueue(ticket("same", 8, 1e-3), one)
	require.Equal(t, shedFull, shed.Reason)
	w, _ := p.Enqueue(ticket("higher", 2, 1e-3), one)
	require.NotNil(t, w)
	require.Equal(t, maxWaiting, p.order.count)
	evicted := 0
	for _, q := range p.order.levels[8].teams {
		evicted += 1 - len(q.waiting)
	}
	require.Equal(t, 1, evicted)
}

func TestCallerThatLeavesTheQueueTakesNoPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewScheduler(nil)
		held, _ := p.Enqueue(ticket("holder", 0, 1), one)
		turn, _ := p.Slot(held)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan *Slot)
		go func() {
			got, _ := p.Acquire(ctx, ticket("gone", 1, 1), one)
			ended <- got
		}()
		synctest.Wait()
		cancel()
		require.Nil(t, <-ended)
		require.Zero(t, p.order.count)
		turn.Release()
		require.Zero(t, p.Running())
	})
}

func TestMoreRoomLetsWaitersIn(t *testing.T) {
	p := NewScheduler(nil)
	room := 1
	waiters := make([]*Waiter, 3)
	for i := range waiters {
		waiters[i], _ = p.Enqueue(ticket("a", 5, 1), func() int { return room })
	}
	granted := func() int {
		return len(slices.DeleteFunc(slices.Clone(waiters), func(w *Waiter) bool { return !w.granted }))
	}
	require.Equal(t, 1, granted())
	room = 3
	p.DispatchWaiting()
	require.Equal(t, 3, granted())
}
