package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/fleet"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/memlog"
	"github.com/camphorlever/camphorlever/internal/record"
	"github.com/camphorlever/camphorlever/internal/settings"
	"github.com/camphorlever/camphorlever/internal/stream"
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
		submit := func(n *Node, id string, base ident.Offset, version string) settings.Verdict {
			change := changeRecord(t, id, "models/m", base, settings.Bootstrap, `{"version":"`+version+`"}`)
			verdicts, err := n.SubmitSettings(withTimeout(t, time.Minute), change)
			require.NoError(t, err)
			return verdicts[0]
		}
		first := submit(r1, "1", ident.NoOffset, "1")
		older := c.log.Copy()
		lost := submit(r1, "2", first.Version, "2")
		require.Equal(t, settings.Accepted, lost.Outcome)
		c.crash(r1)
		c.log.Restore(older)
		r2 := c.start(fleet.RoleRouter, "r2")
		other := submit(r2, "3", first.Version, "3")
		require.Equal(t, settings.Accepted, other.Outcome)
		require.NotEqual(t, settings.Accepted, submit(r2, "4", lost.Version, "4").Outcome)
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
