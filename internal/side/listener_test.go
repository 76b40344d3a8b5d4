package side

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/fleet"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/node"
	"github.com/camphorlever/camphorlever/internal/record"
	"github.com/camphorlever/camphorlever/internal/rpc"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// A reader that takes nothing is disconnected, so that its run is given up
// when nobody returns.
func TestSilentReaderIsDisconnected(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		outcome, a := w.begin(w.request("k", 300))
		defer a.body.Close()
		require.Equal(t, wire.BeginStarted, outcome)
		time.Sleep(30 * time.Second)
		require.Equal(t, 1, w.process.gate.Running())
		w.eventually(30*time.Second, "run is given up", func() bool { return w.process.gate.Running() == 0 })
		w.eventually(5*time.Second, "run is billed", func() bool { return w.billed() > 30 && w.billed() < 60 })
	})
}

func TestCallerAheadIsCaughtUpWith(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		request := w.request("k", 1)
		request.Offsets.Fleet++
		start := time.Now()
		outcome, _ := w.begin(request)
		require.Equal(t, wire.BeginBehind, outcome)
		require.Less(t, time.Since(start), 2*catchUpTimeout)
		go func() {
			time.Sleep(catchUpTimeout / 2)
			r, _ := record.New(fleet.KindLeave, fleet.Leave{})
			w.router.SubmitFleet(context.Background(), r)
		}()
		outcome, a := w.begin(request)
		require.Equal(t, wire.BeginStarted, outcome)
		a.rest()
	})
}

func TestControlMethods(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		client := rpc.NewClient(rpc.Options{
			FleetKey: fleetKey, Service: node.ServiceSide,
			Dial: func(ctx context.Context, _ string) (net.Conn, error) { return w.internal.Dial(ctx, "", "") },
		})
		defer client.Close()
		call := func(method string, args, reply any) {
			t.Helper()
			require.NoError(t, client.Call(t.Context(), method, args, reply))
		}
		gate := w.process.gate.Incarnation()
		request := w.request("k", 3)
		_, a := w.begin(request)
		var sealed, stranger, running, lookup = wire.SealKeyReply{}, wire.SealKeyReply{}, wire.SealKeyReply{}, wire.LookupReply{}
		other := ident.HashKey(team, "other")
		call(wire.MethodSideSealKey, &wire.SealKeyArgs{Gate: gate + 1, Key: other}, &stranger)
		require.Equal(t, gate, stranger.Gate)
		call(wire.MethodSideLookup, &wire.LookupArgs{Key: other}, &lookup)
		require.Equal(t, wire.KeyUnknown, lookup.State, "a seal for another life seals nothing")
		call(wire.MethodSideSealKey, &wire.SealKeyArgs{Gate: gate, Key: other}, &sealed)
		require.Equal(t, wire.KeyUnknown, sealed.Was)
		call(wire.MethodSideSealKey, &wire.SealKeyArgs{Gate: gate, Key: request.Key}, &running)
		require.Equal(t, wire.KeyRunning, running.Was)
		w.submit(ledger.KindClaim, ledger.Claim{Team: team, Key: other, Gate: gate})
		w.submit(ledger.KindClaim, ledger.Claim{Team: team, Key: request.Key, Gate: gate})
		call(wire.MethodSideSealKey, &wire.SealKeyArgs{Gate: gate, Key: request.Key, Void: team}, &running)
		require.False(t, running.Voided, "it runs: its claim stands")
		call(wire.MethodSideSealKey, &wire.SealKeyArgs{Gate: gate, Key: other, Void: team}, &sealed)
		require.True(t, sealed.Voided, "it never started")
		fresh := ident.HashKey(team, "fresh")
		w.submit(ledger.KindClaim, ledger.Claim{Team: team, Key: fresh, Gate: gate})
		var first wire.SealKeyReply
		call(wire.MethodSideSealKey, &wire.SealKeyArgs{Gate: gate, Key: fresh, Void: team}, &first)
		require.True(t, first.Voided, "sealed and withdrawn in one call")
		var again wire.SealKeyReply
		call(wire.MethodSideSealKey, &wire.SealKeyArgs{Gate: gate, Key: fresh, Void: team}, &again)
		require.False(t, again.Voided, "there is no claim any more")
		var count wire.CountReply
		call(wire.MethodSideCount, &wire.CountArgs{Body: request.Call.Body}, &count)
		require.EqualValues(t, 4, count.Tokens)
		var load wire.LoadReply
		call(wire.MethodSideLoad, &wire.LoadArgs{}, &load)
		require.Equal(t, 1, load.Running)
		require.Equal(t, gate, load.Gate)
		require.True(t, load.Changes.Whole, "the caller has no view")
		var next wire.LoadReply
		call(wire.MethodSideLoad, &wire.LoadArgs{Known: load.Changes.Mark}, &next)
		require.False(t, next.Changes.Whole)
		var ping wire.PingReply
		call("Side."+wire.MethodPing, &wire.PingArgs{}, &ping)
		require.Equal(t, gate, ping.Incarnation)
		call(wire.MethodSideCancel, &wire.CancelArgs{Key: request.Key}, &wire.CancelReply{})
		_, last, _ := a.rest()
		require.Equal(t, wire.FrameFailed, last.Kind)
		call(wire.MethodSideLookup, &wire.LookupArgs{Key: request.Key}, &lookup)
		require.Equal(t, wire.KeyDone, lookup.State)
	})
}
