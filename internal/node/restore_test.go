package node

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/fleet"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/logservice"
	"github.com/camphorlever/camphorlever/internal/memlog"
	"github.com/camphorlever/camphorlever/internal/record"
	"github.com/camphorlever/camphorlever/internal/rpc"
	"github.com/camphorlever/camphorlever/internal/settings"
	"github.com/camphorlever/camphorlever/internal/stream"
	"github.com/camphorlever/camphorlever/internal/vmlist"
)

// submitLedger submits a record for team a and returns its verdict, or false if there
// is none within a minute.
func submitLedger(t *testing.T, n *Node, kind record.Kind, body any) (ledger.Verdict, bool) {
	r, err := record.New(kind, body)
	require.NoError(t, err)
	verdicts, err := n.Ledger().Submit(withTimeout(t, time.Minute), "a", r)
	if err != nil {
		return ledger.Verdict{}, false
	}
	return verdicts[0], true
}

// rebuiltLedger returns the state of team a's shard that a process without state reads
// from the log.
func rebuiltLedger(t *testing.T, c *cluster) *ledger.State {
	fold, err := stream.Rebuild(t.Context(), c.log, LedgerSpec(ledger.ShardOf("a", 2), 2))
	require.NoError(t, err)
	return fold
}

// restoreBeside restores the log from an older copy. The other router then goes on, or
// is replaced by one that has read nothing but the restored log.
func restoreBeside(c *cluster, older *memlog.Copy, other *Node, replaced bool) *Node {
	c.log.Restore(older)
	if !replaced {
		return other
	}
	c.crash(other)
	return c.start(fleet.RoleRouter, "r3")
}

// forOtherRouters runs a test with a router that goes on through the restore, and with
// one that starts after it.
func forOtherRouters(t *testing.T, test func(t *testing.T, c *cluster, replaced bool)) {
	for _, replaced := range []bool{false, true} {
		t.Run(fmt.Sprintf("replaced=%t", replaced), func(t *testing.T) {
			withCluster(t, func(t *testing.T, c *cluster) { test(t, c, replaced) })
		})
	}
}

// A router holds tokens that the restored ledger shows as free. Granting them to
// another router lets the team use twice what it has paid for.
func TestTokensAreNotGrantedTwiceThroughARestore(t *testing.T) {
	forOtherRouters(t, func(t *testing.T, c *cluster, replaced bool) {
		r1, r2 := c.start(fleet.RoleRouter, "r1"), c.start(fleet.RoleRouter, "r2")
		_, ok := submitLedger(t, r1, ledger.KindTopUp, ledger.TopUp{Team: "a", ID: "1", Tokens: 1000})
		require.True(t, ok)
		draw := ledger.Draw{Team: "a", Requested: 1000, Minimum: 1}
		older := c.log.Copy()
		held, _ := submitLedger(t, r1, ledger.KindDraw, draw)
		require.EqualValues(t, 1000, held.Tokens)
		r2 = restoreBeside(c, older, r2, replaced)
		for range 3 {
			second, _ := submitLedger(t, r2, ledger.KindDraw, draw)
			require.Zero(t, second.Tokens)
			time.Sleep(2 * time.Minute)
		}
		require.Zero(t, rebuiltLedger(t, c).Grant("a", r2.Incarnation()).Granted)
	})
}

// A claim that is gone is not a claim that never was: the gate that it named may
// have run the request.
func TestLostClaimIsNotGivenToAnotherGate(t *testing.T) {
	forOtherRouters(t, func(t *testing.T, c *cluster, replaced bool) {
		r1, r2 := c.start(fleet.RoleRouter, "r1"), c.start(fleet.RoleRouter, "r2")
		s1, s2 := c.start(fleet.RoleSide, "s1"), c.start(fleet.RoleSide, "s2")
		key := ident.HashKey("a", "order")
		older := c.log.Copy()
		first, ok := submitLedger(t, r1, ledger.KindClaim, ledger.Claim{Team: "a", Key: key, Gate: s1.Incarnation()})
		require.True(t, ok)
		require.Equal(t, ledger.Accepted, first.Outcome)
		r2 = restoreBeside(c, older, r2, replaced)
		for range 3 {
			second, ok := submitLedger(t, r2, ledger.KindClaim, ledger.Claim{Team: "a", Key: key, Gate: s2.Incarnation()})
			require.False(t, ok && second.Outcome == ledger.Accepted)
			time.Sleep(2 * time.Minute)
		}
		holder, _ := rebuiltLedger(t, c).Claim(key)
		require.NotEqual(t, s2.Incarnation(), holder.Gate)
	})
}

// An incarnation identifies grants, gates and writers. It is derived from the offset
// of the registration, which a restore gives out again.
func TestIncarnationIsNotGivenOutTwiceThroughARestore(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		c.start(fleet.RoleRouter, "r1")
		older := c.log.Copy()
		r2 := c.start(fleet.RoleRouter, "r2")
		c.log.Restore(older)
		r3 := c.start(fleet.RoleRouter, "r3")
		require.NotEqual(t, r2.Incarnation(), r3.Incarnation())
	})
}

