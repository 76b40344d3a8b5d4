package affinity

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/membership"
)

func newServers(n int) []membership.Server {
	var servers []membership.Server
	for i := range n {
		servers = append(servers, membership.Server{ID: fmt.Sprintf("s%d", i), Service: "readers", Slots: 8, StartedMS: 1, DataCentre: fmt.Sprint(i % 3)})
	}
	return servers
}

// TestSharedPromptPartsHitFewServers sends requests with 100 different shared
// prompt parts to 12 servers, 40 in flight at a time, and counts how often a
// server processes a part that it has not cached. Choosing by load alone would
// process each part at nearly every server.
func TestSharedPromptPartsHitFewServers(t *testing.T) {
	reads := func(key func(subject int) string) int {
		p, servers := New("0"), newServers(12)
		r := rand.New(rand.NewPCG(1, 2))
		seen, reads := map[string]bool{}, 0
		var inFlight []*Placement
		for range 3000 {
			subject := r.IntN(100)
			placed, ok := p.Pick(servers, Query{Key: key(subject)})
			require.True(t, ok)
			read := fmt.Sprint(placed.Server.ID, "/", subject)
			if !seen[read] {
				seen[read] = true
				reads++
			}
			if inFlight = append(inFlight, placed); len(inFlight) > 40 {
				inFlight[0].Done()
				inFlight = inFlight[1:]
			}
		}
		return reads
	}
	bounded := reads(func(subject int) string { return fmt.Sprint("part", subject) })
	byLoad := reads(func(int) string { return "" })
	require.Less(t, bounded, 400)
	require.Greater(t, byLoad, 2*bounded)
}

// TestHotKeyIsSpreadWithinLoadBound gives one key half of the load: no server may
// exceed the load bound.
func TestHotKeyIsSpreadWithinLoadBound(t *testing.T) {
	p, servers := New("0"), newServers(12)
	r := rand.New(rand.NewPCG(3, 4))
	load, most := map[string]int{}, 0
	var inFlight []*Placement
	for range 2000 {
		key := "hot"
		if r.IntN(2) == 0 {
			key = fmt.Sprint(r.IntN(100))
		}
		placed, _ := p.Pick(servers, Query{Key: key})
		load[placed.Server.ID]++
		most = max(most, load[placed.Server.ID])
		if inFlight = append(inFlight, placed); len(inFlight) > 120 {
			load[inFlight[0].Server.ID]--
			inFlight[0].Done()
			inFlight = inFlight[1:]
		}
	}
	require.LessOrEqual(t, float64(most), loadBound*120/12+loadSlack+1)
}

func TestFailedServersAreAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, servers := New("0"), newServers(3)
		first, _ := p.Pick(servers, Query{Key: "k"})
		first.Done()
		pause := first.MarkFailed()
		require.Equal(t, avoidPeriod, pause)
		for range 20 {
			next, ok := p.Pick(servers, Query{Key: "k"})
			require.True(t, ok)
			require.NotEqual(t, first.Server.ID, next.Server.ID)
			next.Done()
		}
		time.Sleep(pause + time.Millisecond)
		again, _ := p.Pick(servers, Query{Key: "k"})
		require.Equal(t, first.Server.ID, again.Server.ID)
		require.Equal(t, 2*avoidPeriod, again.MarkFailed(), "the period doubles with the second failure")
		again.RecordAnswer(false)
		third, _ := p.Pick(servers, Query{Key: "k"})
		require.Equal(t, first.Server.ID, third.Server.ID, "an answer clears the failures")
	})
}

func TestFailedServerIsUsedWhenNoOtherIsLeft(t *testing.T) {
	p, servers := New("0"), newServers(1)
	placed, _ := p.Pick(servers, Query{})
	placed.MarkFailed()
	_, ok := p.Pick(servers, Query{})
	require.True(t, ok)
	_, ok = p.Pick(servers, Query{Tried: []string{"s0"}})
	require.False(t, ok)
}

func TestNewIncarnationStartsWithoutHistory(t *testing.T) {
	p, servers := New("0"), newServers(2)
	placed, _ := p.Pick(servers, Query{Key: "k"})
	placed.MarkFailed()
	for i := range servers {
		servers[i].StartedMS = 2
	}
	again, _ := p.Pick(servers, Query{Key: "k"})
	require.Equal(t, placed.Server.ID, again.Server.ID, "the earlier incarnation failed")
	require.Zero(t, again.InFlight)
}

func TestCallsWithoutKeyPreferOwnDataCentre(t *testing.T) {
	p, servers := New("2"), newServers(3)
	for range 20 {
		placed, _ := p.Pick(servers, Query{})
		require.Equal(t, "2", placed.Server.DataCentre)
		placed.Done()
	}
}

// BenchmarkPick measures Pick by the number of servers.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{12, 44, 300, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p, servers := New("0"), newServers(n)
			for b.Loop() {
				placed, _ := p.Pick(servers, Query{Key: "k"})
				placed.Done()
			}
		})
	}
}
