package stream

import (
	"context"
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

// A process that starts after the oldest entries were trimmed must rebuild the
// full state from the log alone, whatever the retention and even if other
// checkpoints are incomplete.
func TestColdStartFromCheckpoint(t *testing.T) {
	for _, retention := range []int{40, 80, 200} {
		synctest.Test(t, func(t *testing.T) {
			log := memlog.New()
			log.SetRetention(retention)
			p := startProcess(log, 7, 1)
			defer p.stop()
			checkpointer := NewCheckpointer(p.Follower, p.writer)
			p.work.Go(func() { checkpointer.Run(withTimeout(t, time.Hour)) })
			for i := range 1000 {
				_, err := p.add(t, i)
				require.NoError(t, err)
				time.Sleep(time.Second)
			}
			late := startProcess(log, 9, 1)
			defer late.stop()
			require.NoError(t, late.WaitForOffset(withTimeout(t, time.Minute), p.Offset()))
			total, _ := late.state()
			require.Equal(t, 999*1000/2, total)
			first, _, err := RetainedRange(t.Context(), log, testStream)
			require.NoError(t, err)
			require.NotZero(t, first)
		})
	}
}

// A follower whose next entry was trimmed keeps its old state readable until it
// can rebuild a newer one from a complete checkpoint. Without one it stays at its
// offset; it must not restart from an empty state.
func TestFollowerBehindRetentionRebuildsFromCheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memlog.New()
		p := startProcess(log, 7, 1)
		defer p.stop()
		for i := range 50 {
			_, err := p.add(t, i)
			require.NoError(t, err)
		}
		slow := NewFollower(log, sumSpec(1), p.logger)
		require.NoError(t, slow.readPage(t.Context()))
		before, _ := followerTotals(slow)
		_, err := p.add(t, 1000)
		require.NoError(t, err)
		snapshot, err := p.Snapshot()
		require.NoError(t, err)
		offset := snapshot.Offset
		chunks := splitSnapshot(offset, snapshot.State, 16)
		require.Greater(t, len(chunks), 2)
		for i, chunk := range chunks {
			log.Trim(testStream, offset+1)
			require.ErrorIs(t, slow.readPage(t.Context()), ErrNoCheckpoint, "chunk %d", i)
			now, _ := followerTotals(slow)
			require.Equal(t, before, now)
			r, err := record.New(kindCheckpoint, chunk)
			require.NoError(t, err)
			_, err = p.writer.Submit(withTimeout(t, time.Minute), r)
			require.NoError(t, err)
		}
		require.NoError(t, slow.readPage(t.Context()))
		after, _ := followerTotals(slow)
		require.Equal(t, before+1000, after)
		require.Equal(t, p.Offset(), slow.Offset())
	})
}

// A process that was paused while it wrote a checkpoint may finish it after a
// newer one was written. The late checkpoint must not be used as the newest.
func TestLateCheckpointDoesNotReplaceNewerOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memlog.New()
		p := startProcess(log, 7, 1)
		defer p.stop()
		_, err := p.add(t, 1)
		require.NoError(t, err)
		old, err := p.Snapshot()
		require.NoError(t, err)
		for range 10 {
			_, err = p.add(t, 1)
			require.NoError(t, err)
		}
		require.NoError(t, NewCheckpointer(p.Follower, p.writer).Write(t.Context()))
		covered := p.Offset() - 1
		late := startProcess(log, 8, 1)
		defer late.stop()
		for _, chunk := range splitSnapshot(old.Offset, old.State, maxChunkBytes) {
			r, err := record.New(kindCheckpoint, chunk)
			require.NoError(t, err)
			_, err = late.writer.Submit(withTimeout(t, time.Minute), r)
			require.NoError(t, err)
		}
		log.Trim(testStream, covered+1)
		fold, err := Rebuild(t.Context(), log, sumSpec(1))
		require.NoError(t, err)
		require.Equal(t, 11, fold.Total)
	})
}

