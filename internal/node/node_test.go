package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/fleet"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/memlog"
	"github.com/camphorlever/camphorlever/internal/record"
	"github.com/camphorlever/camphorlever/internal/settings"
	"github.com/camphorlever/camphorlever/internal/stream"
	"github.com/camphorlever/camphorlever/internal/wire"
)

func TestNodesRegisterAndShareSettings(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		r1 := c.start(fleet.RoleRouter, "r1")
		s1 := c.start(fleet.RoleSide, "s1")
		require.NoError(t, r1.Ready())
		require.NoError(t, s1.Ready())
		verdicts, err := r1.SubmitSettings(withTimeout(t, time.Second),
			changeRecord(t, "c1", "models/m", ident.NoOffset, settings.Bootstrap, `{"version":"1"}`))
		require.NoError(t, err)
		require.Equal(t, settings.Accepted, verdicts[0].Outcome)
		require.NoError(t, s1.CatchUp(withTimeout(t, time.Second), r1.Offsets()))
		require.Equal(t, "1", s1.Settings().Models["m"].Version)
		require.Len(t, s1.Members().Routers, 1)
		require.NoError(t, s1.Stop(withTimeout(t, time.Second)))
		c.ended[s1] = true
		require.NoError(t, r1.CatchUp(withTimeout(t, time.Second), wire.Offsets{Fleet: 2}))
		require.True(t, r1.Members().Closed(s1.Incarnation()), fmt.Sprint(r1.Members()))
	})
}

// A new side process must know every earlier seal before it is ready, or it
// could start runs for a sealed router. Log faults during its start must not
// change that.
func TestNewSideReadsAllSealsBeforeItIsReady(t *testing.T) {
	faults := map[string]func(*memlog.Log){
		"none":       func(*memlog.Log) {},
		"reply lost": func(l *memlog.Log) { l.LoseReplies(3) },
		"repeated":   func(l *memlog.Log) { l.DuplicateNext(2) },
		"slow":       func(l *memlog.Log) { l.SetDelay(8 * time.Second) },
		"down":       func(l *memlog.Log) { l.SetDown(true); time.AfterFunc(time.Hour, func() { l.SetDown(false) }) },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			withCluster(t, func(t *testing.T, c *cluster) {
				r1, r2 := c.start(fleet.RoleRouter, "r1"), c.start(fleet.RoleRouter, "r2")
				s0 := c.start(fleet.RoleSide, "s0", make(blockingBarrier))
				seal, err := record.New(fleet.KindSeal, fleet.Seal{Incarnation: r2.Incarnation()})
				require.NoError(t, err)
				_, err = r1.SubmitFleet(withTimeout(t, time.Minute), seal)
				require.NoError(t, err)
				fault(c.log)
				s1 := c.newNode(fleet.RoleSide, "s1")
				for s1.Start(withTimeout(t, 10*time.Second)) != nil {
					require.Error(t, s1.Ready())
				}
				c.log.SetDelay(0)
				eventually(t, time.Minute, func() bool { return s1.Ready() == nil }, "ready")
				require.True(t, s1.Members().Sealed(r2.Incarnation()))
				require.Len(t, s1.Members().Sides, 2, "a repeated registration creates one incarnation")
				require.True(t, s1.Members().Live(s0.Incarnation()))
			})
		})
	}
}

// A router that starts while the log is unavailable adopts the settings of a
// peer, is not ready while unregistered, and registers once the log is
// available.
func TestRouterStartDuringLogOutage(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		r1 := c.start(fleet.RoleRouter, "r1")
		_, err := r1.SubmitSettings(withTimeout(t, time.Minute), changeRecord(t, "1", "models/m", -1, settings.Bootstrap, `{"version":"1"}`))
		require.NoError(t, err)
		c.log.SetDown(true)
		r2 := c.newNode(fleet.RoleRouter, "r2")
		require.ErrorIs(t, r2.Start(withTimeout(t, 20*time.Second)), ErrNotRegistered)
		require.ErrorIs(t, r2.Ready(), ErrNotRegistered)
		require.Zero(t, r2.Incarnation())
		require.Equal(t, "1", r2.Settings().Models["m"].Version)
		require.Equal(t, r1.Offsets(), r2.Offsets())
		require.NoError(t, r1.Ready(), "a router that was ready before the outage stays ready")
		c.log.SetDown(false)
		require.NoError(t, r2.Start(withTimeout(t, time.Minute)))
		eventually(t, time.Minute, func() bool { return r2.Ready() == nil }, "ready")
	})
}

