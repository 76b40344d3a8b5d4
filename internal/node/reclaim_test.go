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

// releases is a witness that agrees once it is told to.
type releases chan struct{}

func (r releases) Release(ctx context.Context, _ ident.Incarnation) error {
	select {
	case <-r:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func TestGoneVMIsSealedAndClosedOnlyAfterAcknowledgements(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		agree := make(releases)
		r1 := w.start(fleet.RoleRouter, "r1")
		r2 := w.start(fleet.RoleRouter, "r2")
		s1 := w.start(fleet.RoleSide, "s1", agree)
		time.Sleep(5 * time.Second) // the list is seen with all VMs
		gone := r2.Incarnation()
		w.kill(r2)
		eventually(t, time.Minute, func() bool { return s1.Members().Sealed(gone) }, "sealed")
		time.Sleep(20 * time.Minute)
		require.False(t, r1.Members().Closed(gone))
		close(agree)
		eventually(t, time.Minute, func() bool { return r1.Members().Closed(gone) }, "closed")
	})
}

// grant gives a router tokens of a team.
func grant(t *testing.T, n *Node, tokens int64) {
	top, err := record.New(ledger.KindTopUp, ledger.TopUp{Team: "a", ID: "1", Tokens: tokens})
	require.NoError(t, err)
	draw, err := record.New(ledger.KindDraw, ledger.Draw{Team: "a", Requested: tokens})
	require.NoError(t, err)
	verdicts, err := n.Ledger().Submit(within(t, time.Minute), "a", top, draw)
	require.NoError(t, err)
	require.Equal(t, tokens, verdicts[1].Tokens)
}

func free(n *Node) (tokens int64) {
	n.Ledger().View("a", func(s *ledger.State) { tokens = s.Budget("a").Free })
	return tokens
}

// A life that held nothing and wrote nothing to the ledger is closed in every
// shard, too: others may hold a reservation for a run there.
func TestEveryEndedLifeIsClosedInEveryShard(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		r1 := w.start(fleet.RoleRouter, "r1")
		s1 := w.start(fleet.RoleSide, "s1")
		w.start(fleet.RoleSide, "s2")
		require.NoError(t, s1.Stop(within(t, time.Minute)))
		w.crash(s1)
		for shard := range r1.Ledger().Shards() {
			eventually(t, time.Minute, func() (closed bool) {
				r1.Ledger().ViewShard(shard, func(s *ledger.State) { closed = s.Closed(s1.Incarnation()) })
				return closed
			}, "closed")
		}
	})
}

// Two routers may both close what a third held. The tokens come free once, in
// the ledger, and only after the side process has let go.
func TestClosersFreeTheTokensOnce(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		agree := make(releases)
		r1, r2, r3 := w.start(fleet.RoleRouter, "r1"), w.start(fleet.RoleRouter, "r2"), w.start(fleet.RoleRouter, "r3")
		w.start(fleet.RoleSide, "s1", agree)
		grant(t, r3, 1000)
		time.Sleep(5 * time.Second)
		w.kill(r3)
		time.Sleep(20 * time.Minute)
		require.Zero(t, free(r1))
		close(agree)
		eventually(t, time.Minute, func() bool { return free(r1) == 1000 && free(r2) == 1000 }, "freed")
		time.Sleep(time.Minute)
		require.EqualValues(t, 1000, free(r1))
		due := newCloser(r2).due(ledger.ShardOf("a", 2))
		require.Empty(t, due)
	})
}

// A router and the side process vanish from the VM list in the same moment and
// both may still run: the tokens stay held, and the blockers are named, until
// an operator states that both VMs are destroyed.
func TestAPairGoneFromTheListStaysHeld(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		r1, r2 := w.start(fleet.RoleRouter, "r1"), w.start(fleet.RoleRouter, "r2")
		s1, s2 := w.start(fleet.RoleSide, "s1"), w.start(fleet.RoleSide, "s2")
		grant(t, r2, 1000)
		time.Sleep(5 * time.Second)
		w.kill(r2)
		w.kill(s1)
		time.Sleep(20 * time.Minute)
		require.Zero(t, free(r1))
		var blockers []fleet.Blocker
		r1.ViewFleet(func(s *fleet.State) { blockers = s.Blockers(r2.Incarnation()) })
		require.Len(t, blockers, 1)
		require.Equal(t, s1.Incarnation(), blockers[0].Member.Incarnation)
		require.Len(t, blockers[0].WaitsOn, 1)
		require.False(t, s2.Members().Closed(r2.Incarnation()))
		statement, err := record.New(fleet.KindDestroyed, fleet.Destroyed{UpTo: s1.Incarnation(), VMs: []ident.VMID{"vm-r2", "vm-s1"}})
		require.NoError(t, err)
		_, err = r1.SubmitFleet(within(t, time.Minute), statement)
		require.NoError(t, err)
		eventually(t, time.Minute, func() bool { return free(r1) == 1000 }, "freed")
	})
}

// With a platform whose list fences, the same pair needs no operator.
func TestAFencingListFreesThePair(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		r1, r2 := w.start(fleet.RoleRouter, "r1"), w.start(fleet.RoleRouter, "r2")
		s1 := w.start(fleet.RoleSide, "s1")
		_, err := r1.SubmitSettings(within(t, time.Minute), changeRecord(t, "1", "fleet", -1, settings.Bootstrap, `{"vm_list_fences":true}`))
		require.NoError(t, err)
		grant(t, r2, 1000)
		time.Sleep(5 * time.Second)
		w.kill(r2)
		w.kill(s1)
		eventually(t, 2*time.Minute, func() bool { return free(r1) == 1000 }, "freed")
	})
}

// A VM list that cannot be read, lacks a VM for a moment, or lacks the reader's
// own VM, seals nobody.
func TestAnUnavailableVMListSealsNobody(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		r1 := w.start(fleet.RoleRouter, "r1")
		s1 := w.start(fleet.RoleSide, "s1")
		time.Sleep(5 * time.Second)
		w.vms.SetDown(true)
		time.Sleep(20 * time.Minute)
		w.vms.SetDown(false)
		w.vms.Delete("vm-s1")
		time.Sleep(goneAfter / 2)
		w.vms.Put(vmlist.VM{ID: "vm-s1", State: vmlist.Live})
		time.Sleep(20 * time.Minute)
		w.vms.Delete("vm-s1")
		w.vms.Delete("vm-r1")
		time.Sleep(time.Hour)
		require.True(t, r1.Members().Live(s1.Incarnation()))
		require.NoError(t, s1.Ready())
	})
}

// A side process that was sealed finds out and is not ready any more; its
// replacement at the same address seals the old life without the VM list.
func TestASealedLifeIsNotReady(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.start(fleet.RoleRouter, "r1")
		s1 := w.start(fleet.RoleSide, "s1")
		next := w.start(fleet.RoleSide, "s1")
		eventually(t, time.Minute, func() bool { return s1.Ready() != nil }, "sealed")
		require.ErrorIs(t, s1.Ready(), ErrSealed)
		<-s1.Sealed()
		require.NoError(t, next.Ready())
		w.crash(s1)
	})
}