// Programs of two versions agree up to the entry that raises the format level.
// The old program must stop there and must not start from a newer checkpoint.
func TestRaisedFormatLevelStopsOldProgram(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memlog.New()
		oldProgram := startProcess(log, 7, 1)
		defer oldProgram.stop()
		newProgram := startProcess(log, 8, 2)
		defer newProgram.stop()
		raised := addRecord(t, 100)
		raised.Level = 2
		verdicts, err := newProgram.writer.Submit(withTimeout(t, time.Minute), raised)
		require.NoError(t, err)
		require.Equal(t, []int{-1}, verdicts)
		raise, err := record.New(kindRaise, 2)
		require.NoError(t, err)
		_, err = newProgram.writer.Submit(withTimeout(t, time.Minute), raise)
		require.NoError(t, err)
		_, err = newProgram.writer.Submit(withTimeout(t, time.Minute), raised)
		require.NoError(t, err)
		require.NoError(t, NewCheckpointer(newProgram.Follower, newProgram.writer).Write(t.Context()))
		time.Sleep(time.Minute)
		require.Equal(t, ident.Offset(1), oldProgram.Offset())
		require.ErrorIs(t, oldProgram.SyncError(), ErrUnsupported)
		sumOld, _ := oldProgram.state()
		sumNew, _ := newProgram.state()
		require.Equal(t, []int{0, 100}, []int{sumOld, sumNew})
		fresh := NewFollower(log, sumSpec(1), zerolog.Nop())
		require.ErrorIs(t, fresh.readPage(t.Context()), ErrUnsupported)
		require.Equal(t, ident.Offset(1), fresh.Offset())
		log.Trim(testStream, 3)
		_, err = Rebuild(t.Context(), log, sumSpec(1))
		require.Error(t, err)
		fold, err := Rebuild(t.Context(), log, sumSpec(2))
		require.NoError(t, err)
		require.Equal(t, 100, fold.Total)
	})
}

// A peer's snapshot is adopted only if it is newer; the offset never decreases.
func TestAdoptIgnoresOlderSnapshots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memlog.New()
		p := startProcess(log, 7, 1)
		defer p.stop()
		_, err := p.add(t, 1)
		require.NoError(t, err)
		old, err := p.Snapshot()
		require.NoError(t, err)
		_, err = p.add(t, 2)
		require.NoError(t, err)
		adopted, err := p.Adopt(old)
		require.NoError(t, err)
		require.False(t, adopted)
		require.Equal(t, ident.Offset(1), p.Offset())
		fresh := NewFollower(log, sumSpec(1), p.logger)
		adopted, err = fresh.Adopt(old)
		require.NoError(t, err)
		require.True(t, adopted)
		require.NoError(t, fresh.readPage(t.Context()))
		require.Equal(t, ident.Offset(1), fresh.Offset())
	})
}

// gappyLog is a log whose pages sometimes lack an entry.
type gappyLog struct {
	*memlog.Log
	reads int
}

func (g *gappyLog) Read(ctx context.Context, request logservice.ReadRequest) (logservice.Page, error) {
	page, err := g.Log.Read(ctx, request)
	g.reads++
	if n := len(page.Entries); n > 1 && g.reads%3 != 0 {
		missing := g.reads % n
		page.Entries = append(page.Entries[:missing:missing], page.Entries[missing+1:]...)
	}
	return page, err
}

// A page with a gap must not be applied beyond the gap, neither when following
// nor when rebuilding.
func TestGapInPageIsNeverSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memlog.New()
		p := startProcess(log, 7, 1)
		defer p.stop()
		for i := range 50 {
			_, err := p.add(t, i)
			require.NoError(t, err)
		}
		follower := NewFollower(&gappyLog{Log: log}, sumSpec(1), zerolog.Nop())
		ctx, cancel := context.WithCancel(t.Context())
		var work conc.WaitGroup
		work.Go(func() { follower.Run(ctx) })
		require.NoError(t, follower.WaitForOffset(withTimeout(t, time.Hour), p.Offset()))
		cancel()
		work.Wait()
		sum, adds := followerTotals(follower)
		require.Equal(t, []int{49 * 50 / 2, 50}, []int{sum, adds})
		_, err := Rebuild(t.Context(), &gappyLog{Log: log}, sumSpec(1))
		require.ErrorIs(t, err, logservice.ErrUnavailable)
	})
}

// Retention may also be a time. A stream without new records must still have a
// complete checkpoint among its retained entries.
func TestIdleStreamKeepsCheckpointWithinRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memlog.New()
		p := startProcess(log, 7, 1)
		defer p.stop()
		checkpointer := NewCheckpointer(p.Follower, p.writer)
		ctx, cancel := context.WithCancel(t.Context())
		var work conc.WaitGroup
		work.Go(func() { checkpointer.Run(ctx) })
		defer work.Wait()
		defer cancel()
		_, err := p.add(t, 5)
		require.NoError(t, err)
		for range 12 {
			_, old, err := RetainedRange(t.Context(), log, testStream)
			require.NoError(t, err)
			time.Sleep(40 * time.Minute)
			log.Trim(testStream, old) // entries older than 40 minutes
			fold, err := Rebuild(t.Context(), log, sumSpec(1))
			require.NoError(t, err)
			require.Equal(t, 5, fold.Total)
		}
	})
}

func (l *unreadableLog) Read(ctx context.Context, request logservice.ReadRequest) (logservice.Page, error) {
	if l.unreadable.Load() {
		return logservice.Page{}, logservice.ErrUnavailable
	}
	request.Wait = 0
	page, err := l.Log.Read(ctx, request)
	if len(page.Entries) == 0 {
		time.Sleep(time.Second)
	}
	return page, err
}
