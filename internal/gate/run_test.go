package gate

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// emitPaced is a script that emits n events at the given interval until it is
// stopped.
func emitPaced(n int, interval time.Duration) func(context.Context, Job, Sink) Outcome {
	return func(ctx context.Context, _ Job, sink Sink) Outcome {
		for range n {
			select {
			case <-time.After(interval):
			case <-ctx.Done():
				return Outcome{MayHaveRun: true, Prompt: 10, PromptKnown: true}
			}
			if !sink.AddEvent(make([]byte, 100), 1) {
				break
			}
		}
		return Outcome{Complete: true, MayHaveRun: true, Prompt: 10, PromptKnown: true}
	}
}

// endWith is a script that emits one event of two tokens and ends with the
// outcome.
func endWith(o Outcome) func(context.Context, Job, Sink) Outcome {
	return func(_ context.Context, _ Job, sink Sink) Outcome {
		sink.AddEvent([]byte("word"), 2)
		return o
	}
}

func TestUsageIsMetered(t *testing.T) {
	cases := map[string]struct {
		script func(context.Context, Job, Sink) Outcome
		change func(r *wire.BeginRequest)
		want   int64
		kind   wire.FrameKind
		fixed  int64 // price of a plain call
	}{
		"complete":                   {script: emitWords(5), want: 15, kind: wire.FrameEnd},
		"cut off at the bound":       {script: emitWords(200), want: 100, kind: wire.FrameEnd},
		"failed, prompt counted":     {script: endWith(Outcome{MayHaveRun: true, Prompt: 7, PromptKnown: true}), want: 9, kind: wire.FrameFailed},
		"failed, prompt not counted": {script: endWith(Outcome{MayHaveRun: true}), want: 22, kind: wire.FrameFailed},
		"panic": {
			script: func(context.Context, Job, Sink) Outcome { panic("broken") }, want: 20, kind: wire.FrameFailed,
		},
		"cannot have run":        {script: endWith(Outcome{}), want: 0, kind: wire.FrameFailed},
		"prompt above the bound": {script: endWith(Outcome{Complete: true, MayHaveRun: true, Prompt: 500, PromptKnown: true}), want: 100, kind: wire.FrameEnd},
		"server counted more output": {
			script: endWith(Outcome{Complete: true, MayHaveRun: true, PromptKnown: true, Output: 30, OutputKnown: true}), want: 30, kind: wire.FrameEnd,
		},
		"plain service": {
			script: endWith(Outcome{Complete: true, MayHaveRun: true}), want: 100, kind: wire.FrameEnd, fixed: 100,
			change: func(r *wire.BeginRequest) { r.Call.Service = "desk" },
		},
		"negative bound": {
			script: emitWords(5), want: 0, kind: wire.FrameEnd,
			change: func(r *wire.BeginRequest) { r.TokenBound, r.MaxOutput = -5, -5 },
		},
		"deadline": {
			script: emitOneThenHang, want: 11, kind: wire.FrameFailed,
			change: func(r *wire.BeginRequest) { r.Timeout = time.Second },
		},
		"no deadline": {script: emitOneThenHang, want: 11, kind: wire.FrameFailed},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newFixture(c.script)
				request := newBeginRequest(testKey(1))
				if c.change != nil {
					c.change(request)
				}
				answer, _ := b.Begin(request)
				end := lastFrame(readAll(t, answer))
				require.Equal(t, c.kind, end.Kind)
				require.LessOrEqual(t, time.Since(b.LastStart()), MaxRunTime)
				require.EqualValues(t, c.want, end.Usage.Total())
				require.LessOrEqual(t, end.Usage.Output, max(request.MaxOutput, 0)+c.fixed)
				synctest.Wait()
				require.EqualValues(t, c.want, b.settler.billedTokens(request.Key))
			})
		})
	}
}

