package stream

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/logservice"
	"github.com/camphorlever/camphorlever/internal/memlog"
	"github.com/camphorlever/camphorlever/internal/record"
)

// Each fault hits a writer that adds 1 to 20; every number must count once.
func TestBatchesAreAppliedOnceUnderFaults(t *testing.T) {
	faults := map[string]func(*memlog.Log){
		"none":                   func(*memlog.Log) {},
		"down":                   func(l *memlog.Log) { l.Down(true); time.Sleep(5 * time.Minute); l.Down(false) },
		"slow":                   func(l *memlog.Log) { l.Slow(9 * time.Second) },
		"slower than a deadline": func(l *memlog.Log) { l.Slow(25 * time.Second); time.Sleep(5 * time.Minute); l.Slow(0) },
		"reply lost":             func(l *memlog.Log) { l.LoseReplies(7) },
		"entry repeated":         func(l *memlog.Log) { l.DuplicateNext(7) },
		"repeated and lost":      func(l *memlog.Log) { l.DuplicateNext(3); l.LoseReplies(5) },
		"every reply lost":       func(l *memlog.Log) { l.LoseReplies(memlog.Always) },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := memlog.New()
				p := start(log, 7, 1)
				defer p.stop()
				other := start(log, 8, 1)
				defer other.stop()
				var work conc.WaitGroup
				work.Go(func() { fault(log) })
				for i := 1; i <= 20; i++ {
					work.Go(func() {
						_, err := p.writer.Submit(within(t, time.Hour), add(t, i))
						require.NoError(t, err)
					})
				}
				work.Wait()
				synctest.Wait()
				total, adds := p.state()
				require.Equal(t, []int{210, 20}, []int{total, adds})
				require.NoError(t, other.WaitForOffset(within(t, time.Hour), p.Offset()))
				total, adds = other.state()
				require.Equal(t, []int{210, 20}, []int{total, adds})
			})
		})
	}
}

// A caller that gives up is told whether its records can still take effect.
func TestGivingUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memlog.New()
		p := start(log, 7, 1)
		defer p.stop()
		log.Down(true)
		var first, second error
		var work conc.WaitGroup
		work.Go(func() { _, first = p.writer.Submit(within(t, time.Second), add(t, 1)) })
		synctest.Wait()
		work.Go(func() { _, second = p.writer.Submit(within(t, time.Second), add(t, 10)) })
		work.Wait()
		require.ErrorIs(t, first, ErrOutcomeUnknown)
		require.ErrorIs(t, second, ErrNotWritten)
		log.Down(false)
		_, err := p.add(t, 100)
		require.NoError(t, err)
		total, _ := p.state()
		require.Equal(t, 101, total)
	})
}

// Random faults, three writers, a small retention and checkpoints: at the end
// every acknowledged number counts once, no unknown one twice, and a cold
// start finds the same state.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) { randomFaults(t, rand.New(rand.NewPCG(seed, 1))) })
	}
}

func randomFaults(t *testing.T, random *rand.Rand) {
	log := memlog.New()
	processes := []*process{start(log, 7, 1), start(log, 8, 1), start(log, 9, 1)}
	for _, p := range processes {
		defer p.stop()
	}
	acknowledged, unknown := 0, 0
	for range 60 {
		switch random.IntN(8) {
		case 0:
			log.LoseReplies(random.IntN(4))
		case 1:
			log.DuplicateNext(random.IntN(3))
		case 2:
			log.Down(random.IntN(2) == 0)
		case 3:
			log.Slow(time.Duration(random.IntN(12)) * time.Second)
		case 4:
			p := processes[random.IntN(len(processes))]
			// A checkpoint under faults may stay incomplete.
			_ = NewCheckpointer(p.Follower, p.writer).Write(within(t, time.Minute))
		}
		p := processes[random.IntN(len(processes))]
		switch _, err := p.writer.Submit(within(t, time.Duration(random.IntN(40))*time.Second), add(t, 1)); err {
		case nil:
			acknowledged++
		case ErrOutcomeUnknown:
			unknown++
		}
	}
	log.Down(false)
	log.Slow(0)
	log.LoseReplies(0)
	log.DuplicateNext(0)
	time.Sleep(10 * time.Minute)
	sum, adds := processes[0].state()
	require.Equal(t, sum, adds)
	require.GreaterOrEqual(t, adds, acknowledged)
	require.LessOrEqual(t, adds, acknowledged+unknown)
	require.NoError(t, NewCheckpointer(processes[0].Follower, processes[0].writer).Write(t.Context()))
	log.Trim(testStream, processes[0].Offset())
	fold, err := Rebuild(t.Context(), logservice.Log(log), sumSpec(1))
	require.NoError(t, err)
	require.Equal(t, sum, fold.Total)
}