// A process whose registration was lost is unknown to those that start later: nothing
// would wait for its acknowledgements and settlements.
func TestLostRegistrationIsWrittenAgain(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		c.start(fleet.RoleRouter, "r1")
		older := c.log.Copy()
		s1 := c.start(fleet.RoleSide, "s1")
		c.log.Restore(older)
		time.Sleep(5 * time.Minute)
		r2 := c.start(fleet.RoleRouter, "r2")
		require.True(t, r2.Members().Live(s1.Incarnation()))
		require.True(t, r2.Members().Live(r2.Incarnation()))
		require.NotEqual(t, s1.Incarnation(), r2.Incarnation())
	})
}

// The version of a subtree is an offset, which a restore gives out again. A change
// that is based on a lost version must not replace another change.
func TestChangeBasedOnALostVersionConflicts(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		r1 := c.start(fleet.RoleRouter, "r1")
		submit := func(n *Node, id string, base ident.Offset) settings.Verdict {
			change := changeRecord(t, id, "models/m", base, settings.Bootstrap, `{"version":"`+id+`"}`)
			verdicts, err := n.SubmitSettings(withTimeout(t, time.Minute), change)
			require.NoError(t, err)
			return verdicts[0]
		}
		first := submit(r1, "first", ident.NoOffset)
		older := c.log.Copy()
		version, lost := first.Version, []ident.Offset(nil)
		for i := range 5 {
			verdict := submit(r1, fmt.Sprintf("lost%d", i), version)
			require.Equal(t, settings.Accepted, verdict.Outcome)
			version = verdict.Version
			lost = append(lost, version)
		}
		c.crash(r1) // the only process that has read the changes
		c.log.Restore(older)
		r2 := c.start(fleet.RoleRouter, "r2")
		version = first.Version
		for i := range 5 {
			verdict := submit(r2, fmt.Sprintf("other%d", i), version)
			require.Equal(t, settings.Accepted, verdict.Outcome)
			version = verdict.Version
			for j, base := range lost {
				require.NotEqual(t, settings.Accepted, submit(r2, fmt.Sprintf("based%d-%d", i, j), base).Outcome)
			}
		}
	})
}

// Settings that were confirmed and lost must come into force again; every process
// that had read them can write them.
func TestConfirmedSettingsAreInForceAfterARestore(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		r1 := c.start(fleet.RoleRouter, "r1")
		older := c.log.Copy()
		verdicts, err := r1.SubmitSettings(withTimeout(t, time.Minute), changeRecord(t, "1", "models/m", ident.NoOffset, settings.Bootstrap, `{"version":"7"}`))
		require.NoError(t, err)
		require.Equal(t, settings.Accepted, verdicts[0].Outcome)
		c.log.Restore(older)
		time.Sleep(5 * time.Minute)
		r2 := c.start(fleet.RoleRouter, "r2")
		require.Equal(t, "7", r1.Settings().Models["m"].Version)
		require.Equal(t, "7", r2.Settings().Models["m"].Version)
	})
}

// unreachableLog is a log that one process cannot reach while it is cut off.
type unreachableLog struct {
	logservice.Log
	cut atomic.Bool
}

func (l *unreachableLog) Read(ctx context.Context, request logservice.ReadRequest) (logservice.Page, error) {
	if l.cut.Load() {
		return logservice.Page{}, logservice.ErrUnavailable
	}
	request.Wait = min(request.Wait, time.Second) // a read in progress ends soon after the cut
	return l.Log.Read(ctx, request)
}

func (l *unreachableLog) AppendIf(ctx context.Context, request logservice.AppendRequest) (ident.Offset, error) {
	if l.cut.Load() {
		return ident.NoOffset, logservice.ErrUnavailable
	}
	return l.Log.AppendIf(ctx, request)
}

// cutOffRouter starts a router whose access to the log can be cut.
func cutOffRouter(t *testing.T, c *cluster, name string) (*Node, *unreachableLog) {
	log := &unreachableLog{Log: c.log}
	vm := ident.VMID("vm-" + name)
	c.vms.Put(vmlist.VM{ID: vm, DataCentre: "dc", State: vmlist.Live})
	n := New(Options{
		Role: fleet.RoleRouter, VM: vm, DataCentre: "dc", Address: name, LedgerShards: 2,
		Dial: func(address, _ string) rpc.Caller { return memoryCaller{cluster: c, address: address} },
	}, log, c.vms, zerolog.Nop())
	require.NoError(t, n.Start(withTimeout(t, 30*time.Second)))
	return n, log
}

