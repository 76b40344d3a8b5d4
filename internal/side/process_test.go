package side

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/fleet"
	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/record"
	"github.com/camphorlever/camphorlever/internal/vmlist"
	"github.com/camphorlever/camphorlever/internal/wire"
)

func TestRunIsAnsweredAndBilled(t *testing.T) {
	withFixture(t, func(t *testing.T, f *fixture) {
		outcome, a := f.begin(f.request("k", 5))
		require.Equal(t, wire.BeginStarted, outcome)
		events, last, err := a.readAll()
		require.Equal(t, io.EOF, err)
		require.Equal(t, wire.FrameEnd, last.Kind, last.Result.Message)
		require.Equal(t, 6, events)
		require.Equal(t, wire.Usage{Prompt: 4, Output: 5}, last.Usage)
		f.eventually(5*time.Second, "run is billed", func() bool { return f.billedTokens() == 9 })
	})
}

// A stop, whichever phase a run is in, must interrupt no run, start none and leave
// none unsettled.
func TestStopIsGraceful(t *testing.T) {
	for name, after := range map[string]time.Duration{"early": 0, "midway": 2500 * time.Millisecond, "at the end": 5 * time.Second} {
		t.Run(name, func(t *testing.T) {
			withFixture(t, func(t *testing.T, f *fixture) {
				_, a := f.begin(f.request("k", 5))
				late := f.request("late", 5)
				time.Sleep(after)
				f.stop()
				synctest.Wait()
				if after < 5*time.Second {
					outcome, _ := f.begin(late)
					require.Equal(t, wire.BeginLeaving, outcome)
				}
				events, last, err := a.readAll()
				require.Equal(t, io.EOF, err)
				require.Equal(t, 6, events)
				require.Equal(t, wire.FrameEnd, last.Kind)
				require.NoError(t, <-f.runResult)
				f.eventually(5*time.Second, "deregistered", func() bool { return len(f.router.Members().Sides) == 0 })
				f.eventually(5*time.Second, "run is billed", func() bool { return f.billedTokens() == 9 })
				require.Equal(t, 1, f.engine.runCount())
			})
		})
	}
}

// While the log is unavailable, runs continue and are metered. A stop waits until
// their settlements are written.
func TestLogOutageDelaysOnlySettlement(t *testing.T) {
	withFixture(t, func(t *testing.T, f *fixture) {
		f.log.SetDown(true)
		outcome, a := f.begin(f.request("k", 5))
		require.Equal(t, wire.BeginStarted, outcome)
		_, last, _ := a.readAll()
		require.Equal(t, wire.FrameEnd, last.Kind)
		f.stop()
		time.Sleep(10 * time.Minute)
		select {
		case <-f.runResult:
			t.Fatal("process stopped before its run was settled")
		default:
		}
		require.Zero(t, f.billedTokens())
		f.log.SetDown(false)
		require.NoError(t, <-f.runResult)
		f.eventually(time.Minute, "run is billed", func() bool { return f.billedTokens() == 9 })
	})
}

// After a router is sealed, its run continues to the end, the seal is acknowledged
// only after the run is settled, and no new run starts for that router. An earlier
// acknowledgement would let the grant be closed before the run is billed.
func TestSealAcknowledgementWaitsForRunsAndSettlements(t *testing.T) {
	withFixture(t, func(t *testing.T, f *fixture) {
		side, router := f.process.gate.Incarnation(), f.router.Incarnation()
		_, a := f.begin(f.request("k", 20))
		r, err := record.New(fleet.KindSeal, fleet.Seal{Incarnation: router, Reason: "test"})
		require.NoError(t, err)
		_, err = f.process.node.SubmitFleet(t.Context(), r)
		require.NoError(t, err)
		acknowledged := func() bool {
			for _, sealed := range f.process.node.Members().Pending {
				ok := sealed.AckedBy(side)
				return ok
			}
			return true // closed, so no longer pending
		}
		f.eventually(5*time.Second, "seal is read from the fleet stream", func() bool { return f.process.node.Members().Sealed(router) })
		outcome, _ := f.begin(f.request("other", 5))
		require.Equal(t, wire.BeginSealed, outcome)
		outcome, again := f.begin(f.request("k", 20))
		require.Equal(t, wire.BeginRunning, outcome)
		again.body.Close()
		time.Sleep(10 * time.Second)
		require.False(t, acknowledged(), "acknowledged while a run is in progress")
		f.log.SetDown(true)
		_, last, _ := a.readAll()
		require.Equal(t, wire.FrameEnd, last.Kind)
		time.Sleep(time.Minute)
		require.False(t, acknowledged(), "acknowledged before the run is settled")
		f.log.SetDown(false)
		f.eventually(time.Minute, "acknowledged", acknowledged)
		var billed int64 // in the fold of the process that acknowledged the seal
		f.process.node.Ledger().View(team, func(s *ledger.State) { billed = s.Budget(team).Billed })
		require.EqualValues(t, 24, billed)
	})
}

func TestLeaveTriggers(t *testing.T) {
	causes := map[string]func(f *fixture){
		"settings": func(f *fixture) {
			f.changeSettings("servers/s", "")
		},
		"VM list": func(f *fixture) { f.vms.Put(vmlist.VM{ID: "vm-s", DataCentre: "dc", State: vmlist.Leaving}) },
		"order": func(f *fixture) {
			var reply wire.LeaveReply
			require.NoError(f.t, f.process.methods(f.process.log).Leave(&wire.LeaveArgs{}, &reply))
			require.Equal(f.t, 1, reply.Running)
		},
	}
	for name, cause := range causes {
		t.Run(name, func(t *testing.T) {
			withFixture(t, func(t *testing.T, f *fixture) {
				f.changeSettings("servers/s", `{"vm":"vm-s","data_centre":"dc","models":["m"]}`)
				time.Sleep(2 * removalCheckInterval)
				require.False(t, f.process.gate.Leaving())
				_, a := f.begin(f.request("k", 5))
				cause(f)
				f.eventually(3*time.Second, "gate leaves", f.process.gate.Leaving)
				outcome, _ := f.begin(f.request("other", 5))
				require.Equal(t, wire.BeginLeaving, outcome)
				f.eventually(3*time.Second, "router has read the Leave record", func() bool { return f.router.Members().Sides[0].Leaving })
				events, _, _ := a.readAll()
				require.Equal(t, 6, events)
			})
		})
	}
}

// A process whose own incarnation is sealed starts no new run, lets its runs
// finish and returns ErrSealed, which asks for a restart.
func TestSealedProcessStops(t *testing.T) {
	withFixture(t, func(t *testing.T, f *fixture) {
		_, a := f.begin(f.request("k", 5))
		r, err := record.New(fleet.KindSeal, fleet.Seal{Incarnation: f.process.gate.Incarnation(), Reason: "test"})
		require.NoError(t, err)
		_, err = f.router.SubmitFleet(t.Context(), r)
		require.NoError(t, err)
		synctest.Wait()
		outcome, _ := f.begin(f.request("other", 5))
		require.Equal(t, wire.BeginLeaving, outcome)
		events, last, _ := a.readAll()
		require.Equal(t, 6, events)
		require.Equal(t, wire.FrameEnd, last.Kind)
		require.ErrorIs(t, <-f.runResult, ErrSealed)
	})
}
