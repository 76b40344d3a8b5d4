package settlement

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/record"
	"github.com/camphorlever/camphorlever/internal/wire"
)

const (
	router ident.Incarnation = 1
	gate   ident.Incarnation = 2
)

// fixture is a tracker with an in-memory ledger whose log can be made
// unavailable.
type fixture struct {
	t       *testing.T
	tracker *Tracker

	mu              sync.Mutex // guards all fields below
	state           *ledger.State
	sequences       map[ident.Incarnation]uint64
	logDown         bool
	gateSealed      bool
	resolved        int
	neverRan        int
	unbilled        int64
	gateKeyState    wire.KeyState // state that the gate reports for every key
	gateUnreachable bool
}

func withFixture(t *testing.T, test func(t *testing.T, w *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		w := &fixture{t: t, state: ledger.New(0, 1), sequences: map[ident.Incarnation]uint64{}}
		w.tracker = New(Config{
			Ledger:      w,
			Incarnation: func() ident.Incarnation { return router },
			IsSealed:    func(i ident.Incarnation) bool { w.mu.Lock(); defer w.mu.Unlock(); return w.gateSealed && i == gate },
			OnResolved:  func(RunRecord) { w.resolved++ },
			OnNeverRan:  func(RunRecord) { w.neverRan++ },
			OnUnbilled:  func(_ RunRecord, tokens int64) { w.unbilled += tokens },
			Probe:       w.probe,
			Logger:      zerolog.Nop(),
		})
		w.appendOne(router, ledger.KindTopUp, ledger.TopUp{Team: "a", ID: "1", Tokens: 1000})
		w.appendOne(router, ledger.KindDraw, ledger.Draw{Team: "a", Requested: 1000})
		ctx, cancel := context.WithCancel(t.Context())
		var work conc.WaitGroup
		work.Go(func() { w.tracker.Run(ctx) })
		defer work.Wait()
		defer cancel()
		test(t, w)
	})
}

func (w *fixture) Submit(_ context.Context, _ ident.TeamID, records ...record.Record) ([]ledger.Verdict, error) {
	return w.appendRecords(router, records...)
}

func (w *fixture) View(_ ident.TeamID, visit func(*ledger.State)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	visit(w.state)
}

func (w *fixture) appendRecords(writer ident.Incarnation, records ...record.Record) ([]ledger.Verdict, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.logDown {
		return nil, errors.New("log unavailable")
	}
	w.sequences[writer]++
	batch := record.Batch{Identity: record.Identity{Writer: writer, Sequence: w.sequences[writer]}, Records: records}
	data, err := record.Marshal(batch)
	require.NoError(w.t, err)
	return w.state.Apply(w.state.Offset()+1, data), nil
}

func (w *fixture) appendOne(writer ident.Incarnation, kind record.Kind, body any) ledger.Verdict {
	r, err := record.New(kind, body)
	require.NoError(w.t, err)
	verdicts, err := w.appendRecords(writer, r)
	require.NoError(w.t, err)
	return verdicts[0]
}

// gateSettles writes the settlement that the gate's side process would write.
func (w *fixture) gateSettles(c RunRecord, number uint64, tokens int64) ledger.Verdict {
	return w.appendOne(gate, ledger.KindSettle, ledger.Settle{
		Team: c.Team, Holder: c.Holder, Key: c.Key, Tokens: tokens, Run: ident.RunID{Gate: gate, Number: number},
	})
}

func (w *fixture) probe(context.Context, RunRecord) (wire.KeyState, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gateUnreachable {
		return 0, errors.New("gate unreachable")
	}
	return w.gateKeyState, nil
}

func (w *fixture) setGateReply(unreachable bool, state wire.KeyState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gateUnreachable, w.gateKeyState = unreachable, state
}

func (w *fixture) sealGate() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gateSealed = true
}

func (w *fixture) setLogDown(down bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.logDown = down
}

func (w *fixture) billedTokens() int64 {
	var b ledger.Budget
	w.View("a", func(s *ledger.State) { b = s.Budget("a") })
	return b.Billed
}

func testRecord(key byte) RunRecord {
	return RunRecord{Team: "a", Holder: router, Gate: gate, Key: ident.Key{key}, Bound: 100}
}

