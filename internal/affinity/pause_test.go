package affinity

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/membership"
)

func pauseServers(n int) []membership.Server {
	var servers []membership.Server
	for i := range n {
		servers = append(servers, membership.Server{ID: fmt.Sprintf("s%d", i), Service: "svc", StartedMS: 1, Slots: 8})
	}
	return servers
}

// shareOf returns the share of requests that one server gets.
func shareOf(t *testing.T, p *Placer, servers []membership.Server, id string, key func(i int) string) float64 {
	const requests = 2000
	got := 0
	for i := range requests {
		placed, ok := p.Pick(servers, Query{Key: key(i)})
		require.True(t, ok)
		if placed.Server.ID == id {
			got++
		}
		placed.Done()
	}
	return float64(got) / requests
}

// TestPausedServerReturnsGradually plays requests with and without prompts among four servers.
func TestPausedServerReturnsGradually(t *testing.T) {
	for name, key := range map[string]func(int) string{
		"with prompts": func(i int) string { return fmt.Sprint(i) },
		"without":      func(int) string { return "" },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				servers := pauseServers(4)
				p := New("waco-a")
				require.True(t, p.Pause(servers[0], time.Now().Add(3*time.Second)))
				require.False(t, p.Pause(servers[0], time.Now().Add(time.Second)), "the longer pause holds")
				time.Sleep(3*time.Second - 1)
				require.Zero(t, shareOf(t, p, servers, "s0", key))
				time.Sleep(ReturnPeriod / 4)
				require.InDelta(t, 0.0625, shareOf(t, p, servers, "s0", key), 0.04)
				time.Sleep(ReturnPeriod / 2)
				require.InDelta(t, 0.1875, shareOf(t, p, servers, "s0", key), 0.05)
				time.Sleep(ReturnPeriod / 4)
				require.InDelta(t, 0.25, shareOf(t, p, servers, "s0", key), 0.05)
			})
		})
	}
}

func TestAllServersPaused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		servers := pauseServers(3)
		p := New("waco-a")
		require.True(t, p.Availability(servers, nil).Available)
		for i, s := range servers {
			p.Pause(s, time.Now().Add(time.Duration(i+1)*time.Second))
		}
		_, ok := p.Pick(servers, Query{})
		require.False(t, ok)
		require.Equal(t, Availability{PausedUntil: time.Now().Add(time.Second)}, p.Availability(servers, nil))
		require.Equal(t, Availability{PausedUntil: time.Now().Add(2 * time.Second)}, p.Availability(servers, []string{"s0"}))
		time.Sleep(time.Second)
		placed, ok := p.Pick(servers, Query{})
		require.True(t, ok, "there is no other")
		require.Equal(t, "s0", placed.Server.ID)
	})
}

// TestPauseEndsWithItsIncarnation restarts a paused server.
func TestPauseEndsWithItsIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		servers := pauseServers(1)
		p := New("waco-a")
		p.Pause(servers[0], time.Now().Add(time.Minute))
		_, ok := p.Pick(servers, Query{})
		require.False(t, ok)
		servers[0].StartedMS++
		_, ok = p.Pick(servers, Query{})
		require.True(t, ok)
	})
}