func TestRunWithoutReaderIsStopped(t *testing.T) {
	cases := map[string]struct {
		returns time.Duration // when a reader reconnects; negative if it then leaves again, zero for never
		once    bool
		events  int64
	}{
		"no reader returns":         {events: 30},
		"reader returns":            {returns: ReaderGrace / 2, events: 60},
		"reader returns and leaves": {returns: -ReaderGrace / 2, events: 45},
		"must not be repeated":      {once: true, events: 60},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newFixture(emitPaced(60, time.Second))
				request := newBeginRequest(testKey(1))
				request.AtMostOnce = c.once
				request.TokenBound, request.MaxOutput = 100, 90
				answer, _ := b.Begin(request)
				synctest.Wait() // the run has started its timers
				time.Sleep(time.Millisecond)
				answer.Close()
				if c.returns != 0 {
					time.Sleep(c.returns.Abs())
					back, outcome := b.Begin(request)
					require.Equal(t, wire.BeginRunning, outcome)
					if c.returns < 0 {
						back.Close()
					}
				}
				time.Sleep(2 * time.Minute)
				require.EqualValues(t, 10+c.events, b.settler.billedTokens(request.Key))
			})
		})
	}
}

func TestHeartbeatsDuringPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(emitPaced(1, 3500*time.Millisecond))
		answer, _ := b.Begin(newBeginRequest(testKey(1)))
		var kinds []wire.FrameKind
		for range 6 {
			frame, err := answer.Next(t.Context())
			require.NoError(t, err)
			kinds = append(kinds, frame.Kind)
		}
		heartbeat := wire.FrameHeartbeat
		require.Equal(t, []wire.FrameKind{wire.FrameBegin, heartbeat, heartbeat, heartbeat, wire.FrameEvent, wire.FrameEnd}, kinds)
	})
}

// A reader that stops reading must delay neither the run nor another reader,
// and must not make the gate retain more than the buffer.
func TestSlowReaderIsDisconnected(t *testing.T) {
	const limit = 2000
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(emitPaced(1000, time.Millisecond))
		b.SetLimits(limit, 0)
		request := newBeginRequest(testKey(1))
		request.TokenBound, request.MaxOutput = 2000, 1500
		slow, _ := b.Begin(request)
		fast, _ := b.Begin(request)
		frames := 0
		for {
			frame, err := fast.Next(t.Context())
			require.NoError(t, err)
			synctest.Wait() // the event can be read before memory is reclaimed for it
			require.LessOrEqual(t, b.buffer.bytes.Load(), int64(limit))
			if frame.Kind == wire.FrameEnd {
				break
			}
			frames++
		}
		require.Equal(t, 1001, frames)
		require.Less(t, time.Since(b.LastStart()), 1100*time.Millisecond)
		slow.Next(t.Context())
		_, err := slow.Next(t.Context())
		require.ErrorIs(t, err, ErrEventsDropped)
		_, outcome := b.Begin(request)
		require.Equal(t, wire.BeginNotRetained, outcome)
	})
}

// Finished answers are dropped oldest first. A key whose answer was dropped
// must not run again.
func TestOldestFinishedAnswersAreDroppedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(emitPaced(10, time.Millisecond))
		b.SetLimits(4000, 0) // a little more than two answers
		for k := range 4 {
			answer, _ := b.Begin(newBeginRequest(testKey(k)))
			readAll(t, answer)
		}
		synctest.Wait()
		want := []wire.BeginOutcome{wire.BeginNotRetained, wire.BeginNotRetained, wire.BeginDone, wire.BeginDone}
		for k, outcome := range want {
			_, got := b.Begin(newBeginRequest(testKey(k)))
			require.Equal(t, outcome.String(), got.String(), "key %d", k)
			require.Equal(t, 1, b.backend.started(testKey(k)))
		}
		require.NotContains(t, b.shardOf(testKey(0)).runs, testKey(0), "only a tombstone must be left")
	})
}

// A run that has ended and whose answer was dropped but that is not settled
// must still block WaitSettled.
func TestWaitSettledIncludesRunsWithDroppedAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(emitWords(1))
		b.settler.delayed = true
		request := newBeginRequest(testKey(1))
		runAndDrop(b, request)
		b.fleet.sealed.Store(uint64(request.Holder))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.Error(t, b.WaitSettled(ctx, request.Holder))
		b.settler.release()
		require.NoError(t, b.WaitSettled(t.Context(), request.Holder))
	})
}

