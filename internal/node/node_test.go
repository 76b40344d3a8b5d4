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
	inWorld(t, func(t *testing.T, w *world) {
		r1 := w.start(fleet.RoleRouter, "r1")
		s1 := w.start(fleet.RoleSide, "s1")
		require.NoError(t, r1.Ready())
		require.NoError(t, s1.Ready())
		verdicts, err := r1.SubmitSettings(within(t, time.Second),
			changeRecord(t, "c1", "models/m", ident.NoOffset, settings.Bootstrap, `{"version":"1"}`))
		require.NoError(t, err)
		require.Equal(t, settings.Accepted, verdicts[0].Outcome)
		require.NoError(t, s1.CatchUp(within(t, time.Second), r1.Offsets()))
		require.Equal(t, "1", s1.Settings().Models["m"].Version)
		require.Len(t, s1.Members().Routers, 1)
		require.NoError(t, s1.Stop(within(t, time.Second)))
		w.ended[s1] = true
		require.NoError(t, r1.CatchUp(within(t, time.Second), wire.Offsets{Fleet: 2}))
		require.True(t, r1.Members().Closed(s1.Incarnation()), fmt.Sprint(r1.Members()))
	})
}

// A new side process knows every seal before it may run anything, however the
// log behaves meanwhile.
func TestANewSideKnowsAllSealsBeforeItIsReady(t *testing.T) {
	faults := map[string]func(*memlog.Log){
		"none":       func(*memlog.Log) {},
		"reply lost": func(l *memlog.Log) { l.LoseReplies(3) },
		"repeated":   func(l *memlog.Log) { l.DuplicateNext(2) },
		"slow":       func(l *memlog.Log) { l.Slow(8 * time.Second) },
		"down":       func(l *memlog.Log) { l.Down(true); time.AfterFunc(time.Hour, func() { l.Down(false) }) },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			inWorld(t, func(t *testing.T, w *world) {
				r1, r2 := w.start(fleet.RoleRouter, "r1"), w.start(fleet.RoleRouter, "r2")
				s0 := w.start(fleet.RoleSide, "s0", make(releases))
				seal, err := record.New(fleet.KindSeal, fleet.Seal{Incarnation: r2.Incarnation()})
				require.NoError(t, err)
				_, err = r1.SubmitFleet(within(t, time.Minute), seal)
				require.NoError(t, err)
				fault(w.log)
				s1 := w.add(fleet.RoleSide, "s1")
				for s1.Start(within(t, 10*time.Second)) != nil {
					require.Error(t, s1.Ready())
				}
				w.log.Slow(0)
				eventually(t, time.Minute, func() bool { return s1.Ready() == nil }, "ready")
				require.True(t, s1.Members().Sealed(r2.Incarnation()))
				require.Len(t, s1.Members().Sides, 2, "one life, however often its registration was written")
				require.True(t, s1.Members().Live(s0.Incarnation()))
			})
		})
	}
}

// During an outage a router starts with the settings of a peer, is not ready
// while unregistered, and registers once the log is back.
func TestStartDuringAnOutage(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		r1 := w.start(fleet.RoleRouter, "r1")
		_, err := r1.SubmitSettings(within(t, time.Minute), changeRecord(t, "1", "models/m", -1, settings.Bootstrap, `{"version":"1"}`))
		require.NoError(t, err)
		w.log.Down(true)
		r2 := w.add(fleet.RoleRouter, "r2")
		require.ErrorIs(t, r2.Start(within(t, 20*time.Second)), ErrNotRegistered)
		require.ErrorIs(t, r2.Ready(), ErrNotRegistered)
		require.Zero(t, r2.Incarnation())
		require.Equal(t, "1", r2.Settings().Models["m"].Version)
		require.Equal(t, r1.Offsets(), r2.Offsets())
		require.NoError(t, r1.Ready(), "who was ready stays so")
		w.log.Down(false)
		require.NoError(t, r2.Start(within(t, time.Minute)))
		eventually(t, time.Minute, func() bool { return r2.Ready() == nil }, "ready")
	})
}

