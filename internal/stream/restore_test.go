package stream

import (
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
		require.Equal(t, 1005, total)
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
		require.Equal(t, ident.Offset(4), follower.Offset())
		total, _ := follower.state()
		require.Equal(t, 5, total)
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

// A checkpoint of a state that the log has lost covers offsets that other entries
// have taken. A process that starts from it would have the lost entries and miss
// the others.
func TestCheckpointOfALostStateIsNotWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memlog.New()
		p := startProcess(log, 7, 1)
		defer p.stop()
		p.addMany(t, 5, 1)
		older := log.Copy()
		p.addMany(t, 5, 1)
		other := startProcess(log, 9, 1)
		defer other.stop()
		require.NoError(t, other.WaitForOffset(withTimeout(t, time.Minute), 9))
		p.stop()
		log.Restore(older)
		fresh := startProcess(log, 10, 1)
		defer fresh.stop()
		fresh.addMany(t, 10, 100)
		time.Sleep(time.Minute)
		require.NoError(t, NewCheckpointer(other.Follower, other.writer).Write(withTimeout(t, time.Hour)))
		log.Trim(testStream, 15)
		require.Equal(t, 1005, rebuiltTotal(t, log))
	})
}

// A process that was frozen through the restore may still have a checkpoint of the lost
// state in flight. It lands after other entries have taken the offsets that it covers.
func TestCheckpointOfALostStateIsNotLoaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memlog.New()
		p := startProcess(log, 7, 1)
		p.addMany(t, 5, 1)
		older := log.Copy()
		p.addMany(t, 5, 1)
		offset, snapshot, err := p.Snapshot()
		require.NoError(t, err)
		p.stop()
		log.Restore(older)
		fresh := startProcess(log, 10, 1)
		defer fresh.stop()
		fresh.addMany(t, 10, 100)
		for _, chunk := range splitSnapshot(offset, snapshot, maxChunkBytes) {
			r, err := record.New(kindCheckpoint, chunk)
			require.NoError(t, err)
			data, err := record.Marshal(record.Batch{Identity: record.Identity{Writer: 7, Sequence: 11}, Records: []record.Record{r}})
			require.NoError(t, err)
			_, err = log.Append(t.Context(), testStream, data)
			require.NoError(t, err)
		}
		log.Trim(testStream, offset+1)
		fold, err := Rebuild(t.Context(), log, sumSpec(1))
		if err == nil {
			require.Equal(t, 1005, fold.Total)
			return
		}
		require.ErrorIs(t, err, ErrNoCheckpoint)
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
		_, snapshot, err := p.Snapshot()
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
