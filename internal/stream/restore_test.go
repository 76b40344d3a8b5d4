package stream

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/logservice"
	"github.com/camphorlever/camphorlever/internal/memlog"
	"github.com/camphorlever/camphorlever/internal/record"
)

// addMany adds the number n the given number of times.
func (p *process) addMany(t *testing.T, count, n int) {
	t.Helper()
	for range count {
		_, err := p.add(t, n)
		require.NoError(t, err)
	}
}

// rebuiltTotal returns the total that a process without state reads from the log.
func rebuiltTotal(t *testing.T, log logservice.Log) int {
	t.Helper()
	fold, err := Rebuild(t.Context(), log, sumSpec(1))
	require.NoError(t, err)
	return fold.Total
}

// A follower that goes on from its next offset misses the entries written at offsets
// that were given out again, and keeps those that were lost.
func TestFollowerReadsEntriesAtOffsetsGivenOutAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memlog.New()
		lost := startProcess(log, 7, 1)
		defer lost.stop()
		lost.addMany(t, 5, 1)
		older := log.Copy()
		lost.addMany(t, 5, 1)
		follower := startProcess(log, 8, 1)
		defer follower.stop()
		require.NoError(t, follower.WaitForOffset(withTimeout(t, time.Minute), 9))
		lost.stop()
		log.Restore(older)
		other := startProcess(log, 9, 1)
		defer other.stop()
		other.addMany(t, 10, 100)
		time.Sleep(time.Minute)
		total, _ := follower.state()
		require.Equal(t, rebuiltTotal(t, log), total)
		require.Equal(t, 1010, total, "the follower has written the lost entries again")
	})
}

// After a restore a stream without new entries ends before the follower's next
// offset. The follower must read it again; it must not stay out of sync.
func TestFollowerBeyondTheRestoredEndIsInSync(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memlog.New()
		p := startProcess(log, 7, 1)
		p.addMany(t, 5, 1)
		older := log.Copy()
		p.addMany(t, 5, 1)
		p.stop()
		follower := startProcess(log, 8, 1)
		defer follower.stop()
		require.NoError(t, follower.WaitForOffset(withTimeout(t, time.Minute), 9))
		log.Restore(older)
		time.Sleep(time.Minute)
		require.NoError(t, follower.SyncError())
		_, next, err := RetainedRange(t.Context(), log, testStream)
		require.NoError(t, err)
		require.Equal(t, next-1, follower.Offset())
		total, _ := follower.state()
		require.Equal(t, []int{10, 10}, []int{total, rebuiltTotal(t, log)})
	})
}

// A writer that numbers its batches from a state that the log has lost leaves a gap
// of sequences, and every process that reads the log anew refuses its records,
// although they were acknowledged.
func TestRecordsAcknowledgedAfterARestoreTakeEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memlog.New()
		p := startProcess(log, 7, 1)
		defer p.stop()
		p.addMany(t, 5, 1)
		older := log.Copy()
		p.addMany(t, 5, 1)
		log.Restore(older)
		verdicts, err := p.add(t, 100)
		require.NoError(t, err)
		require.NotEqual(t, []int{-1}, verdicts)
		fold, err := Rebuild(t.Context(), log, sumSpec(1))
		require.NoError(t, err)
		require.GreaterOrEqual(t, fold.Total, 100)
	})
}

// What a writer had acknowledged to its callers and the log has lost is known to
// this writer only, which must write it again.
func TestWriterWritesLostRecordsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memlog.New()
		p := startProcess(log, 7, 1)
		defer p.stop()
		p.addMany(t, 5, 1)
		older := log.Copy()
		p.addMany(t, 5, 1)
		log.Restore(older)
		time.Sleep(5 * time.Minute)
		require.Equal(t, 10, rebuiltTotal(t, log))
		log.Restore(older) // a second restore, of the same copy
		time.Sleep(5 * time.Minute)
		require.Equal(t, 10, rebuiltTotal(t, log))
	})
}

// A batch whose append was acknowledged but not read back before the restore must be
// counted once, by the process that wrote it and by the others.
func TestBatchInFlightThroughARestoreIsAppliedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &unreadableLog{Log: memlog.New()}
		p := startProcess(log, 7, 1)
		defer p.stop()
		p.addMany(t, 5, 1)
		older := log.Copy()
		log.unreadable.Store(true)
		time.Sleep(time.Minute)
		done := make(chan error, 1)
		go func() {
			_, err := p.writer.Submit(withTimeout(t, time.Hour), addRecord(t, 100))
			done <- err
		}()
		time.Sleep(time.Second)
		log.Restore(older)
		log.unreadable.Store(false)
		require.NoError(t, <-done)
		total, _ := p.state()
		require.Equal(t, []int{105, 105}, []int{total, rebuiltTotal(t, log)})
	})
}