func gateRun(number uint64) ident.RunID { return ident.RunID{Gate: gate, Number: number} }

func TestReleaseSettlesRunsOfASealedGate(t *testing.T) {
	used := wire.Usage{Prompt: 10, Output: 20}
	cases := map[string]struct {
		before   func(w *fixture)
		during   func(w *fixture) // while Release waits
		after    func(w *fixture)
		released time.Duration // Release takes at least this long, and less than 5 s more
		billed   int64
	}{
		"gate settled": {
			before: func(w *fixture) {
				w.tracker.Finish(testRecord(1), gateRun(1), used)
				w.gateSettles(testRecord(1), 1, 30)
			},
			billed: 30,
		},
		"router settles a finished run before the gate does": {
			before: func(w *fixture) { w.tracker.Finish(testRecord(1), gateRun(1), used) },
			after:  func(w *fixture) { w.gateSettles(testRecord(1), 1, 30) },
			billed: 30,
		},
		"end not seen, the gate settles within the grace period": {
			during:   func(w *fixture) { time.Sleep(time.Minute); w.gateSettles(testRecord(1), 1, 42) },
			released: time.Minute,
			billed:   42,
		},
		"end not seen, the gate settles after the bound was billed": {
			after:    func(w *fixture) { w.gateSettles(testRecord(1), 1, 42) },
			released: UnfinishedGrace,
			billed:   100,
		},
		"not started": {
			before: func(w *fixture) { w.tracker.NotStarted(testRecord(1)) },
		},
		"log unavailable for an hour": {
			before:   func(w *fixture) { w.tracker.Finish(testRecord(1), gateRun(1), used); w.setLogDown(true) },
			during:   func(w *fixture) { time.Sleep(time.Hour); w.setLogDown(false) },
			released: time.Hour,
			billed:   30,
		},
		"two requests with one key": {
			before: func(w *fixture) {
				w.tracker.Track(testRecord(1))
				w.tracker.NotStarted(testRecord(1))
				w.tracker.Finish(testRecord(1), gateRun(1), used)
			},
			billed: 30,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withFixture(t, func(t *testing.T, w *fixture) {
				require.True(t, w.tracker.Track(testRecord(1)))
				if c.before != nil {
					c.before(w)
				}
				w.sealGate()
				require.False(t, w.tracker.Track(testRecord(2)))
				var work conc.WaitGroup
				if c.during != nil {
					work.Go(func() { c.during(w) })
				}
				startedAt := time.Now()
				require.NoError(t, w.tracker.Release(t.Context(), gate))
				elapsed := time.Since(startedAt)
				work.Wait()
				require.GreaterOrEqual(t, elapsed, c.released)
				require.Less(t, elapsed, c.released+5*time.Second)
				require.Zero(t, w.tracker.UnsettledRuns())
				if c.after != nil {
					c.after(w)
				}
				require.Equal(t, c.billed, w.billedTokens())
			})
		})
	}
}

func TestRecordIsDroppedOnceTheGateHasSettled(t *testing.T) {
	withFixture(t, func(t *testing.T, w *fixture) {
		require.True(t, w.tracker.Track(testRecord(1)))
		w.tracker.Finish(testRecord(1), gateRun(1), wire.Usage{Output: 5})
		time.Sleep(time.Hour)
		require.Equal(t, 1, w.tracker.UnsettledRuns())
		w.gateSettles(testRecord(1), 1, 5)
		time.Sleep(2 * sweepInterval)
		require.Zero(t, w.tracker.UnsettledRuns())
		require.Equal(t, 1, w.resolved)
	})
}

