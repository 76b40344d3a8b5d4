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

func ticket(team ident.TeamID, priority int, cost float64) Ticket {
	return Ticket{Team: team, Weight: 1, Priority: priority, Cost: cost}
}

// serve joins the tickets while one place is taken and returns the order in
// which they get their turns.
func serve(t *testing.T, tickets ...Ticket) []ident.TeamID {
	p := NewPool(nil)
	first, _ := p.Join(ticket("first", 0, 1), one)
	waiting := map[*Waiter]ident.TeamID{}
	for _, k := range tickets {
		w, shed := p.Join(k, one)
		require.NotNil(t, w, shed)
		waiting[w] = k.Team
	}
	var order []ident.TeamID
	for current := first; ; {
		turn, _ := p.Turn(current)
		turn.Leave()
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
		tickets []Ticket
		want    []ident.TeamID
	}{
		"priority first": {[]Ticket{ticket("low", 9, 1), ticket("high", 1, 100), ticket("mid", 5, 1)}, []ident.TeamID{"high", "mid", "low"}},
		"a flood waits behind itself": {[]Ticket{ticket("flood", 5, 10), ticket("flood", 5, 10), ticket("flood", 5, 10), ticket("small", 5, 10)},
			[]ident.TeamID{"flood", "small", "flood", "flood"}},
		"fair by tokens, not by requests": {[]Ticket{ticket("long", 5, 40), ticket("long", 5, 40), ticket("short", 5, 10), ticket("short", 5, 10), ticket("short", 5, 10)},
			[]ident.TeamID{"long", "short", "short", "short", "long"}},
		"weights": {[]Ticket{heavy, heavy, heavy, heavy, ticket("light", 5, 10), ticket("light", 5, 10)},
			[]ident.TeamID{"heavy", "light", "heavy", "heavy", "heavy", "light"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, serve(t, c.tickets...))
		})
	}
}

func TestTeamGainsNothingByPausing(t *testing.T) {
	p := NewPool(nil)
	w, _ := p.Join(ticket("a", 5, 100), one)
	turn, _ := p.Turn(w)
	a, _ := p.Join(ticket("a", 5, 100), one) // charged 100 before it
	b, _ := p.Join(ticket("b", 5, 100), one)
	turn.Leave()
	require.True(t, b.granted)
	require.False(t, a.granted)
}

func TestShedding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPool(nil)
		held, _ := p.Join(ticket("holder", 0, 1), one)
		turn, _ := p.Turn(held)

		// 20 s at the first estimate of 2000 tokens a second are 40,000.
		_, shed := p.Join(ticket("flood", 5, 35_000), one)
		require.Empty(t, shed.Reason)
		_, shed = p.Join(ticket("flood", 5, 35_000), one)
		require.Empty(t, shed.Reason, "35,000 tokens before it")
		_, shed = p.Join(ticket("flood", 5, 1), one)
		require.Equal(t, shedWait, shed.Reason)
		require.InDelta(t, 35, shed.RetryAfter.Seconds(), 0.1)
		_, shed = p.Join(ticket("small", 5, 10), one)
		require.Empty(t, shed.Reason, "waits only for its share")
		_, shed = p.Join(ticket("urgent", 0, 35_000), one)
		require.Empty(t, shed.Reason, "goes before all of them")
		_, shed = p.Join(ticket("late", 9, 1), one)
		require.Equal(t, shedWait, shed.Reason, "the lowest priority is shed first")

		// What has waited too long is told so, and leaves the queue.
		ended := make(chan Shed)
		go func() {
			_, shed := p.Enter(context.Background(), ticket("patient", 1, 1), one)
			ended <- shed
		}()
		start := time.Now()
		require.Equal(t, shedTimeout, (<-ended).Reason)
		require.Equal(t, MaxWait, time.Since(start))
		turn.Leave()
	})
}

func TestFullQueueEvictsTheLowestPriority(t *testing.T) {
	p := NewPool(nil)
	_, _ = p.Join(ticket("holder", 0, 1), one)
	var last *Waiter
	for i := range maxWaiting {
		last, _ = p.Join(ticket(ident.TeamID(fmt.Sprint(i)), 8, 1e-3), one)
		require.NotNil(t, last)
	}
	_, shed := p.Join(ticket("same", 8, 1e-3), one)
	require.Equal(t, shedFull, shed.Reason)
	w, _ := p.Join(ticket("higher", 2, 1e-3), one)
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
		p := NewPool(nil)
		held, _ := p.Join(ticket("holder", 0, 1), one)
		turn, _ := p.Turn(held)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan *Turn)
		go func() {
			got, _ := p.Enter(ctx, ticket("gone", 1, 1), one)
			ended <- got
		}()
		synctest.Wait()
		cancel()
		require.Nil(t, <-ended)
		require.Zero(t, p.order.count)
		turn.Leave()
		require.Zero(t, p.Running())
	})
}

func TestMoreRoomLetsWaitersIn(t *testing.T) {
	p := NewPool(nil)
	room := 1
	waiters := make([]*Waiter, 3)
	for i := range waiters {
		waiters[i], _ = p.Join(ticket("a", 5, 1), func() int { return room })
	}
	granted := func() int {
		return len(slices.DeleteFunc(slices.Clone(waiters), func(w *Waiter) bool { return !w.granted }))
	}
	require.Equal(t, 1, granted())
	room = 3
	p.Kick()
	require.Equal(t, 3, granted())
}
