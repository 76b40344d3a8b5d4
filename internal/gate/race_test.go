package gate

import (
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// hookedFleetView calls a hook while Begin asks for the state of the holder.
// This is the last check of the fleet, just before the start.
type hookedFleetView struct {
	fakeFleetView
	hook func()
}

func (l *hookedFleetView) IncarnationState(incarnation ident.Incarnation) IncarnationState {
	state := l.fakeFleetView.IncarnationState(incarnation)
	if incarnation == newBeginRequest(ident.Key{}).Holder && l.hook != nil {
		hook := l.hook
		l.hook = nil
		hook()
	}
	return state
}

// letOthersRun yields to other goroutines for a while.
func letOthersRun() {
	for range 2000 {
		runtime.Gosched()
	}
}

// SealKey, Leave and WaitSettled are called in the middle of a Begin that has
// passed its checks. Without the shard locks they would confirm that nothing
// starts just before the run starts.
func TestSealLeaveAndWaitSettledWaitForConcurrentBegin(t *testing.T) {
	confirm := map[string]func(b *fixture, key ident.Key) (confirmed bool){
		"seal key": func(b *fixture, key ident.Key) bool { return b.SealKey(key) == wire.KeyUnknown },
		"leave": func(b *fixture, key ident.Key) bool {
			b.Leave()
			return b.lastStart.Load() == 0
		},
		"release": func(b *fixture, key ident.Key) bool {
			require.NoError(t, b.WaitSettled(t.Context(), newBeginRequest(key).Holder))
			state, _ := b.Lookup(key)
			return state != wire.KeyDone
		},
	}
	for name, confirm := range confirm {
		t.Run(name, func(t *testing.T) {
			b := newFixture(emitWords(1))
			fleet := &hookedFleetView{}
			b.config.Fleet = fleet
			var confirmedFirst atomic.Bool
			var wg sync.WaitGroup
			fleet.hook = func() {
				fleet.sealed.Store(uint64(newBeginRequest(ident.Key{}).Holder))
				wg.Go(func() { confirmedFirst.Store(confirm(b, testKey(1))) })
				letOthersRun()
			}
			_, outcome := b.Begin(newBeginRequest(testKey(1)))
			wg.Wait()
			require.Equal(t, wire.BeginStarted, outcome)
			require.False(t, confirmedFirst.Load(), "confirmed before the run started")
		})
	}
}

// Begin and SealKey run concurrently for the same keys. A key that SealKey
// reported as unknown must not start.
func TestSealedKeysNeverStart(t *testing.T) {
	const keys, beginners = 64, 4
	b := newFixture(emitWords(3))
	var unknown [keys]atomic.Bool
	var started [keys]atomic.Int32
	var wg sync.WaitGroup
	for k := range keys {
		key := ident.HashKey("team", string(rune('A'+k)))
		for range beginners {
			wg.Go(func() {
				if _, outcome := b.Begin(newBeginRequest(key)); outcome == wire.BeginStarted {
					started[k].Add(1)
				}
			})
		}
		wg.Go(func() {
			if b.SealKey(key) == wire.KeyUnknown {
				unknown[k].Store(true)
			}
		})
	}
	wg.Wait()
	b.runs.Wait()
	for k := range keys {
		key := ident.HashKey("team", string(rune('A'+k)))
		want := 1
		if unknown[k].Load() {
			want = 0
		}
		require.EqualValues(t, want, started[k].Load())
		require.Equal(t, want, b.backend.started(key))
	}
}

// When the reply to a Begin is lost, the router asks with SealKey whether the
// key ran. The answer must be right while the run is in progress, when it has
// ended and when its answer was dropped.
func TestSealAfterLostReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(emitOneThenHang)
		request := newBeginRequest(testKey(1))
		reader, _ := b.Begin(request)
		reader.Close()
		require.Equal(t, wire.KeyRunning, b.SealKey(request.Key))
		b.Cancel(request.Key)
		synctest.Wait()
		require.Equal(t, wire.KeyDone, b.SealKey(request.Key))
		time.Sleep(DefaultRetention)
		b.Sweep()
		require.Equal(t, wire.KeyDone, b.SealKey(request.Key), "dropped answer")
		require.Equal(t, wire.KeyUnknown, b.SealKey(testKey(2)))
		require.Equal(t, wire.KeySealed, b.SealKey(testKey(2)))
		_, outcome := b.Begin(newBeginRequest(testKey(2)))
		require.Equal(t, wire.BeginSealed, outcome)
		require.Equal(t, 1, b.backend.started(request.Key))
		require.Zero(t, b.backend.started(testKey(2)))
	})
}

func TestWaitSettledWaitsForSettlements(t *testing.T) {
	roles := map[string]func(r *wire.BeginRequest) ident.Incarnation{
		"holder": func(r *wire.BeginRequest) ident.Incarnation { return r.Holder },
		"router": func(r *wire.BeginRequest) ident.Incarnation { return r.Router },
	}
	for name, incarnationOf := range roles {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newFixture(emitOneThenHang)
				b.settler.delayed = true
				request := newBeginRequest(testKey(1))
				b.Begin(request)
				require.Error(t, b.WaitSettled(t.Context(), incarnationOf(request)), "incarnation is still live")
				b.fleet.sealed.Store(uint64(incarnationOf(request)))
				released := make(chan error, 1)
				go func() { released <- b.WaitSettled(t.Context(), incarnationOf(request)) }()
				synctest.Wait()
				require.Empty(t, released, "released while the run goes on")
				b.Cancel(request.Key)
				synctest.Wait()
				require.Empty(t, released, "released before the settlement")
				b.settler.release()
				synctest.Wait()
				require.NoError(t, <-released)
			})
		})
	}
}

func TestDuplicateBeginsShareOneRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(emitWords(50))
		var wg sync.WaitGroup
		for range 16 {
			wg.Go(func() {
				answer, _ := b.Begin(newBeginRequest(testKey(1)))
				frames := readAll(t, answer)
				require.Len(t, frames, 52)
				for i, frame := range frames[1:51] {
					require.EqualValues(t, i, frame.Offset)
				}
			})
		}
		wg.Wait()
		require.Equal(t, 1, b.backend.started(testKey(1)))
		require.Len(t, b.settler.billed, 1)
	})
}
