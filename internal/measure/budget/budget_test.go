package budget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	grants "github.com/camphorlever/camphorlever/internal/budget"
)

// TestSafePoliciesNeverOverspend plays every scenario with every safe policy;
// the lease must overspend in one, or the check could not find it.
func TestSafePoliciesNeverOverspend(t *testing.T) {
	var byLease int64
	for _, d := range deployments {
		for _, s := range scenarios(d, seeds[0]) {
			for _, c := range contenders[:5] {
				w := play(&s, c.make(&s))
				require.Equal(t, len(s.trace), w.requests)
				if c.name == "owner_lease" {
					byLease += w.overspend
					continue
				}
				require.Zero(t, w.overspend, "%s in %s of %s", c.name, s.name, d.name)
			}
		}
	}
	require.Positive(t, byLease)
}

func TestAPlayIsDeterministic(t *testing.T) {
	s := logOutage(deployments[0], 3)
	first, second := play(&s, leaning(0)(&s)), play(&s, leaning(0)(&s))
	require.Equal(t, first.left, second.left)
	require.Equal(t, first.falseNo, second.falseNo)
}

// TestChosenBillsWhatWasUsed compares the ledger fold with the true state.
func TestChosenBillsWhatWasUsed(t *testing.T) {
	s := partitionTopUp(deployments[1], 3)
	c := newChosen(&s, grants.Policy{Horizon: horizon})
	w := play(&s, c)
	c.tick(w)
	for team, left := range w.left {
		b := c.state.Budget(teamName(team))
		require.Equal(t, left, b.TopUps-b.Billed)
		require.Zero(t, b.Overrun)
	}
}

// TestDivide plays two requests by hand: the cut-off one needs its share.
func TestDivide(t *testing.T) {
	s := &scenario{cut: span{from: time.Second, to: time.Minute}, topUps: []topUp{{tokens: 100}}}
	requests := []*request{
		{at: 2 * time.Second, router: 0, prompt: 60},
		{at: 3 * time.Second, router: 5, prompt: 40},
	}
	for _, c := range []struct {
		share   float64
		refused int
	}{{0.6, 0}, {0.5, 1}, {0.7, 1}, {0, 1}} {
		require.Equal(t, c.refused, divide(s, requests, c.share, 1000), c.share)
	}
}

func TestStaleOwnerIsModelled(t *testing.T) {
	s := &scenario{d: deployments[0], paused: span{from: 0, to: 20 * time.Second}}
	p := newOwnerLease(s)
	w := &world{s: s, policy: p, left: []int64{100, 0, 0, 0, 0}}
	p.publish(w, topUp{tokens: 100})
	r := &request{bound: 80, prompt: 80}
	_, ok := p.admit(w, 1, r)
	require.False(t, ok, "the owner sleeps")
	w.now = 16 * time.Second
	p.tick(w)
	_, ok = p.admit(w, 1, &request{bound: 80, prompt: 80})
	require.True(t, ok, "the next owner admits")
	w.now = 20 * time.Second
	_, ok = p.admit(w, 1, r)
	require.True(t, ok, "the old one wakes and admits too")
}