func TestLowestUnsettledRunNumber(t *testing.T) {
	var n runNumbers
	n.init()
	for want := uint64(1); want <= 4; want++ {
		require.Equal(t, want, n.next())
	}
	for _, step := range []struct{ settle, floor uint64 }{{2, 1}, {1, 3}, {4, 3}, {3, 5}} {
		n.settle(step.settle)
		require.Equal(t, step.floor, n.lowestUnsettled())
	}
	require.EqualValues(t, 5, n.next())
}

func TestRequestsForAnotherIncarnationAreRefused(t *testing.T) {
	b := newFixture(emitWords(1))
	_, outcome := b.Resume(&wire.ResumeRequest{Key: testKey(1), Gate: ownIncarnation + 1})
	require.Equal(t, wire.BeginWrongIncarnation, outcome)
	_, outcome = b.Resume(&wire.ResumeRequest{Key: testKey(1), Gate: ownIncarnation})
	require.Equal(t, wire.BeginUnknownKey, outcome)
	unopened := New(Config{Fleet: &fakeFleetView{}})
	_, outcome = unopened.Begin(&wire.BeginRequest{Gate: ident.Incarnation(0)})
	require.Equal(t, wire.BeginWrongIncarnation, outcome)
}

// A key must not run again however many keys have run after it.
func TestOldKeysNeverRunAgain(t *testing.T) {
	const keys = 2*recentEnded + 10
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(emitWords(1))
		b.SetLimits(1, 0)                                                              // every answer is dropped at once
		key := func(n int) ident.Key { return ident.Key{0, byte(n), byte(n >> 8), 1} } // one shard
		for n := range keys {
			_, outcome := b.Begin(newBeginRequest(key(n)))
			require.Equal(t, wire.BeginStarted, outcome)
			synctest.Wait()
		}
		for n := range keys {
			_, outcome := b.Begin(newBeginRequest(key(n)))
			require.Equal(t, wire.BeginNotRetained, outcome, n)
			require.Equal(t, wire.KeyDone, b.SealKey(key(n)), n)
		}
		_, recentRun := b.Lookup(key(keys - 1))
		require.Equal(t, ident.RunID{Gate: ownIncarnation, Number: keys}, recentRun)
		_, old := b.Lookup(key(0))
		require.True(t, old.IsZero())
		require.Equal(t, recentEnded, len(b.shards[0].ended.recent))
		require.Equal(t, keys-recentEnded-1, b.shards[0].ended.older.used) // the last answer is retained
	})
}

func TestFingerprintSet(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var set fingerprints
	require.False(t, set.has(0))
	want := map[uint64]bool{}
	for range 20_000 {
		value := random.Uint64() >> random.IntN(60) // includes clusters near zero
		set.add(value)
		want[max(value, 1)] = true
		require.True(t, set.has(value))
	}
	require.Equal(t, len(want), set.used)
	for value := range want {
		require.True(t, set.has(value))
	}
	for range 20_000 {
		value := random.Uint64()
		require.Equal(t, want[value], set.has(value))
	}
	require.Less(t, len(set.slots), 3*set.used/2)
}

// Requests and answers in progress share the buffer. Finished answers are
// dropped to make room for them.
func TestBeginIsRefusedWhenBufferIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(emitOneThenHang)
		b.SetLimits(8000, 0)
		begin := func(k, size int) wire.BeginOutcome {
			request := newBeginRequest(testKey(k))
			request.Call.Body = make([]byte, size)
			_, outcome := b.Begin(request)
			synctest.Wait()
			return outcome
		}
		require.Equal(t, wire.BeginFull, begin(0, 7001))
		require.Equal(t, wire.BeginStarted, begin(0, 4000))
		require.Equal(t, wire.BeginFull, begin(1, 4000))
		b.Cancel(testKey(0))
		synctest.Wait()
		require.Equal(t, wire.BeginStarted, begin(1, 6900))
		require.LessOrEqual(t, b.buffer.bytes.Load(), int64(8000))
		b.Stop()
		require.Equal(t, b.buffer.bytes.Load(), b.buffer.droppable.Load())
		time.Sleep(DefaultRetention)
		b.Sweep()
		require.Zero(t, b.buffer.bytes.Load())
		require.Zero(t, b.buffer.droppable.Load())
	})
}
