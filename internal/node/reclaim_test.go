package node

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/fleet"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/record"
	"github.com/camphorlever/camphorlever/internal/settings"
	"github.com/camphorlever/camphorlever/internal/vmlist"
)

// blockingBarrier is a SealBarrier that blocks until the channel is closed.
type blockingBarrier chan struct{}

func (r blockingBarrier) Release(ctx context.Context, _ ident.Incarnation) error {
	select {
	case <-r:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func TestRemovedVMIsClosedOnlyAfterAcknowledgements(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		barrier := make(blockingBarrier)
		r1 := c.start(fleet.RoleRouter, "r1")
		r2 := c.start(fleet.RoleRouter, "r2")
		s1 := c.start(fleet.RoleSide, "s1", barrier)
		time.Sleep(5 * time.Second) // every node polls the list once with all VMs in it
		sealed := r2.Incarnation()
		c.crashAndDeleteVM(r2)
		eventually(t, time.Minute, func() bool { return s1.Members().Sealed(sealed) }, "sealed")
		time.Sleep(20 * time.Minute)
		require.False(t, r1.Members().Closed(sealed))
		close(barrier)
		eventually(t, time.Minute, func() bool { return r1.Members().Closed(sealed) }, "closed")
	})
}

// grantTokens tops up team a and draws the tokens as a grant of a node.
func grantTokens(t *testing.T, n *Node, tokens int64) {
	top, err := record.New(ledger.KindTopUp, ledger.TopUp{Team: "a", ID: "1", Tokens: tokens})
	require.NoError(t, err)
	draw, err := record.New(ledger.KindDraw, ledger.Draw{Team: "a", Requested: tokens})
	require.NoError(t, err)
	verdicts, err := n.Ledger().Submit(withTimeout(t, time.Minute), "a", top, draw)
	require.NoError(t, err)
	require.Equal(t, tokens, verdicts[1].Tokens)
}

func freeTokens(n *Node) (tokens int64) {
	n.Ledger().View("a", func(s *ledger.State) { tokens = s.Budget("a").Free })
	return tokens
}

// An incarnation without grants and ledger records must be closed in every shard,
// too: other processes may have tokens reserved for a run there.
func TestEndedIncarnationIsClosedInEveryShard(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		r1 := c.start(fleet.RoleRouter, "r1")
		s1 := c.start(fleet.RoleSide, "s1")
		c.start(fleet.RoleSide, "s2")
		require.NoError(t, s1.Stop(withTimeout(t, time.Minute)))
		c.crash(s1)
		for shard := range r1.Ledger().Shards() {
			eventually(t, time.Minute, func() (closed bool) {
				r1.Ledger().ViewShard(shard, func(s *ledger.State) { closed = s.Closed(s1.Incarnation()) })
				return closed
			}, "closed")
		}
	})
}

// Two routers may both close the incarnation of a third. The tokens of its grant
// must be freed once, and only after the side process has acknowledged the seal.
func TestConcurrentClosersFreeTokensOnce(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		barrier := make(blockingBarrier)
		r1, r2, r3 := c.start(fleet.RoleRouter, "r1"), c.start(fleet.RoleRouter, "r2"), c.start(fleet.RoleRouter, "r3")
		c.start(fleet.RoleSide, "s1", barrier)
		grantTokens(t, r3, 1000)
		time.Sleep(5 * time.Second)
		c.crashAndDeleteVM(r3)
		time.Sleep(20 * time.Minute)
		require.Zero(t, freeTokens(r1))
		close(barrier)
		eventually(t, time.Minute, func() bool { return freeTokens(r1) == 1000 && freeTokens(r2) == 1000 }, "freed")
		time.Sleep(time.Minute)
		require.EqualValues(t, 1000, freeTokens(r1))
		due := newCloser(r2).missingCloses(ledger.ShardOf("a", 2))
		require.Empty(t, due)
	})
}

