package quarantine

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestEvidenceReachesRoutersThatAreFoundLater has the first crashes before the routers know
// each other, while the log works. It guards against a sound part that is withheld for
// minutes: the log has the evidence against it, and that against the deadly part, which
// explains the crashes, was sent to nobody.
func TestEvidenceReachesRoutersThatAreFoundLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := newFleet(t, 3, 0, 1)
		defer f.close()
		setLossy := func(share float64) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.lossy = share
		}
		setLossy(1)
		crash(t, f.router(0), 1, "sound", "deadly")
		soundAtFirst := start(t, f.router(0), 2, "sound")
		soundAtLast := start(t, f.router(2), 2, "sound")
		crash(t, f.router(1), 2, "sound", "deadly")
		soundAtLast.Broke(false)
		f.router(2).ServerCrashed(testServer(2))
		deadlyAtLast := start(t, f.router(2), 3, "sound", "deadly")
		soundAtFirst.Broke(false)
		f.router(0).ServerCrashed(testServer(2)) // quarantines the sound part, by the log at all routers
		deadlyAtLast.Broke(false)
		f.router(2).ServerCrashed(testServer(3))
		time.Sleep(100 * time.Millisecond)
		for n := range 3 {
			verdict := f.router(n).Check([]string{"sound"})
			require.True(t, verdict.Blocked, "router %d", n)
			require.Equal(t, 3, verdict.Crashes, "router %d", n)
			require.Greater(t, verdict.RetryAfter, longQuarantine, "router %d", n)
		}
		time.Sleep(time.Second)
		setLossy(0)
		time.Sleep(2 * gossipRetryPause)
		for n := range 3 {
			require.False(t, blockedBy(f.router(n), "sound"), "router %d may try it alone", n)
		}
	})
}

// TestEvidenceIsNotRepeatedOnceARouterHasIt bounds the messages.
func TestEvidenceIsNotRepeatedOnceARouterHasIt(t *testing.T) {
	test(t, func(t *testing.T, tracker *Tracker) {
		peers := &countingGossiper{failures: 3}
		go tracker.RunGossip(t.Context(), peers)
		crash(t, tracker, 1, "a", "b")
		time.Sleep(time.Minute)
		synctest.Wait()
		require.Equal(t, []int{2, 2, 2, 2}, peers.sent)
	})
}

// countingGossiper keeps the number of parts of each message. Its first messages reach no
// router.
type countingGossiper struct {
	failures int
	sent     []int
}

// Gossip implements Gossiper.
func (g *countingGossiper) Gossip(_ context.Context, evidence []Evidence) bool {
	g.sent = append(g.sent, len(evidence))
	return len(g.sent) > g.failures
}
