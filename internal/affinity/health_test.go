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

// fixture sends requests with 100 different keys to 12 servers, each of which
// answers after a random delay around 50 ms.
type fixture struct {
	placer        *Placer
	servers       []membership.Server
	random        *rand.Rand
	slow          map[string]float64 // factor on the delay
	failing       map[string]float64 // fraction of the requests that fail
	usualFailures float64            // fraction of the requests that fail at every server
}

// results are the outcomes of the requests.
type results struct {
	requests, failed, late, notAtOwner int
	byServer                           map[string]int
}

// share returns the fraction of the requests that went to the given servers.
func (r results) share(ids ...string) float64 {
	sum := 0
	for _, id := range ids {
		sum += r.byServer[id]
	}
	return float64(sum) / float64(r.requests)
}

func newFixture() *fixture {
	return &fixture{
		placer: New("0"), servers: newServers(12), random: rand.New(rand.NewPCG(11, 12)),
		slow: map[string]float64{}, failing: map[string]float64{},
	}
}

const (
	lateThreshold = 250 * time.Millisecond
	intervalMS    = 20 // between two requests of the router
)

func (f *fixture) run(span time.Duration) results {
	out := results{byServer: map[string]int{}}
	end := time.Now().Add(span)
	for time.Now().Before(end) {
		time.Sleep(intervalMS * time.Millisecond)
		key := fmt.Sprint("subject", f.random.IntN(100))
		placed, _ := f.placer.Pick(f.servers, Query{Key: key})
		id := placed.Server.ID
		delay := time.Duration(50 * math.Exp(f.random.NormFloat64()/2) * max(f.slow[id], 1) * float64(time.Millisecond))
		failed := f.random.Float64() < f.usualFailures+f.failing[id]
		out.requests++
		out.byServer[id]++
		if id != f.ownerOf(key) {
			out.notAtOwner++
		}
		if delay > lateThreshold {
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

// ownerOf returns the server that a key prefers if nothing is in flight.
func (f *fixture) ownerOf(key string) string {
	placed, _ := New("0").Pick(f.servers, Query{Key: key})
	return placed.Server.ID
}

// TestSlowServersGetFewerRequests makes 3 of 12 servers five times as slow for
// 7 s. They must lose requests within a second and regain them afterwards.
func TestSlowServersGetFewerRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		before := f.run(10 * time.Second)
		for _, s := range f.servers[:3] {
			f.slow[s.ID] = 5
		}
		detecting := f.run(time.Second)
		during := f.run(6 * time.Second)
		clear(f.slow)
		f.run(6 * time.Second)
		after := f.run(10 * time.Second)
		time.Sleep(time.Second)
		require.Less(t, float64(detecting.late), 0.2*float64(detecting.requests))
		require.Less(t, float64(during.late), 0.04*float64(during.requests))
		for _, s := range f.servers[:3] {
			require.Greater(t, after.share(s.ID), 0.5*before.share(s.ID), "%s gets requests again", s.ID)
		}
	})
}

// TestFailingServersGetFewerRequests lets 2 of 12 servers fail a further 45% of
// their requests, while every server fails 14%.
func TestFailingServersGetFewerRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.usualFailures = 0.14
		before := f.run(10 * time.Second)
		f.failing[f.servers[0].ID], f.failing[f.servers[1].ID] = 0.45, 0.45
		f.run(3 * time.Second)
		during := f.run(10 * time.Second)
		time.Sleep(time.Second)
		first, second := f.servers[0].ID, f.servers[1].ID
		require.Less(t, during.share(first, second), 0.5*before.share(first, second), "less than half of their share")
	})
}

// TestHealthyServersKeepTheirKeys uses delays that vary threefold and the usual
// failure rate: nearly all requests must still go to the owner of their key,
// which has their prompts cached.
func TestHealthyServersKeepTheirKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.usualFailures = 0.14
		calm := f.run(60 * time.Second)
		time.Sleep(time.Second)
		require.Less(t, float64(calm.notAtOwner), 0.03*float64(calm.requests))
	})
}

// TestReplacedServerIsAvoidedUntilNewEntry covers another server that answers at
// the address of an outdated entry: requests must not go there until the server
// has written a newer entry.
func TestReplacedServerIsAvoidedUntilNewEntry(t *testing.T) {
	p, servers := New("0"), newServers(3)
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
	alone.MarkReplaced() // with an entry that is not the newest
	_, ok = p.Pick(servers, Query{Key: "k"})
	require.True(t, ok)
}

// TestIdleRoutesAndServersAreDropped guards against a memory leak: routes are
// added and removed with the settings.
func TestIdleRoutesAndServersAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, servers := New("0"), newServers(1)
		for i := range 100 {
			placed, _ := p.Pick(servers, Query{})
			placed.RecordFirstResponse(fmt.Sprint("route", i), time.Millisecond)
			placed.Done()
			placed.RecordAnswer(false)
		}
		p.RetainServers(func(string) bool { return true })
		require.Len(t, p.services["readers"].latency, 100)
		time.Sleep(time.Minute)
		p.RetainServers(func(string) bool { return false })
		require.Empty(t, p.services["readers"].latency)
		require.Empty(t, p.nodes)
	})
}