// Whoever learns of a newer offset catches up with it; nobody goes back, also
// when a peer offers an older state.
func TestOffsetsNeverGoBack(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		r1, r2 := w.start(fleet.RoleRouter, "r1"), w.start(fleet.RoleRouter, "r2")
		base := ident.NoOffset
		seen := r2.Offsets()
		for i := range 30 {
			if i%7 == 3 {
				w.log.LoseReplies(2)
			}
			if i%11 == 5 {
				w.log.Down(true)
				time.AfterFunc(20*time.Second, func() { w.log.Down(false) })
			}
			base = changeModel(t, r1, fmt.Sprint(i), base, fmt.Sprintf(`{"version":"%d"}`, i))
			require.NoError(t, r2.CatchUp(within(t, time.Minute), r1.Offsets()))
			require.Equal(t, fmt.Sprint(i), r2.Settings().Models["m"].Version)
			now := r2.Offsets()
			require.GreaterOrEqual(t, now.Settings, seen.Settings)
			require.GreaterOrEqual(t, now.Fleet, seen.Fleet)
			seen = now
		}
		_, err := r2.settings.Adopt(mustSnapshot(t, settings.New()))
		require.NoError(t, err)
		require.Equal(t, seen, r2.Offsets())
	})
}

// changeModel changes a subtree as operators do: a node that adopted the state of
// a peer may not know what became of its own batch, and then the same change is
// sent again until its outcome is known. It returns the version of the change.
func changeModel(t *testing.T, n *Node, id string, base ident.Offset, value string) ident.Offset {
	change := changeRecord(t, id, "models/m", base, settings.Bootstrap, value)
	expected := []settings.Outcome{settings.Accepted}
	for {
		verdicts, err := n.SubmitSettings(within(t, time.Hour), change)
		if errors.Is(err, stream.ErrOutcomeUnknown) {
			expected = append(expected, settings.Repeated)
			continue
		}
		require.NoError(t, err)
		require.Contains(t, expected, verdicts[0].Outcome)
		return verdicts[0].Version
	}
}

func mustSnapshot(t *testing.T, s *settings.State) []byte {
	raw, err := s.Snapshot()
	require.NoError(t, err)
	return raw
}

// Operators race on one subtree through different routers: exactly one wins.
func TestExactlyOneOperatorWins(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		routers := []*Node{w.start(fleet.RoleRouter, "r1"), w.start(fleet.RoleRouter, "r2"), w.start(fleet.RoleRouter, "r3")}
		w.log.LoseReplies(2)
		outcomes := make([]settings.Outcome, len(routers))
		var work conc.WaitGroup
		for i, r := range routers {
			work.Go(func() {
				verdicts, err := r.SubmitSettings(within(t, time.Minute), changeRecord(t, fmt.Sprint(i), "models/m", -1, settings.Bootstrap, fmt.Sprintf(`{"version":"%d"}`, i)))
				require.NoError(t, err)
				outcomes[i] = verdicts[0].Outcome
			})
		}
		work.Wait()
		winners := 0
		for i, outcome := range outcomes {
			if outcome == settings.Accepted {
				winners++
				require.Equal(t, fmt.Sprint(i), routers[0].Settings().Models["m"].Version)
				continue
			}
			require.Equal(t, settings.Conflict, outcome)
		}
		require.Equal(t, 1, winners)
	})
}

// Every process is lost at once; the log has kept only the newest entries.
func TestAllProcessesLostAtOnce(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.log.Retain(64)
		r1 := w.start(fleet.RoleRouter, "r1")
		grant(t, r1, 1000)
		base := ident.NoOffset
		for i := range 300 {
			verdicts, err := r1.SubmitSettings(within(t, time.Minute), changeRecord(t, fmt.Sprint(i), "models/m", base, settings.Bootstrap, fmt.Sprintf(`{"version":"%d"}`, i)))
			require.NoError(t, err)
			base = verdicts[0].Version
			back, err := record.New(ledger.KindReturn, ledger.Return{Team: "a", Tokens: 1})
			require.NoError(t, err)
			_, err = r1.Ledger().Submit(within(t, time.Minute), "a", back)
			require.NoError(t, err)
			time.Sleep(time.Second)
		}
		w.kill(r1)
		time.Sleep(20 * time.Minute)
		r2 := w.start(fleet.RoleRouter, "r2")
		eventually(t, time.Minute, func() bool { return r2.Ready() == nil }, "ready")
		require.Equal(t, "299", r2.Settings().Models["m"].Version)
		eventually(t, 5*time.Minute, func() bool { return free(r2) == 1000 }, "the grant of the lost router is free")
	})
}