// A process that alone knew some entries, and learns of the restore only after others
// were written in their place, may hold tokens and an incarnation that others have.
func TestProcessWithALostHistoryIsSealed(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		r1 := c.start(fleet.RoleRouter, "r1")
		_, ok := submitLedger(t, r1, ledger.KindTopUp, ledger.TopUp{Team: "a", ID: "1", Tokens: 1000})
		require.True(t, ok)
		older := c.log.Copy()
		late, access := cutOffRouter(t, c, "late")
		defer late.Abandon()
		draw := ledger.Draw{Team: "a", Requested: 1000, Minimum: 1}
		held, _ := submitLedger(t, late, ledger.KindDraw, draw)
		require.EqualValues(t, 1000, held.Tokens)
		c.crash(r1) // the only other process that knew of the draw
		access.cut.Store(true)
		time.Sleep(5 * time.Second)
		c.log.Restore(older)
		r2 := c.start(fleet.RoleRouter, "r2")
		access.cut.Store(false)
		eventually(t, time.Minute, func() bool { return late.Ready() != nil }, "sealed")
		require.ErrorIs(t, late.Ready(), ErrSealed)
		<-late.Sealed()
		returned, err := record.New(ledger.KindReturn, ledger.Return{Team: "a", Tokens: 1000})
		require.NoError(t, err)
		_, err = late.Ledger().Submit(withTimeout(t, time.Hour), "a", returned)
		require.ErrorIs(t, err, stream.ErrFenced)
		second, _ := submitLedger(t, r2, ledger.KindDraw, draw)
		require.EqualValues(t, 1000, second.Tokens)
		require.NoError(t, r2.Ready())
	})
}

// A process that is cut off through the restore and the repair must go on when others
// have written its entries again; its tokens must still be its own.
func TestCutOffProcessGoesOnWhenOthersWroteItsEntries(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		r1 := c.start(fleet.RoleRouter, "r1")
		_, ok := submitLedger(t, r1, ledger.KindTopUp, ledger.TopUp{Team: "a", ID: "1", Tokens: 1000})
		require.True(t, ok)
		older := c.log.Copy()
		late, access := cutOffRouter(t, c, "late")
		defer late.Abandon()
		draw := ledger.Draw{Team: "a", Requested: 1000, Minimum: 1}
		held, _ := submitLedger(t, late, ledger.KindDraw, draw)
		require.EqualValues(t, 1000, held.Tokens)
		time.Sleep(time.Second)
		access.cut.Store(true)
		time.Sleep(5 * time.Second)
		c.log.Restore(older)
		second, _ := submitLedger(t, r1, ledger.KindDraw, draw)
		require.Zero(t, second.Tokens)
		time.Sleep(5 * time.Minute)
		access.cut.Store(false)
		returned, err := record.New(ledger.KindReturn, ledger.Return{Team: "a", Tokens: 1000})
		require.NoError(t, err)
		verdicts, err := late.Ledger().Submit(withTimeout(t, time.Minute), "a", returned)
		require.NoError(t, err)
		require.Equal(t, ledger.Accepted, verdicts[0].Outcome)
		require.NoError(t, late.Ready())
	})
}

// All routers and side processes go on through two restores, the second during the
// repair of the first. Nobody may see an older state or be sealed.
func TestFleetGoesOnThroughTwoRestores(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		nodes := []*Node{
			c.start(fleet.RoleRouter, "r1"), c.start(fleet.RoleRouter, "r2"),
			c.start(fleet.RoleSide, "s1"), c.start(fleet.RoleSide, "s2"),
		}
		grantTokens(t, nodes[0], 1000)
		older := c.log.Copy()
		version := ident.NoOffset
		for i := range 10 {
			version = changeModel(t, nodes[0], fmt.Sprint(i), version, fmt.Sprintf(`{"version":"%d"}`, i))
			_, ok := submitLedger(t, nodes[1], ledger.KindTopUp, ledger.TopUp{Team: "a", ID: fmt.Sprint("more", i), Tokens: 10})
			require.True(t, ok)
		}
		time.Sleep(time.Second)
		c.log.SetDown(true)
		time.Sleep(2 * time.Second)
		c.log.Restore(older)
		c.log.SetDown(false)
		time.Sleep(3 * time.Second)
		c.log.Restore(older)
		for range 100 {
			for _, n := range nodes {
				require.NoError(t, n.Ready())
				require.Equal(t, "9", n.Settings().Models["m"].Version)
				n.Ledger().View("a", func(s *ledger.State) { require.EqualValues(t, 1100, s.Budget("a").TopUps) })
			}
			time.Sleep(time.Second)
		}
		fold := rebuiltLedger(t, c)
		require.EqualValues(t, 1100, fold.Budget("a").TopUps)
		require.EqualValues(t, 1000, fold.Grant("a", nodes[0].Incarnation()).Granted)
		returned, err := record.New(ledger.KindReturn, ledger.Return{Team: "a", Tokens: 1000})
		require.NoError(t, err)
		_, err = nodes[0].Ledger().Submit(withTimeout(t, time.Minute), "a", returned)
		require.NoError(t, err)
		eventually(t, time.Minute, func() bool { return freeTokens(nodes[1]) == 1100 }, "returned")
	})
}