// lateReader returns a follower that has read entries of a log and learns of a restore
// only after another process has written others at their offsets.
func lateReader(t *testing.T, test func(t *testing.T, log *memlog.Log, late *process)) {
	synctest.Test(t, func(t *testing.T) {
		log := &unreadableLog{Log: memlog.New()}
		p := startProcess(log.Log, 7, 1)
		p.addMany(t, 5, 1)
		older := log.Copy()
		p.addMany(t, 5, 1)
		late := startProcess(log, 9, 1)
		defer late.stop()
		require.NoError(t, late.WaitForOffset(withTimeout(t, time.Minute), 9))
		p.stop()
		log.unreadable.Store(true)
		time.Sleep(time.Minute)
		log.Restore(older)
		fresh := startProcess(log.Log, 10, 1)
		defer fresh.stop()
		fresh.addMany(t, 10, 100)
		log.unreadable.Store(false)
		time.Sleep(time.Minute)
		test(t, log.Log, late)
	})
}

// A reader whose entries were not written again in time must take the log's state, and
// tell its consumers that it may be older.
func TestLateReaderTakesTheStateOfTheLog(t *testing.T) {
	lateReader(t, func(t *testing.T, log *memlog.Log, late *process) {
		time.Sleep(time.Hour)
		total, _ := late.state()
		require.Equal(t, []int{1005, 1005}, []int{total, rebuiltTotal(t, log)})
		require.NoError(t, late.SyncError())
		require.EqualValues(t, 1, late.resets.Load())
	})
}

// A checkpoint of a state that the log has lost covers offsets that other entries
// have taken. A process that starts from it would have the lost entries and miss
// the others.
func TestCheckpointOfALostStateIsNotWritten(t *testing.T) {
	lateReader(t, func(t *testing.T, log *memlog.Log, late *process) {
		covered := late.Offset()
		require.NoError(t, NewCheckpointer(late.Follower, late.writer).Write(withTimeout(t, time.Hour)))
		log.Trim(testStream, covered+1)
		require.Equal(t, 1005, rebuiltTotal(t, log))
	})
}

// A process that was frozen through the restore may still have a checkpoint of the lost
// state in flight. It must not land after other entries have taken the offsets that it
// covers.
func TestCheckpointOfALostStateIsNotLoaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memlog.New()
		p := startProcess(log, 7, 1)
		p.addMany(t, 5, 1)
		older := log.Copy()
		p.addMany(t, 5, 1)
		lost, err := p.Snapshot()
		require.NoError(t, err)
		era, ok := p.appendEra()
		require.True(t, ok)
		p.stop()
		log.Restore(older)
		fresh := startProcess(log, 10, 1)
		defer fresh.stop()
		fresh.addMany(t, 10, 100)
		for _, chunk := range splitSnapshot(lost.Offset, lost.State, maxChunkBytes) {
			r, err := record.New(kindCheckpoint, chunk)
			require.NoError(t, err)
			data, err := record.Marshal(record.Batch{Identity: record.Identity{Writer: 7, Sequence: 11}, Records: []record.Record{r}})
			require.NoError(t, err)
			_, err = log.AppendIf(t.Context(), logservice.AppendRequest{Stream: testStream, Data: data, Era: era, At: ident.NoOffset})
			require.ErrorIs(t, err, logservice.ErrEraChanged)
		}
		require.Equal(t, 1005, rebuiltTotal(t, log))
	})
}

// A peer that has not learned of the restore offers a state with a higher offset.
// Adopting it would bring the lost entries back.
func TestSnapshotOfALostStateIsNotAdopted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memlog.New()
		p := startProcess(log, 7, 1)
		p.addMany(t, 5, 1)
		older := log.Copy()
		p.addMany(t, 5, 1)
		snapshot, err := p.Snapshot()
		require.NoError(t, err)
		p.stop()
		log.Restore(older)
		fresh := NewFollower(log, sumSpec(1), zerolog.Nop())
		require.NoError(t, fresh.readPage(t.Context()))
		adopted, err := fresh.Adopt(snapshot)
		require.NoError(t, err)
		require.False(t, adopted)
	})
}

// eraLog is a log whose pages have another era than the log's.
type eraLog struct {
	*memlog.Log
	reads atomic.Int64
	era   func(read int, era logservice.Era) logservice.Era
}

func (l *eraLog) Read(ctx context.Context, request logservice.ReadRequest) (logservice.Page, error) {
	page, err := l.Log.Read(ctx, request)
	page.Era = l.era(int(l.reads.Add(1)), page.Era)
	return page, err
}

