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

// world is a ledger in memory with an outage to switch.
type world struct {
	t       *testing.T
	tracker *Tracker

	mu        sync.Mutex // guards all below
	state     *ledger.State
	sequences map[ident.Incarnation]uint64
	down      bool
	sealed    bool
	resolved  int
	neverRan  int
	unbilled  int64
	key       wire.KeyState // what the gate says of any key
	cut       bool          // the gate cannot be reached
}

func inWorld(t *testing.T, test func(t *testing.T, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{t: t, state: ledger.New(0, 1), sequences: map[ident.Incarnation]uint64{}}
		w.tracker = New(Config{
			Ledger:      w,
			Incarnation: func() ident.Incarnation { return router },
			IsSealed:    func(i ident.Incarnation) bool { w.mu.Lock(); defer w.mu.Unlock(); return w.sealed && i == gate },
			OnResolved:  func(RunRecord) { w.resolved++ },
			OnNeverRan:  func(RunRecord) { w.neverRan++ },
			OnUnbilled:  func(_ RunRecord, tokens int64) { w.unbilled += tokens },
			Probe:       w.probe,
			Logger:      zerolog.Nop(),
		})
		w.write(router, ledger.KindTopUp, ledger.TopUp{Team: "a", ID: "1", Tokens: 1000})
		w.write(router, ledger.KindDraw, ledger.Draw{Team: "a", Requested: 1000})
		ctx, cancel := context.WithCancel(t.Context())
		var work conc.WaitGroup
		work.Go(func() { w.tracker.Run(ctx) })
		defer work.Wait()
		defer cancel()
		test(t, w)
	})
}

func (w *world) Submit(_ context.Context, _ ident.TeamID, records ...record.Record) ([]ledger.Verdict, error) {
	return w.append(router, records...)
}

func (w *world) View(_ ident.TeamID, visit func(*ledger.State)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	visit(w.state)
}

func (w *world) append(writer ident.Incarnation, records ...record.Record) ([]ledger.Verdict, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		return nil, errors.New("down")
	}
	w.sequences[writer]++
	batch := record.Batch{Identity: record.Identity{Writer: writer, Sequence: w.sequences[writer]}, Records: records}
	data, err := record.Marshal(batch)
	require.NoError(w.t, err)
	return w.state.Apply(w.state.Offset()+1, data), nil
}

func (w *world) write(writer ident.Incarnation, kind record.Kind, body any) ledger.Verdict {
	r, err := record.New(kind, body)
	require.NoError(w.t, err)
	verdicts, err := w.append(writer, r)
	require.NoError(w.t, err)
	return verdicts[0]
}

// gateSettles writes what the side process writes.
func (w *world) gateSettles(c RunRecord, number uint64, tokens int64) ledger.Verdict {
	return w.write(gate, ledger.KindSettle, ledger.Settle{
		Team: c.Team, Holder: c.Holder, Key: c.Key, Tokens: tokens, Run: ident.RunID{Gate: gate, Number: number},
	})
}

func (w *world) probe(context.Context, RunRecord) (wire.KeyState, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cut {
		return 0, errors.New("cut")
	}
	return w.key, nil
}

func (w *world) gateSays(cut bool, key wire.KeyState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut, w.key = cut, key
}

func (w *world) seal() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sealed = true
}

func (w *world) setDown(down bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down = down
}

func (w *world) billed() int64 {
	var b ledger.Budget
	w.View("a", func(s *ledger.State) { b = s.Budget("a") })
	return b.Billed
}

func copyOf(key byte) RunRecord {
	return RunRecord{Team: "a", Holder: router, Gate: gate, Key: ident.Key{key}, Bound: 100}
}

func run(number uint64) ident.RunID { return ident.RunID{Gate: gate, Number: number} }

func TestWhoSettles(t *testing.T) {
	used := wire.Usage{Prompt: 10, Output: 20}
	cases := map[string]struct {
		before   func(w *world)
		during   func(w *world) // while Release waits
		after    func(w *world)
		released time.Duration // at least and at most a few seconds more
		billed   int64
	}{
		"gate settled": {
			before: func(w *world) { w.tracker.Finish(copyOf(1), run(1), used); w.gateSettles(copyOf(1), 1, 30) },
			billed: 30,
		},
		"router settles a finished run, the gate comes late": {
			before: func(w *world) { w.tracker.Finish(copyOf(1), run(1), used) },
			after:  func(w *world) { w.gateSettles(copyOf(1), 1, 30) },
			billed: 30,
		},
		"end not seen, the gate settles within the grace": {
			during:   func(w *world) { time.Sleep(time.Minute); w.gateSettles(copyOf(1), 1, 42) },
			released: time.Minute,
			billed:   42,
		},
		"end not seen, the gate comes after the bound was billed": {
			after:    func(w *world) { w.gateSettles(copyOf(1), 1, 42) },
			released: UnfinishedGrace,
			billed:   100,
		},
		"not started": {
			before: func(w *world) { w.tracker.NotStarted(copyOf(1)) },
		},
		"log out for an hour": {
			before:   func(w *world) { w.tracker.Finish(copyOf(1), run(1), used); w.setDown(true) },
			during:   func(w *world) { time.Sleep(time.Hour); w.setDown(false) },
			released: time.Hour,
			billed:   30,
		},
		"two requests of one key": {
			before: func(w *world) {
				w.tracker.Track(copyOf(1))
				w.tracker.NotStarted(copyOf(1))
				w.tracker.Finish(copyOf(1), run(1), used)
			},
			billed: 30,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			inWorld(t, func(t *testing.T, w *world) {
				require.True(t, w.tracker.Track(copyOf(1)))
				if c.before != nil {
					c.before(w)
				}
				w.seal()
				require.False(t, w.tracker.Track(copyOf(2)))
				var work conc.WaitGroup
				if c.during != nil {
					work.Go(func() { c.during(w) })
				}
				began := time.Now()
				require.NoError(t, w.tracker.Release(t.Context(), gate))
				took := time.Since(began)
				work.Wait()
				require.GreaterOrEqual(t, took, c.released)
				require.Less(t, took, c.released+5*time.Second)
				require.Zero(t, w.tracker.UnsettledRuns())
				if c.after != nil {
					c.after(w)
				}
				require.Equal(t, c.billed, w.billed())
			})
		})
	}
}