// A router and a side process are removed from the VM list at the same time, and
// both may still run. The grant must stay outstanding, and the blockers must be
// reported, until an operator states that both VMs are destroyed.
func TestGrantStaysOutstandingWhenRouterAndSideAreRemovedTogether(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		r1, r2 := c.start(fleet.RoleRouter, "r1"), c.start(fleet.RoleRouter, "r2")
		s1, s2 := c.start(fleet.RoleSide, "s1"), c.start(fleet.RoleSide, "s2")
		grantTokens(t, r2, 1000)
		time.Sleep(5 * time.Second)
		c.crashAndDeleteVM(r2)
		c.crashAndDeleteVM(s1)
		time.Sleep(20 * time.Minute)
		require.Zero(t, freeTokens(r1))
		var blockers []fleet.Blocker
		r1.ViewFleet(func(s *fleet.State) { blockers = s.Blockers(r2.Incarnation()) })
		require.Len(t, blockers, 1)
		require.Equal(t, s1.Incarnation(), blockers[0].Member.Incarnation)
		require.Len(t, blockers[0].WaitsOn, 1)
		require.False(t, s2.Members().Closed(r2.Incarnation()))
		statement, err := record.New(fleet.KindDestroyed, fleet.Destroyed{UpTo: s1.Incarnation(), VMs: []ident.VMID{"vm-r2", "vm-s1"}})
		require.NoError(t, err)
		_, err = r1.SubmitFleet(withTimeout(t, time.Minute), statement)
		require.NoError(t, err)
		eventually(t, time.Minute, func() bool { return freeTokens(r1) == 1000 }, "freed")
	})
}

// On a platform whose VM list fences, the grant of the same pair is freed without
// an operator.
func TestFencingVMListFreesGrantOfRemovedPair(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		r1, r2 := c.start(fleet.RoleRouter, "r1"), c.start(fleet.RoleRouter, "r2")
		s1 := c.start(fleet.RoleSide, "s1")
		_, err := r1.SubmitSettings(withTimeout(t, time.Minute), changeRecord(t, "1", "fleet", -1, settings.Bootstrap, `{"vm_list_fences":true}`))
		require.NoError(t, err)
		grantTokens(t, r2, 1000)
		time.Sleep(5 * time.Second)
		c.crashAndDeleteVM(r2)
		c.crashAndDeleteVM(s1)
		eventually(t, 2*time.Minute, func() bool { return freeTokens(r1) == 1000 }, "freed")
	})
}

// A VM list that is unavailable, lacks a VM for a short time, or lacks the
// reader's own VM must cause no seal.
func TestUnreliableVMListSealsNothing(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		r1 := c.start(fleet.RoleRouter, "r1")
		s1 := c.start(fleet.RoleSide, "s1")
		time.Sleep(5 * time.Second)
		c.vms.SetDown(true)
		time.Sleep(20 * time.Minute)
		c.vms.SetDown(false)
		c.vms.Delete("vm-s1")
		time.Sleep(removalDelay / 2)
		c.vms.Put(vmlist.VM{ID: "vm-s1", State: vmlist.Live})
		time.Sleep(20 * time.Minute)
		c.vms.Delete("vm-s1")
		c.vms.Delete("vm-r1")
		time.Sleep(time.Hour)
		require.True(t, r1.Members().Live(s1.Incarnation()))
		require.NoError(t, s1.Ready())
	})
}

// A replacement at the same address causes the old incarnation to be sealed,
// without the VM list. The sealed process must detect this and report that it is
// not ready.
func TestSealedIncarnationIsNotReady(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		c.start(fleet.RoleRouter, "r1")
		s1 := c.start(fleet.RoleSide, "s1")
		replacement := c.start(fleet.RoleSide, "s1")
		eventually(t, time.Minute, func() bool { return s1.Ready() != nil }, "sealed")
		require.ErrorIs(t, s1.Ready(), ErrSealed)
		<-s1.Sealed()
		require.NoError(t, replacement.Ready())
		c.crash(s1)
	})
}