// An era that is missing or goes back must be taken for no information: the state is
// neither lost nor rebuilt again and again, and records are still written.
func TestBadErasChangeNothing(t *testing.T) {
	cases := map[string]func(read int, era logservice.Era) logservice.Era{
		"always missing":    func(int, logservice.Era) logservice.Era { return logservice.NoEra },
		"sometimes missing": func(read int, era logservice.Era) logservice.Era { return era * logservice.Era(read%2) },
		"missing at first": func(read int, era logservice.Era) logservice.Era {
			if read < 5 {
				return logservice.NoEra
			}
			return era
		},
		"back at times": func(read int, era logservice.Era) logservice.Era {
			if read%3 == 0 {
				return era - 1
			}
			return era
		},
		"back for good": func(read int, era logservice.Era) logservice.Era {
			if read > 5 {
				return 1
			}
			return era
		},
		"much too high once": func(read int, era logservice.Era) logservice.Era {
			if read == 5 {
				return 1 << 60
			}
			return era
		},
	}
	for name, era := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := memlog.New()
				empty := log.Copy()
				log.Restore(empty)
				log.Restore(empty)
				other := startProcess(log, 8, 1)
				defer other.stop()
				other.addMany(t, 1, 1000)
				bad := &eraLog{Log: log, era: era}
				p := startProcess(bad, 7, 1)
				defer p.stop()
				p.addMany(t, 5, 1)
				other.addMany(t, 5, 10)
				p.addMany(t, 5, 1)
				require.NoError(t, p.WaitForOffset(withTimeout(t, time.Minute), other.Offset()))
				before := bad.reads.Load()
				time.Sleep(10 * time.Minute)
				require.Less(t, bad.reads.Load()-before, int64(100), "the log is not read in a loop")
				total, _ := p.state()
				require.Equal(t, []int{1060, 1060}, []int{total, rebuiltTotal(t, log)})
				require.NoError(t, p.SyncError())
				require.Zero(t, p.resets.Load())
			})
		})
	}
}

// A log service that sends no eras shows a restore by an end before the reader's offset.
func TestRestoreWithoutErasIsRepaired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memlog.New()
		bad := &eraLog{Log: log, era: func(int, logservice.Era) logservice.Era { return logservice.NoEra }}
		p := startProcess(bad, 7, 1)
		defer p.stop()
		p.addMany(t, 5, 1)
		older := log.Copy()
		p.addMany(t, 5, 1)
		log.Restore(older)
		time.Sleep(time.Minute)
		p.addMany(t, 5, 1)
		total, _ := p.state()
		require.Equal(t, []int{15, 15}, []int{total, rebuiltTotal(t, log)})
	})
}

// The log is restored a second time while lost entries are written again.
func TestSecondRestoreDuringTheRepair(t *testing.T) {
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 2))
			log := memlog.New()
			p, other := startProcess(log, 7, 1), startProcess(log, 8, 1)
			defer p.stop()
			defer other.stop()
			p.addMany(t, 5, 1)
			older := log.Copy()
			for range 20 {
				p.addMany(t, 1, 1)
				other.addMany(t, 1, 1)
			}
			synctest.Wait()
			log.SetDelay(time.Duration(random.IntN(20)) * time.Millisecond)
			log.Restore(older)
			time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
			later := log.Copy()
			time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
			log.Restore(later)
			time.Sleep(time.Duration(random.IntN(30)) * time.Second)
			log.Restore(older)
			log.SetDelay(0)
			p.addMany(t, 1, 1)
			other.addMany(t, 1, 1)
			time.Sleep(time.Minute)
			total, _ := p.state()
			otherTotal, _ := other.state()
			require.Equal(t, []int{47, 47, 47}, []int{total, otherTotal, rebuiltTotal(t, log)}, "seed %d", seed)
		})
	}
}

// Three writers run under random faults and restores, while a process starts now and
// then. Every acknowledged number must be counted once, and none of unknown outcome
// twice, by all of them and by a cold start.
func TestRandomFaultsAndRestores(t *testing.T) {
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) { randomRestores(t, seed) })
	}
}

func randomRestores(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 3))
	log := memlog.New()
	processes := []*process{startProcess(log, 7, 1), startProcess(log, 8, 1), startProcess(log, 9, 1)}
	older := log.Copy()
	acknowledged, unknown := 0, 0
	for range 60 {
		switch random.IntN(9) {
		case 0:
			log.LoseReplies(random.IntN(4))
		case 1:
			log.DuplicateNext(random.IntN(3))
		case 2:
			log.SetDown(random.IntN(3) == 0)
		case 3:
			log.SetDelay(time.Duration(random.IntN(2000)) * time.Millisecond)
		case 4:
			p := processes[random.IntN(len(processes))]
			// A checkpoint under faults may stay incomplete.
			_ = NewCheckpointer(p.Follower, p.writer).Write(withTimeout(t, time.Minute))
		case 5:
			older = log.Copy()
		case 6:
			log.SetDown(true)
			time.Sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
			log.Restore(older)
			log.SetDown(false)
		case 7:
			if len(processes) < 6 {
				processes = append(processes, startProcess(log, ident.Incarnation(7+len(processes)), 1))
			}
		}
		p := processes[random.IntN(len(processes))]
		switch _, err := p.writer.Submit(withTimeout(t, time.Duration(random.IntN(90))*time.Second), addRecord(t, 1)); err {
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
	for _, p := range processes {
		total, adds := p.state()
		require.Equal(t, total, adds)
		require.GreaterOrEqual(t, adds, acknowledged, "seed %d", seed)
		require.LessOrEqual(t, adds, acknowledged+unknown, "seed %d", seed)
		require.Equal(t, rebuiltTotal(t, log), total, "seed %d", seed)
		require.Zero(t, p.resets.Load(), "seed %d", seed)
		p.stop()
	}
}