func TestCopiesGoOnceTheGateHasSettled(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		require.True(t, w.tracker.Track(copyOf(1)))
		w.tracker.Finish(copyOf(1), run(1), wire.Usage{Output: 5})
		time.Sleep(time.Hour)
		require.Equal(t, 1, w.tracker.UnsettledRuns())
		w.gateSettles(copyOf(1), 1, 5)
		time.Sleep(2 * sweepInterval)
		require.Zero(t, w.tracker.UnsettledRuns())
		require.Equal(t, 1, w.resolved)
	})
}

// A run that its server broke off after it had read the prompt is billed for
// that. The run that follows it elsewhere is not billed any more.
func TestTheSecondRunOfAKeyIsNotBilled(t *testing.T) {
	const other ident.Incarnation = 3
	first, second := copyOf(1), copyOf(1)
	second.Gate = other
	secondRun := ident.RunID{Gate: other, Number: 1}
	cases := map[string]func(t *testing.T, w *world){
		"gate settles": func(t *testing.T, w *world) {
			verdict := w.write(other, ledger.KindSettle, ledger.Settle{Team: "a", Holder: router, Key: second.Key, Tokens: 90, Run: secondRun})
			require.Equal(t, ledger.AlreadyBilled, verdict.Outcome)
			time.Sleep(2 * sweepInterval)
		},
		"router settles at its stop": func(t *testing.T, w *world) { require.NoError(t, w.tracker.Flush(t.Context())) },
	}
	for name, end := range cases {
		t.Run(name, func(t *testing.T) {
			inWorld(t, func(t *testing.T, w *world) {
				require.True(t, w.tracker.Track(first))
				w.tracker.Finish(first, run(1), wire.Usage{Prompt: 10})
				require.True(t, w.tracker.Track(second))
				w.gateSettles(first, 1, 10)
				w.tracker.Finish(second, secondRun, wire.Usage{Prompt: 10, Output: 80})
				end(t, w)
				require.Zero(t, w.tracker.UnsettledRuns())
				require.EqualValues(t, 10, w.billed())
				require.EqualValues(t, 90, w.unbilled)
			})
		})
	}
}

func TestFlushSettlesWhatGatesDoNot(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		require.True(t, w.tracker.Track(copyOf(1)))
		w.tracker.Finish(copyOf(1), run(1), wire.Usage{Output: 5})
		require.NoError(t, w.tracker.Flush(t.Context()))
		w.gateSettles(copyOf(1), 1, 5)
		require.EqualValues(t, 5, w.billed())
		require.True(t, w.tracker.Track(copyOf(2)))
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		require.Error(t, w.tracker.Flush(ctx))
		require.EqualValues(t, 5, w.billed())
	})
}

// The reservation of a begin whose reply was lost is neither freed while the
// run may go on nor held for ever when it never was.
func TestLostBeginsAreFoundOut(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.gateSays(true, wire.KeyUnknown)
		require.True(t, w.tracker.Track(copyOf(1)))
		require.True(t, w.tracker.Track(copyOf(2)))
		require.True(t, w.tracker.Track(copyOf(2))) // another request of the key, whose answer is being read
		require.True(t, w.tracker.Track(copyOf(3))) // being read, too
		w.tracker.OutcomeUnknown(copyOf(1))
		w.tracker.OutcomeUnknown(copyOf(2))
		time.Sleep(time.Hour)
		require.Equal(t, []int{4, 0, 0}, []int{w.tracker.UnsettledRuns(), w.neverRan, w.resolved})
		w.gateSays(false, wire.KeyRunning)
		time.Sleep(time.Hour)
		require.Equal(t, []int{4, 0, 0}, []int{w.tracker.UnsettledRuns(), w.neverRan, w.resolved})
		w.gateSays(false, wire.KeyDone)
		time.Sleep(time.Minute)
		require.Equal(t, []int{4, 0, 0}, []int{w.tracker.UnsettledRuns(), w.neverRan, w.resolved})
		w.gateSettles(copyOf(1), 1, 5)
		time.Sleep(time.Minute)
		require.Equal(t, []int{3, 0, 1}, []int{w.tracker.UnsettledRuns(), w.neverRan, w.resolved})
		w.gateSays(false, wire.KeySealed)
		time.Sleep(time.Minute)
		require.Equal(t, []int{2, 1, 1}, []int{w.tracker.UnsettledRuns(), w.neverRan, w.resolved})
	})
}

func TestFlushDoesNotWaitForTheNextProbe(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.gateSays(false, wire.KeySealed)
		time.Sleep(probeInterval + time.Millisecond) // just after a probe
		require.True(t, w.tracker.Track(copyOf(1)))
		w.tracker.OutcomeUnknown(copyOf(1))
		began := time.Now()
		require.NoError(t, w.tracker.Flush(t.Context()))
		require.Less(t, time.Since(began), gateGrace+sweepInterval)
		require.Equal(t, 1, w.neverRan)
	})
}