func total(f *Follower[*sum, int]) (total, adds int) {
	f.View(func(s *sum) { total, adds = s.Total, s.Adds })
	return total, adds
}

// deaf is a log that can be written but, while cut, not read.
type deaf struct {
	*memlog.Log
	cut atomic.Bool
}

// A writer whose batch took effect but whose state jumped over it, by a peer's
// snapshot, says that the outcome is unknown and goes on with the next number.
// One whose batch is not in the snapshot goes on waiting for it.
func TestABatchThatTheStateJumpedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &deaf{Log: memlog.New()}
		p := start(log, 7, 1)
		defer p.stop()
		peer := start(log.Log, 8, 1)
		defer peer.stop()
		_, err := p.add(t, 1)
		require.NoError(t, err)
		_, before, err := peer.Snapshot()
		require.NoError(t, err)
		log.cut.Store(true)
		time.Sleep(2 * time.Second)
		var outcome error
		var work conc.WaitGroup
		began := time.Now()
		work.Go(func() { _, outcome = p.writer.Submit(within(t, time.Hour), add(t, 10)) })
		time.Sleep(time.Minute)
		adopted, err := p.Adopt(before)
		require.NoError(t, err)
		require.False(t, adopted)
		_, err = peer.add(t, 100)
		require.NoError(t, err)
		_, after, err := peer.Snapshot()
		require.NoError(t, err)
		adopted, err = p.Adopt(after)
		require.NoError(t, err)
		require.True(t, adopted)
		work.Wait()
		require.ErrorIs(t, outcome, ErrOutcomeUnknown)
		require.Less(t, time.Since(began), 2*time.Minute)
		log.cut.Store(false)
		_, err = p.add(t, 1000)
		require.NoError(t, err)
		sum, adds := p.state()
		require.Equal(t, []int{1111, 4}, []int{sum, adds})
	})
}

// Only a mark tells that a batch was among what a state jumped over.
func TestAJumpResolvesOnlyWhatTheMarkCovers(t *testing.T) {
	f := NewFollower(memlog.New(), sumSpec(1), zerolog.Nop())
	done := f.expect(record.Identity{Writer: 7, Sequence: 2})
	for mark := uint64(1); mark <= 2; mark++ {
		state := newSum(1)
		state.At = ident.Offset(mark * 10)
		state.Marks[7] = mark
		raw, err := state.Snapshot()
		require.NoError(t, err)
		adopted, err := f.Adopt(raw)
		require.NoError(t, err)
		require.True(t, adopted)
		select {
		case back := <-done:
			require.EqualValues(t, 2, mark)
			require.True(t, back.lost)
		default:
			require.EqualValues(t, 1, mark)
		}
	}
}

// What was submitted before the process has an identity is written soon after
// it has one; what is submitted then is written at once.
func TestAWriterWithoutAnIdentityWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memlog.New()
		var identity atomic.Uint64
		p := &process{Follower: NewFollower(log, sumSpec(1), zerolog.Nop())}
		p.writer = NewWriter(p.Follower, func() ident.Incarnation { return ident.Incarnation(identity.Load()) })
		ctx, cancel := context.WithCancel(t.Context())
		p.cancel = cancel
		p.work.Go(func() { p.Follower.Run(ctx) })
		p.work.Go(func() { p.writer.Run(ctx) })
		defer p.stop()
		synctest.Wait()
		identity.Store(7)
		began := time.Now()
		_, err := p.add(t, 1)
		require.NoError(t, err)
		require.Zero(t, time.Since(began))
		identity.Store(0)
		time.AfterFunc(time.Minute, func() { identity.Store(7) })
		_, err = p.writer.Submit(within(t, time.Hour), add(t, 2))
		require.NoError(t, err)
		require.LessOrEqual(t, time.Since(began), time.Minute+backoffBase)
		sum, _ := p.state()
		require.Equal(t, 3, sum)
	})
}
