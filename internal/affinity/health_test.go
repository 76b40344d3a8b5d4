package affinity

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/membership"
)

// world plays requests about 100 subjects at 12 servers, each of which answers
// after a random delay around 50 ms.
type world struct {
	placer  *Placer
	servers []membership.Server
	random  *rand.Rand
	slow    map[string]float64 // how many times as long answers take
	failing map[string]float64 // share of the requests that fail
	usual   float64            // share of the requests that fail at any server
}

// results are what callers got.
type results struct {
	requests, failed, late, strayed int
	at                              map[string]int
}

// share is the part of the requests that went to some servers.
func (r results) share(ids ...string) float64 {
	sum := 0
	for _, id := range ids {
		sum += r.at[id]
	}
	return float64(sum) / float64(r.requests)
}

func newWorld() *world {
	return &world{
		placer: New("0"), servers: serversOf(12), random: rand.New(rand.NewPCG(11, 12)),
		slow: map[string]float64{}, failing: map[string]float64{},
	}
}

const (
	lateAfter = 250 * time.Millisecond
	everyMS   = 20 // between two requests at one router
)

func (w *world) play(span time.Duration) results {
	out := results{at: map[string]int{}}
	end := time.Now().Add(span)
	for time.Now().Before(end) {
		time.Sleep(everyMS * time.Millisecond)
		key := fmt.Sprint("subject", w.random.IntN(100))
		placed, _ := w.placer.Pick(w.servers, Query{Key: key})
		id := placed.Server.ID
		delay := time.Duration(50 * math.Exp(w.random.NormFloat64()/2) * max(w.slow[id], 1) * float64(time.Millisecond))
		failed := w.random.Float64() < w.usual+w.failing[id]
		out.requests++
		out.at[id]++
		if id != w.favourite(key) {
			out.strayed++
		}
		if delay > lateAfter {
			out.late++
		}
		if failed {
			out.failed++
		}
		time.AfterFunc(delay, func() {
			placed.RecordFirstResponse("route", delay)
			placed.Done()
			placed.RecordAnswer(failed)
		})
	}
	return out
}

// favourite is the server that a key prefers if nothing is in flight.
func (w *world) favourite(key string) string {
	placed, _ := New("0").Pick(w.servers, Query{Key: key})
	return placed.Server.ID
}

// TestSlowServersGetLessWork turns 3 of 12 servers five times as slow for 7 s.
func TestSlowServersGetLessWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		before := w.play(10 * time.Second)
		for _, s := range w.servers[:3] {
			w.slow[s.ID] = 5
		}
		noticed := w.play(time.Second)
		during := w.play(6 * time.Second)
		clear(w.slow)
		w.play(6 * time.Second)
		after := w.play(10 * time.Second)
		time.Sleep(time.Second)
		require.Less(t, float64(noticed.late), 0.2*float64(noticed.requests))
		require.Less(t, float64(during.late), 0.04*float64(during.requests))
		for _, s := range w.servers[:3] {
			require.Greater(t, after.share(s.ID), 0.5*before.share(s.ID), "%s gets work again", s.ID)
		}
	})
}

// TestFailingServersGetLessWork lets 2 of 12 servers fail 45 in 100 of their
// requests, while all fail 14 in 100 as a rule.
func TestFailingServersGetLessWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		w.usual = 0.14
		before := w.play(10 * time.Second)
		w.failing[w.servers[0].ID], w.failing[w.servers[1].ID] = 0.45, 0.45
		w.play(3 * time.Second)
		during := w.play(10 * time.Second)
		time.Sleep(time.Second)
		first, second := w.servers[0].ID, w.servers[1].ID
		require.Less(t, during.share(first, second), 0.5*before.share(first, second), "less than half of their share")
	})
}

// TestHealthyServersKeepTheirWork plays delays that vary threefold and failures
// as usual: nearly all requests go to the server that has their prompts.
func TestHealthyServersKeepTheirWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		w.usual = 0.14
		calm := w.play(60 * time.Second)
		time.Sleep(time.Second)
		require.Less(t, float64(calm.strayed), 0.03*float64(calm.requests))
	})
}

// TestReplacedServerGetsNoWork: another server answers at the address of an old
// entry, until there is a newer one.
func TestReplacedServerGetsNoWork(t *testing.T) {
	p, servers := New("0"), serversOf(3)
	placed, _ := p.Pick(servers, Query{Key: "k"})
	placed.Done()
	placed.MarkReplaced()
	for range 100 {
		next, _ := p.Pick(servers, Query{Key: "k"})
		next.Done()
		require.NotEqual(t, placed.Server.ID, next.Server.ID)
	}
	for i := range servers {
		servers[i].Sequence++
	}
	again, _ := p.Pick(servers, Query{Key: "k"})
	require.Equal(t, placed.Server.ID, again.Server.ID)
	alone, ok := p.Pick([]membership.Server{placed.Server}, Query{})
	require.True(t, ok)
	require.False(t, alone.Suspect)
	alone.MarkReplaced() // by an entry that is not the newest
	_, ok = p.Pick(servers, Query{Key: "k"})
	require.True(t, ok)
}

// TestForgottenRoutesTakeNoMemory: routes come and go with the settings.
func TestForgottenRoutesTakeNoMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, servers := New("0"), serversOf(1)
		for i := range 100 {
			placed, _ := p.Pick(servers, Query{})
			placed.RecordFirstResponse(fmt.Sprint("route", i), time.Millisecond)
			placed.Done()
			placed.RecordAnswer(false)
		}
		p.RetainServers(func(string) bool { return true })
		require.Len(t, p.services["readers"].delays, 100)
		time.Sleep(time.Minute)
		p.RetainServers(func(string) bool { return false })
		require.Empty(t, p.services["readers"].delays)
		require.Empty(t, p.nodes)
	})
}