// A run whose server fails after it has read the prompt is billed for the
// prompt. The run of the same key that follows at another gate must not be
// billed again.
func TestSecondRunOfAKeyIsNotBilled(t *testing.T) {
	const other ident.Incarnation = 3
	first, second := testRecord(1), testRecord(1)
	second.Gate = other
	secondRun := ident.RunID{Gate: other, Number: 1}
	cases := map[string]func(t *testing.T, w *fixture){
		"gate settles": func(t *testing.T, w *fixture) {
			verdict := w.appendOne(other, ledger.KindSettle, ledger.Settle{Team: "a", Holder: router, Key: second.Key, Tokens: 90, Run: secondRun})
			require.Equal(t, ledger.AlreadyBilled, verdict.Outcome)
			time.Sleep(2 * sweepInterval)
		},
		"router settles at its stop": func(t *testing.T, w *fixture) { require.NoError(t, w.tracker.Flush(t.Context())) },
	}
	for name, end := range cases {
		t.Run(name, func(t *testing.T) {
			withFixture(t, func(t *testing.T, w *fixture) {
				require.True(t, w.tracker.Track(first))
				w.tracker.Finish(first, gateRun(1), wire.Usage{Prompt: 10})
				require.True(t, w.tracker.Track(second))
				w.gateSettles(first, 1, 10)
				w.tracker.Finish(second, secondRun, wire.Usage{Prompt: 10, Output: 80})
				end(t, w)
				require.Zero(t, w.tracker.UnsettledRuns())
				require.EqualValues(t, 10, w.billedTokens())
				require.EqualValues(t, 90, w.unbilled)
			})
		})
	}
}

func TestFlushSettlesFinishedRunsThatGatesLeave(t *testing.T) {
	withFixture(t, func(t *testing.T, w *fixture) {
		require.True(t, w.tracker.Track(testRecord(1)))
		w.tracker.Finish(testRecord(1), gateRun(1), wire.Usage{Output: 5})
		require.NoError(t, w.tracker.Flush(t.Context()))
		w.gateSettles(testRecord(1), 1, 5)
		require.EqualValues(t, 5, w.billedTokens())
		require.True(t, w.tracker.Track(testRecord(2)))
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		require.Error(t, w.tracker.Flush(ctx))
		require.EqualValues(t, 5, w.billedTokens())
	})
}

// When the reply to a Begin is lost, the reservation must not be freed while
// the run may still go on, and must not be kept forever if the run was never
// started.
func TestProbeResolvesRunsOfUnknownOutcome(t *testing.T) {
	withFixture(t, func(t *testing.T, w *fixture) {
		w.setGateReply(true, wire.KeyUnknown)
		require.True(t, w.tracker.Track(testRecord(1)))
		require.True(t, w.tracker.Track(testRecord(2)))
		require.True(t, w.tracker.Track(testRecord(2))) // another request with the same key, whose answer is being read
		require.True(t, w.tracker.Track(testRecord(3))) // its answer is being read, too
		w.tracker.OutcomeUnknown(testRecord(1))
		w.tracker.OutcomeUnknown(testRecord(2))
		time.Sleep(time.Hour)
		require.Equal(t, []int{4, 0, 0}, []int{w.tracker.UnsettledRuns(), w.neverRan, w.resolved})
		w.setGateReply(false, wire.KeyRunning)
		time.Sleep(time.Hour)
		require.Equal(t, []int{4, 0, 0}, []int{w.tracker.UnsettledRuns(), w.neverRan, w.resolved})
		w.setGateReply(false, wire.KeyDone)
		time.Sleep(time.Minute)
		require.Equal(t, []int{4, 0, 0}, []int{w.tracker.UnsettledRuns(), w.neverRan, w.resolved})
		w.gateSettles(testRecord(1), 1, 5)
		time.Sleep(time.Minute)
		require.Equal(t, []int{3, 0, 1}, []int{w.tracker.UnsettledRuns(), w.neverRan, w.resolved})
		w.setGateReply(false, wire.KeySealed)
		time.Sleep(time.Minute)
		require.Equal(t, []int{2, 1, 1}, []int{w.tracker.UnsettledRuns(), w.neverRan, w.resolved})
	})
}

func TestFlushDoesNotWaitForTheNextProbe(t *testing.T) {
	withFixture(t, func(t *testing.T, w *fixture) {
		w.setGateReply(false, wire.KeySealed)
		time.Sleep(probeInterval + time.Millisecond) // just after a probe
		require.True(t, w.tracker.Track(testRecord(1)))
		w.tracker.OutcomeUnknown(testRecord(1))
		startedAt := time.Now()
		require.NoError(t, w.tracker.Flush(t.Context()))
		require.Less(t, time.Since(startedAt), gateGrace+sweepInterval)
		require.Equal(t, 1, w.neverRan)
	})
}
