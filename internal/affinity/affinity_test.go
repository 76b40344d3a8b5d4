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

func serversOf(n int) []membership.Server {
	var list []membership.Server
	for i := range n {
		list = append(list, membership.Server{ID: fmt.Sprintf("s%d", i), Service: "readers", Slots: 8, StartedMS: 1, DataCentre: fmt.Sprint(i % 3)})
	}
	return list
}

// TestSharedPartsAreReadByFewServers plays requests about 100 subjects over 12
// servers, some in flight at a time, and counts how often a server had to read
// a shared part that it did not have. A choice by load alone reads it at nearly
// all servers.
func TestSharedPartsAreReadByFewServers(t *testing.T) {
	reads := func(key func(subject int) string) int {
		p, servers := New("0"), serversOf(12)
		r := rand.New(rand.NewPCG(1, 2))
		seen, reads := map[string]bool{}, 0
		var flying []*Placement
		for range 3000 {
			subject := r.IntN(100)
			placed, ok := p.Pick(servers, Query{Key: key(subject)})
			require.True(t, ok)
			at := fmt.Sprint(placed.Server.ID, "/", subject)
			if !seen[at] {
				seen[at] = true
				reads++
			}
			if flying = append(flying, placed); len(flying) > 40 {
				flying[0].Done()
				flying = flying[1:]
			}
		}
		return reads
	}
	bounded := reads(func(subject int) string { return fmt.Sprint("part", subject) })
	byLoad := reads(func(int) string { return "" })
	require.Less(t, bounded, 400)
	require.Greater(t, byLoad, 2*bounded)
}

// TestHotSubjectSpreads gives one subject half of the load: no server gets much
// more than the others.
func TestHotSubjectSpreads(t *testing.T) {
	p, servers := New("0"), serversOf(12)
	r := rand.New(rand.NewPCG(3, 4))
	load, most := map[string]int{}, 0
	var flying []*Placement
	for range 2000 {
		key := "hot"
		if r.IntN(2) == 0 {
			key = fmt.Sprint(r.IntN(100))
		}
		placed, _ := p.Pick(servers, Query{Key: key})
		load[placed.Server.ID]++
		most = max(most, load[placed.Server.ID])
		if flying = append(flying, placed); len(flying) > 120 {
			load[flying[0].Server.ID]--
			flying[0].Done()
			flying = flying[1:]
		}
	}
	require.LessOrEqual(t, float64(most), loadBound*120/12+loadSlack+1)
}

func TestFailedServersAreAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, servers := New("0"), serversOf(3)
		first, _ := p.Pick(servers, Query{Key: "k"})
		first.Done()
		pause := first.MarkFailed()
		require.Equal(t, suspectFor, pause)
		for range 20 {
			next, ok := p.Pick(servers, Query{Key: "k"})
			require.True(t, ok)
			require.NotEqual(t, first.Server.ID, next.Server.ID)
			next.Done()
		}
		time.Sleep(pause + time.Millisecond)
		again, _ := p.Pick(servers, Query{Key: "k"})
		require.Equal(t, first.Server.ID, again.Server.ID)
		require.Equal(t, 2*suspectFor, again.MarkFailed(), "it is avoided longer the second time")
		again.RecordAnswer(false)
		third, _ := p.Pick(servers, Query{Key: "k"})
		require.Equal(t, first.Server.ID, third.Server.ID, "it answers again")
	})
}

func TestSuspectsServeWhenThereIsNobodyElse(t *testing.T) {
	p, servers := New("0"), serversOf(1)
	placed, _ := p.Pick(servers, Query{})
	placed.MarkFailed()
	_, ok := p.Pick(servers, Query{})
	require.True(t, ok)
	_, ok = p.Pick(servers, Query{Tried: []string{"s0"}})
	require.False(t, ok)
}

func TestNewLifeStartsAnew(t *testing.T) {
	p, servers := New("0"), serversOf(2)
	placed, _ := p.Pick(servers, Query{Key: "k"})
	placed.MarkFailed()
	for i := range servers {
		servers[i].StartedMS = 2
	}
	again, _ := p.Pick(servers, Query{Key: "k"})
	require.Equal(t, placed.Server.ID, again.Server.ID, "what failed was the life before")
	require.Zero(t, again.InFlight)
}

func TestPlainCallsStayInTheirDataCentre(t *testing.T) {
	p, servers := New("2"), serversOf(3)
	for range 20 {
		placed, _ := p.Pick(servers, Query{})
		require.Equal(t, "2", placed.Server.DataCentre)
		placed.Done()
	}
}

// BenchmarkPick chooses among the servers of a service.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{12, 44, 300, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p, servers := New("0"), serversOf(n)
			for b.Loop() {
				placed, _ := p.Pick(servers, Query{Key: "k"})
				placed.Done()
			}
		})
	}
}
