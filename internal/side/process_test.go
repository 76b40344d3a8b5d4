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
	inWorld(t, func(t *testing.T, w *world) {
		outcome, a := w.begin(w.request("k", 5))
		require.Equal(t, wire.BeginStarted, outcome)
		events, last, err := a.rest()
		require.Equal(t, io.EOF, err)
		require.Equal(t, wire.FrameEnd, last.Kind, last.Result.Message)
		require.Equal(t, 6, events)
		require.Equal(t, wire.Usage{Prompt: 4, Output: 5}, last.Usage)
		w.eventually(5*time.Second, "run is billed", func() bool { return w.billed() == 9 })
	})
}

// The stop of the process begins in every phase of a run and must cut off
// nothing, start nothing and leave nothing unsettled.
func TestStopIsGraceful(t *testing.T) {
	for name, after := range map[string]time.Duration{"early": 0, "midway": 2500 * time.Millisecond, "at the end": 5 * time.Second} {
		t.Run(name, func(t *testing.T) {
			inWorld(t, func(t *testing.T, w *world) {
				_, a := w.begin(w.request("k", 5))
				late := w.request("late", 5)
				time.Sleep(after)
				w.stop()
				synctest.Wait()
				if after < 5*time.Second {
					outcome, _ := w.begin(late)
					require.Equal(t, wire.BeginLeaving, outcome)
				}
				events, last, err := a.rest()
				require.Equal(t, io.EOF, err)
				require.Equal(t, 6, events)
				require.Equal(t, wire.FrameEnd, last.Kind)
				require.NoError(t, <-w.ended)
				w.eventually(5*time.Second, "deregistered", func() bool { return len(w.router.Members().Sides) == 0 })
				w.eventually(5*time.Second, "run is billed", func() bool { return w.billed() == 9 })
				require.Equal(t, 1, w.engine.total())
			})
		})
	}
}

// While the log is out runs go on and are metered; a stop waits for it.
func TestLogOutageDelaysOnlyTheSettlement(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.log.SetDown(true)
		outcome, a := w.begin(w.request("k", 5))
		require.Equal(t, wire.BeginStarted, outcome)
		_, last, _ := a.rest()
		require.Equal(t, wire.FrameEnd, last.Kind)
		w.stop()
		time.Sleep(10 * time.Minute)
		select {
		case <-w.ended:
			t.Fatal("stopped without its settlement")
		default:
		}
		require.Zero(t, w.billed())
		w.log.SetDown(false)
		require.NoError(t, <-w.ended)
		w.eventually(time.Minute, "run is billed", func() bool { return w.billed() == 9 })
	})
}

// A sealed router's run goes on to its end, the seal is acknowledged only
// after its settlement, and nothing more starts for that router.
func TestSealWaitsForRunsAndSettlements(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		side, router := w.process.gate.Incarnation(), w.router.Incarnation()
		_, a := w.begin(w.request("k", 20))
		r, err := record.New(fleet.KindSeal, fleet.Seal{Incarnation: router, Reason: "test"})
		require.NoError(t, err)
		_, err = w.process.node.SubmitFleet(t.Context(), r)
		require.NoError(t, err)
		acknowledged := func() bool {
			for _, sealed := range w.process.node.Members().Pending {
				ok := sealed.AckedBy(side)
				return ok
			}
			return true // decided and forgotten
		}
		w.eventually(5*time.Second, "seal is seen", func() bool { return w.process.node.Members().Sealed(router) })
		outcome, _ := w.begin(w.request("other", 5))
		require.Equal(t, wire.BeginSealed, outcome)
		outcome, again := w.begin(w.request("k", 20))
		require.Equal(t, wire.BeginRunning, outcome)
		again.body.Close()
		time.Sleep(10 * time.Second)
		require.False(t, acknowledged(), "acknowledged while a run goes on")
		w.log.SetDown(true)
		_, last, _ := a.rest()
		require.Equal(t, wire.FrameEnd, last.Kind)
		time.Sleep(time.Minute)
		require.False(t, acknowledged(), "acknowledged without the settlement")
		w.log.SetDown(false)
		w.eventually(time.Minute, "acknowledged", acknowledged)
		var billed int64 // in the fold of the process that acknowledged
		w.process.node.Ledger().View(team, func(s *ledger.State) { billed = s.Budget(team).Billed })
		require.EqualValues(t, 24, billed)
	})
}

func TestLeavingIsFollowed(t *testing.T) {
	causes := map[string]func(w *world){
		"settings": func(w *world) {
			w.change("servers/s", "")
		},
		"VM list": func(w *world) { w.vms.Put(vmlist.VM{ID: "vm-s", DataCentre: "dc", State: vmlist.Leaving}) },
		"order": func(w *world) {
			var reply wire.LeaveReply
			require.NoError(w.t, w.process.methods(w.process.log).Leave(&wire.LeaveArgs{}, &reply))
			require.Equal(w.t, 1, reply.Running)
		},
	}
	for name, cause := range causes {
		t.Run(name, func(t *testing.T) {
			inWorld(t, func(t *testing.T, w *world) {
				w.change("servers/s", `{"vm":"vm-s","data_centre":"dc","models":["m"]}`)
				time.Sleep(2 * leavingInterval)
				require.False(t, w.process.gate.Leaving())
				_, a := w.begin(w.request("k", 5))
				cause(w)
				w.eventually(3*time.Second, "gate leaves", w.process.gate.Leaving)
				outcome, _ := w.begin(w.request("other", 5))
				require.Equal(t, wire.BeginLeaving, outcome)
				w.eventually(3*time.Second, "routers know", func() bool { return w.router.Members().Sides[0].Leaving })
				events, _, _ := a.rest()
				require.Equal(t, 6, events)
			})
		})
	}
}

// A process whose own life was sealed starts nothing more, lets its runs end
// and asks to be started anew.
func TestSealedProcessEnds(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		_, a := w.begin(w.request("k", 5))
		r, err := record.New(fleet.KindSeal, fleet.Seal{Incarnation: w.process.gate.Incarnation(), Reason: "test"})
		require.NoError(t, err)
		_, err = w.router.SubmitFleet(t.Context(), r)
		require.NoError(t, err)
		synctest.Wait()
		outcome, _ := w.begin(w.request("other", 5))
		require.Equal(t, wire.BeginLeaving, outcome)
		events, last, _ := a.rest()
		require.Equal(t, 6, events)
		require.Equal(t, wire.FrameEnd, last.Kind)
		require.ErrorIs(t, <-w.ended, ErrSealed)
	})
}