// A node catches up with every newer offset that it learns of. Its offsets never
// decrease, even when a peer offers an older state.
func TestOffsetsAreMonotonic(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		r1, r2 := c.start(fleet.RoleRouter, "r1"), c.start(fleet.RoleRouter, "r2")
		base := ident.NoOffset
		previous := r2.Offsets()
		for i := range 30 {
			if i%7 == 3 {
				c.log.LoseReplies(2)
			}
			if i%11 == 5 {
				c.log.SetDown(true)
				time.AfterFunc(20*time.Second, func() { c.log.SetDown(false) })
			}
			base = changeModel(t, r1, fmt.Sprint(i), base, fmt.Sprintf(`{"version":"%d"}`, i))
			require.NoError(t, r2.CatchUp(withTimeout(t, time.Minute), r1.Offsets()))
			require.Equal(t, fmt.Sprint(i), r2.Settings().Models["m"].Version)
			current := r2.Offsets()
			require.GreaterOrEqual(t, current.Settings, previous.Settings)
			require.GreaterOrEqual(t, current.Fleet, previous.Fleet)
			previous = current
		}
		_, err := r2.settings.Adopt(encodeSnapshot(t, settings.New()))
		require.NoError(t, err)
		require.Equal(t, previous, r2.Offsets())
	})
}

// changeModel changes a subtree as operators do: a node that adopted the state of
// a peer may not know the outcome of its own batch, and then the same change is
// submitted again until its outcome is known. It returns the version of the
// change.
func changeModel(t *testing.T, n *Node, id string, base ident.Offset, value string) ident.Offset {
	change := changeRecord(t, id, "models/m", base, settings.Bootstrap, value)
	expected := []settings.Outcome{settings.Accepted}
	for {
		verdicts, err := n.SubmitSettings(withTimeout(t, time.Hour), change)
		if errors.Is(err, stream.ErrOutcomeUnknown) {
			expected = append(expected, settings.Repeated)
			continue
		}
		require.NoError(t, err)
		require.Contains(t, expected, verdicts[0].Outcome)
		return verdicts[0].Version
	}
}

func encodeSnapshot(t *testing.T, s *settings.State) stream.Snapshot {
	raw, err := s.Snapshot()
	require.NoError(t, err)
	return stream.Snapshot{Era: 1, Offset: s.Offset(), State: raw}
}

// Of concurrent changes to one subtree through different routers exactly one is
// accepted; the others conflict.
func TestConcurrentChangesAcceptExactlyOne(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		routers := []*Node{c.start(fleet.RoleRouter, "r1"), c.start(fleet.RoleRouter, "r2"), c.start(fleet.RoleRouter, "r3")}
		c.log.LoseReplies(2)
		outcomes := make([]settings.Outcome, len(routers))
		var work conc.WaitGroup
		for i, r := range routers {
			work.Go(func() {
				verdicts, err := r.SubmitSettings(withTimeout(t, time.Minute), changeRecord(t, fmt.Sprint(i), "models/m", -1, settings.Bootstrap, fmt.Sprintf(`{"version":"%d"}`, i)))
				require.NoError(t, err)
				outcomes[i] = verdicts[0].Outcome
			})
		}
		work.Wait()
		accepted := 0
		for i, outcome := range outcomes {
			if outcome == settings.Accepted {
				accepted++
				require.Equal(t, fmt.Sprint(i), routers[0].Settings().Models["m"].Version)
				continue
			}
			require.Equal(t, settings.Conflict, outcome)
		}
		require.Equal(t, 1, accepted)
	})
}

// All processes crash at once while the log retains only its newest entries. A
// new router must recover the settings, and the lost router's grant must be
// freed.
func TestStateSurvivesLossOfAllProcesses(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		c.log.SetRetention(64)
		r1 := c.start(fleet.RoleRouter, "r1")
		grantTokens(t, r1, 1000)
		base := ident.NoOffset
		for i := range 300 {
			verdicts, err := r1.SubmitSettings(withTimeout(t, time.Minute), changeRecord(t, fmt.Sprint(i), "models/m", base, settings.Bootstrap, fmt.Sprintf(`{"version":"%d"}`, i)))
			require.NoError(t, err)
			base = verdicts[0].Version
			returned, err := record.New(ledger.KindReturn, ledger.Return{Team: "a", Tokens: 1})
			require.NoError(t, err)
			_, err = r1.Ledger().Submit(withTimeout(t, time.Minute), "a", returned)
			require.NoError(t, err)
			time.Sleep(time.Second)
		}
		c.crashAndDeleteVM(r1)
		time.Sleep(20 * time.Minute)
		r2 := c.start(fleet.RoleRouter, "r2")
		eventually(t, time.Minute, func() bool { return r2.Ready() == nil }, "ready")
		require.Equal(t, "299", r2.Settings().Models["m"].Version)
		eventually(t, 5*time.Minute, func() bool { return freeTokens(r2) == 1000 }, "the lost router's grant is freed")
	})
}
