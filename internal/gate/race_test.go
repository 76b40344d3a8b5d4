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

// hookedLives calls a hook while Begin asks for the standing of the holder,
// which is after all other checks and right before the start.
type hookedLives struct {
	fakeLives
	hook func()
}

func (l *hookedLives) IncarnationState(life ident.Incarnation) IncarnationState {
	standing := l.fakeLives.IncarnationState(life)
	if life == beginOf(ident.Key{}).Holder && l.hook != nil {
		hook := l.hook
		l.hook = nil
		hook()
	}
	return standing
}

// schedule lets other goroutines run for a while.
func schedule() {
	for range 2000 {
		runtime.Gosched()
	}
}

// Each fact arrives in the midst of a Begin that has passed its checks. The
// fact must not be confirmed before the start is visible.
func TestFactsWaitForABeginUnderWay(t *testing.T) {
	confirm := map[string]func(b *bench, key ident.Key) (confirmed bool){
		"seal key": func(b *bench, key ident.Key) bool { return b.SealKey(key) == wire.KeyUnknown },
		"leave": func(b *bench, key ident.Key) bool {
			b.Leave()
			return b.lastStart.Load() == 0
		},
		"release": func(b *bench, key ident.Key) bool {
			require.NoError(t, b.WaitSettled(t.Context(), beginOf(key).Holder))
			state, _ := b.Lookup(key)
			return state != wire.KeyDone
		},
	}
	for name, confirm := range confirm {
		t.Run(name, func(t *testing.T) {
			b := newBench(words(1))
			lives := &hookedLives{}
			b.config.Fleet = lives
			var confirmedFirst atomic.Bool
			var wg sync.WaitGroup
			lives.hook = func() {
				lives.sealed.Store(uint64(beginOf(ident.Key{}).Holder))
				wg.Go(func() { confirmedFirst.Store(confirm(b, keyOf(1))) })
				schedule()
			}
			_, outcome := b.Begin(beginOf(keyOf(1)))
			wg.Wait()
			require.Equal(t, wire.BeginStarted, outcome)
			require.False(t, confirmedFirst.Load(), "confirmed, and then the run started")
		})
	}
}

// Beginners and sealers of the same keys run against each other.
func TestSealedKeysNeverStart(t *testing.T) {
	const keys, beginners = 64, 4
	b := newBench(words(3))
	var unknown [keys]atomic.Bool
	var started [keys]atomic.Int32
	var wg sync.WaitGroup
	for k := range keys {
		key := ident.HashKey("team", string(rune('A'+k)))
		for range beginners {
			wg.Go(func() {
				if _, outcome := b.Begin(beginOf(key)); outcome == wire.BeginStarted {
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

// The reply to a Begin was lost; the seal tells the truth in every later phase.
func TestSealAfterLostReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(untilStopped)
		request := beginOf(keyOf(1))
		lost, _ := b.Begin(request)
		lost.Close()
		require.Equal(t, wire.KeyRunning, b.SealKey(request.Key))
		b.Cancel(request.Key)
		synctest.Wait()
		require.Equal(t, wire.KeyDone, b.SealKey(request.Key))
		time.Sleep(DefaultRetention)
		b.Sweep()
		require.Equal(t, wire.KeyDone, b.SealKey(request.Key), "dropped answer")
		require.Equal(t, wire.KeyUnknown, b.SealKey(keyOf(2)))
		require.Equal(t, wire.KeySealed, b.SealKey(keyOf(2)))
		_, outcome := b.Begin(beginOf(keyOf(2)))
		require.Equal(t, wire.BeginSealed, outcome)
		require.Equal(t, 1, b.backend.started(request.Key))
		require.Zero(t, b.backend.started(keyOf(2)))
	})
}

func TestReleaseWaitsForSettlements(t *testing.T) {
	roles := map[string]func(r *wire.BeginRequest) ident.Incarnation{
		"holder": func(r *wire.BeginRequest) ident.Incarnation { return r.Holder },
		"router": func(r *wire.BeginRequest) ident.Incarnation { return r.Router },
	}
	for name, life := range roles {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(untilStopped)
				b.settler.held = true
				request := beginOf(keyOf(1))
				b.Begin(request)
				require.Error(t, b.WaitSettled(t.Context(), life(request)), "life is live")
				b.lives.sealed.Store(uint64(life(request)))
				released := make(chan error, 1)
				go func() { released <- b.WaitSettled(t.Context(), life(request)) }()
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
		b := newBench(words(50))
		var wg sync.WaitGroup
		for range 16 {
			wg.Go(func() {
				answer, _ := b.Begin(beginOf(keyOf(1)))
				frames := readAll(t, answer)
				require.Len(t, frames, 52)
				for i, frame := range frames[1:51] {
					require.EqualValues(t, i, frame.Offset)
				}
			})
		}
		wg.Wait()
		require.Equal(t, 1, b.backend.started(keyOf(1)))
		require.Len(t, b.settler.billed, 1)
	})
}
