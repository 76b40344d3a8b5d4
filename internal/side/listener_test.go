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

// A reader that reads nothing must be disconnected, so that its run is cancelled
// if no reader resumes the answer.
func TestStalledReaderIsDisconnected(t *testing.T) {
	withFixture(t, func(t *testing.T, f *fixture) {
		outcome, a := f.begin(f.request("k", 300))
		defer a.body.Close()
		require.Equal(t, wire.BeginStarted, outcome)
		time.Sleep(30 * time.Second)
		require.Equal(t, 1, f.process.gate.Running())
		f.eventually(30*time.Second, "run is cancelled", func() bool { return f.process.gate.Running() == 0 })
		f.eventually(5*time.Second, "run is billed", func() bool { return f.billedTokens() > 30 && f.billedTokens() < 60 })
	})
}

func TestRunCatchesUpWithCallerOffsets(t *testing.T) {
	withFixture(t, func(t *testing.T, f *fixture) {
		request := f.request("k", 1)
		request.Offsets.Fleet++
		start := time.Now()
		outcome, _ := f.begin(request)
		require.Equal(t, wire.BeginBehind, outcome)
		require.Less(t, time.Since(start), 2*catchUpTimeout)
		go func() {
			time.Sleep(catchUpTimeout / 2)
			r, _ := record.New(fleet.KindLeave, fleet.Leave{})
			f.router.SubmitFleet(context.Background(), r)
		}()
		outcome, a := f.begin(request)
		require.Equal(t, wire.BeginStarted, outcome)
		a.readAll()
	})
}

func TestControlMethods(t *testing.T) {
	withFixture(t, func(t *testing.T, f *fixture) {
		client := rpc.NewClient(rpc.Options{
			FleetKey: fleetKey, Service: node.ServiceSide,
			Dial: func(ctx context.Context, _ string) (net.Conn, error) { return f.internal.Dial(ctx, "", "") },
		})
		defer client.Close()
		call := func(method string, args, reply any) {
			t.Helper()
			require.NoError(t, client.Call(t.Context(), method, args, reply))
		}
		gate := f.process.gate.Incarnation()
		request := f.request("k", 3)
		_, a := f.begin(request)
		var sealed, otherIncarnation, running, lookup = wire.SealKeyReply{}, wire.SealKeyReply{}, wire.SealKeyReply{}, wire.LookupReply{}
		other := ident.HashKey(team, "other")
		call(wire.MethodSideSealKey, &wire.SealKeyArgs{Gate: gate + 1, Key: other}, &otherIncarnation)
		require.Equal(t, gate, otherIncarnation.Gate)
		call(wire.MethodSideLookup, &wire.LookupArgs{Key: other}, &lookup)
		require.Equal(t, wire.KeyUnknown, lookup.State, "a seal for another incarnation seals nothing")
		call(wire.MethodSideSealKey, &wire.SealKeyArgs{Gate: gate, Key: other}, &sealed)
		require.Equal(t, wire.KeyUnknown, sealed.Was)
		call(wire.MethodSideSealKey, &wire.SealKeyArgs{Gate: gate, Key: request.Key}, &running)
		require.Equal(t, wire.KeyRunning, running.Was)
		f.submit(ledger.KindClaim, ledger.Claim{Team: team, Key: other, Gate: gate})
		f.submit(ledger.KindClaim, ledger.Claim{Team: team, Key: request.Key, Gate: gate})
		call(wire.MethodSideSealKey, &wire.SealKeyArgs{Gate: gate, Key: request.Key, Void: team}, &running)
		require.False(t, running.Voided, "the key is running, so its claim must remain")
		call(wire.MethodSideSealKey, &wire.SealKeyArgs{Gate: gate, Key: other, Void: team}, &sealed)
		require.True(t, sealed.Voided, "the key never started, so its claim is withdrawn")
		fresh := ident.HashKey(team, "fresh")
		f.submit(ledger.KindClaim, ledger.Claim{Team: team, Key: fresh, Gate: gate})
		var first wire.SealKeyReply
		call(wire.MethodSideSealKey, &wire.SealKeyArgs{Gate: gate, Key: fresh, Void: team}, &first)
		require.True(t, first.Voided, "sealed and withdrawn in one call")
		var again wire.SealKeyReply
		call(wire.MethodSideSealKey, &wire.SealKeyArgs{Gate: gate, Key: fresh, Void: team}, &again)
		require.False(t, again.Voided, "there is no claim left to withdraw")
		var count wire.CountReply
		call(wire.MethodSideCount, &wire.CountArgs{Body: request.Call.Body}, &count)
		require.EqualValues(t, 4, count.Tokens)
		var load wire.LoadReply
		call(wire.MethodSideLoad, &wire.LoadArgs{}, &load)
		require.Equal(t, 1, load.Running)
		require.Equal(t, gate, load.Gate)
		require.True(t, load.Changes.Whole, "a caller without a mark gets the whole cache")
		var next wire.LoadReply
		call(wire.MethodSideLoad, &wire.LoadArgs{Known: load.Changes.Mark}, &next)
		require.False(t, next.Changes.Whole)
		var ping wire.PingReply
		call("Side."+wire.MethodPing, &wire.PingArgs{}, &ping)
		require.Equal(t, gate, ping.Incarnation)
		call(wire.MethodSideCancel, &wire.CancelArgs{Key: request.Key}, &wire.CancelReply{})
		_, last, _ := a.readAll()
		require.Equal(t, wire.FrameFailed, last.Kind)
		call(wire.MethodSideLookup, &wire.LookupArgs{Key: request.Key}, &lookup)
		require.Equal(t, wire.KeyDone, lookup.State)
	})
}
