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

// A writer adds the numbers 1 to 20 while a fault occurs. Each number must be
// counted exactly once, also by a second process.
func TestBatchesAreAppliedOnceUnderFaults(t *testing.T) {
	faults := map[string]func(*memlog.Log){
		"none":                   func(*memlog.Log) {},
		"down":                   func(l *memlog.Log) { l.SetDown(true); time.Sleep(5 * time.Minute); l.SetDown(false) },
		"slow":                   func(l *memlog.Log) { l.SetDelay(9 * time.Second) },
		"slower than a deadline": func(l *memlog.Log) { l.SetDelay(25 * time.Second); time.Sleep(5 * time.Minute); l.SetDelay(0) },
		"reply lost":             func(l *memlog.Log) { l.LoseReplies(7) },
		"entry repeated":         func(l *memlog.Log) { l.DuplicateNext(7) },
		"repeated and lost":      func(l *memlog.Log) { l.DuplicateNext(3); l.LoseReplies(5) },
		"every reply lost":       func(l *memlog.Log) { l.LoseReplies(memlog.Always) },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := memlog.New()
				p := startProcess(log, 7, 1)
				defer p.stop()
				other := startProcess(log, 8, 1)
				defer other.stop()
				var work conc.WaitGroup
				work.Go(func() { fault(log) })
				for i := 1; i <= 20; i++ {
					work.Go(func() {
						_, err := p.writer.Submit(withTimeout(t, time.Hour), addRecord(t, i))
						require.NoError(t, err)
					})
				}
				work.Wait()
				synctest.Wait()
				total, adds := p.state()
				require.Equal(t, []int{210, 20}, []int{total, adds})
				require.NoError(t, other.WaitForOffset(withTimeout(t, time.Hour), p.Offset()))
				total, adds = other.state()
				require.Equal(t, []int{210, 20}, []int{total, adds})
			})
		})
	}
}

// When its context ends, Submit must report whether the records can still take
// effect.
func TestCancelledSubmitReportsWhetherRecordsMayApply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memlog.New()
		p := startProcess(log, 7, 1)
		defer p.stop()
		log.SetDown(true)
		var first, second error
		var work conc.WaitGroup
		work.Go(func() { _, first = p.writer.Submit(withTimeout(t, time.Second), addRecord(t, 1)) })
		synctest.Wait()
		work.Go(func() { _, second = p.writer.Submit(withTimeout(t, time.Second), addRecord(t, 10)) })
		work.Wait()
		require.ErrorIs(t, first, ErrOutcomeUnknown)
		require.ErrorIs(t, second, ErrNotWritten)
		log.SetDown(false)
		_, err := p.add(t, 100)
		require.NoError(t, err)
		total, _ := p.state()
		require.Equal(t, 101, total)
	})
}

// Three writers run under random faults and write checkpoints. At the end every
// acknowledged number is counted once, none of unknown outcome twice, and a cold
// start from a checkpoint finds the same state.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) { randomFaults(t, rand.New(rand.NewPCG(seed, 1))) })
	}
}

func randomFaults(t *testing.T, random *rand.Rand) {
	log := memlog.New()
	processes := []*process{startProcess(log, 7, 1), startProcess(log, 8, 1), startProcess(log, 9, 1)}
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
			log.SetDown(random.IntN(2) == 0)
		case 3:
			log.SetDelay(time.Duration(random.IntN(12)) * time.Second)
		case 4:
			p := processes[random.IntN(len(processes))]
			// A checkpoint under faults may stay incomplete.
			_ = NewCheckpointer(p.Follower, p.writer).Write(withTimeout(t, time.Minute))
		}
		p := processes[random.IntN(len(processes))]
		switch _, err := p.writer.Submit(withTimeout(t, time.Duration(random.IntN(40))*time.Second), addRecord(t, 1)); err {
		case nil:
			acknowledged++
		case ErrOutcomeUnknown:
			unknown++
		}
	}
	log.SetDown(false)
	log.SetDelay(0)
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

func followerTotals(f *Follower[*sum, int]) (total, adds int) {
	f.View(func(s *sum) { total, adds = s.Total, s.Adds })
	return total, adds
}

// unreadableLog is a log that can be appended to but, while unreadable is set,
// not read.
type unreadableLog struct {
	*memlog.Log
	unreadable atomic.Bool
}

// A batch takes effect, but its writer adopts a peer's snapshot that includes it
// and so never reads its verdicts. The writer must report an unknown outcome and
// continue with the next sequence. A snapshot without the batch must leave it
// pending.
func TestBatchSkippedByAdoptedSnapshotHasUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &unreadableLog{Log: memlog.New()}
		p := startProcess(log, 7, 1)
		defer p.stop()
		peer := startProcess(log.Log, 8, 1)
		defer peer.stop()
		_, err := p.add(t, 1)
		require.NoError(t, err)
		before, err := peer.Snapshot()
		require.NoError(t, err)
		log.unreadable.Store(true)
		time.Sleep(2 * time.Second)
		var outcome error
		var work conc.WaitGroup
		startedAt := time.Now()
		work.Go(func() { _, outcome = p.writer.Submit(withTimeout(t, time.Hour), addRecord(t, 10)) })
		time.Sleep(time.Minute)
		adopted, err := p.Adopt(before)
		require.NoError(t, err)
		require.False(t, adopted)
		_, err = peer.add(t, 100)
		require.NoError(t, err)
		after, err := peer.Snapshot()
		require.NoError(t, err)
		adopted, err = p.Adopt(after)
		require.NoError(t, err)
		require.True(t, adopted)
		work.Wait()
		require.ErrorIs(t, outcome, ErrOutcomeUnknown)
		require.Less(t, time.Since(startedAt), 2*time.Minute)
		log.unreadable.Store(false)
		_, err = p.add(t, 1000)
		require.NoError(t, err)
		sum, adds := p.state()
		require.Equal(t, []int{1111, 4}, []int{sum, adds})
	})
}

// An adopted snapshot resolves a pending batch only if the writer's last sequence
// in it includes the batch.
func TestSkippedBatchesAreResolvedByLastSequence(t *testing.T) {
	f := NewFollower(memlog.New(), sumSpec(1), zerolog.Nop())
	done := f.registerPending(record.Identity{Writer: 7, Sequence: 2})
	for sequence := uint64(1); sequence <= 2; sequence++ {
		state := newSum(1)
		state.At = ident.Offset(sequence * 10)
		state.Marks[7] = sequence
		raw, err := state.Snapshot()
		require.NoError(t, err)
		adopted, err := f.Adopt(Snapshot{Offset: state.At, State: raw})
		require.NoError(t, err)
		require.True(t, adopted)
		select {
		case back := <-done:
			require.EqualValues(t, 2, sequence)
			require.True(t, back.skipped)
		default:
			require.EqualValues(t, 1, sequence)
		}
	}
}

// Records submitted before the process has an identity must be written soon after
// it has one; records submitted afterwards are written immediately.
func TestWriterWaitsForIdentity(t *testing.T) {
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
		startedAt := time.Now()
		_, err := p.add(t, 1)
		require.NoError(t, err)
		require.Zero(t, time.Since(startedAt))
		identity.Store(0)
		time.AfterFunc(time.Minute, func() { identity.Store(7) })
		_, err = p.writer.Submit(withTimeout(t, time.Hour), addRecord(t, 2))
		require.NoError(t, err)
		require.LessOrEqual(t, time.Since(startedAt), time.Minute+backoffBase)
		sum, _ := p.state()
		require.Equal(t, 3, sum)
	})
}
