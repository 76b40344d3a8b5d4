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

// A process that starts after everything before First is gone needs the log
// alone, whatever the retention and however unfinished other checkpoints are.
func TestColdStartFromCheckpoint(t *testing.T) {
	for _, retention := range []int{40, 80, 200} {
		synctest.Test(t, func(t *testing.T) {
			log := memlog.New()
			log.Retain(retention)
			p := start(log, 7, 1)
			defer p.stop()
			keeper := NewCheckpointer(p.Follower, p.writer)
			p.work.Go(func() { keeper.Run(within(t, time.Hour)) })
			for i := range 1000 {
				_, err := p.add(t, i)
				require.NoError(t, err)
				time.Sleep(time.Second)
			}
			late := start(log, 9, 1)
			defer late.stop()
			require.NoError(t, late.WaitForOffset(within(t, time.Minute), p.Offset()))
			total, _ := late.state()
			require.Equal(t, 999*1000/2, total)
			first, _, err := RetainedRange(t.Context(), log, testStream)
			require.NoError(t, err)
			require.NotZero(t, first)
		})
	}
}

// A follower that fell behind the retention keeps its old state readable and
// takes the rebuilt one when that is complete. Without a complete checkpoint
// it stays where it is: it never starts from nothing.
func TestRetentionPassedWhileFollowing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memlog.New()
		p := start(log, 7, 1)
		defer p.stop()
		for i := range 50 {
			_, err := p.add(t, i)
			require.NoError(t, err)
		}
		slow := NewFollower(log, sumSpec(1), p.logger)
		require.NoError(t, slow.step(t.Context()))
		before, _ := total(slow)
		_, err := p.add(t, 1000)
		require.NoError(t, err)
		offset, snapshot, err := p.Snapshot()
		require.NoError(t, err)
		chunks := split(offset, snapshot, 16)
		require.Greater(t, len(chunks), 2)
		for i, chunk := range chunks {
			log.Trim(testStream, offset+1)
			require.ErrorIs(t, slow.step(t.Context()), ErrNoCheckpoint, "chunk %d", i)
			now, _ := total(slow)
			require.Equal(t, before, now)
			r, err := record.New(kindCheckpoint, chunk)
			require.NoError(t, err)
			_, err = p.writer.Submit(within(t, time.Minute), r)
			require.NoError(t, err)
		}
		require.NoError(t, slow.step(t.Context()))
		after, _ := total(slow)
		require.Equal(t, before+1000, after)
		require.Equal(t, p.Offset(), slow.Offset())
	})
}

// A checkpoint that a paused process finishes an hour late is not taken for a
// newer one.
func TestLateCheckpointIsHarmless(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memlog.New()
		p := start(log, 7, 1)
		defer p.stop()
		_, err := p.add(t, 1)
		require.NoError(t, err)
		offset, old, err := p.Snapshot()
		require.NoError(t, err)
		for range 10 {
			_, err = p.add(t, 1)
			require.NoError(t, err)
		}
		require.NoError(t, NewCheckpointer(p.Follower, p.writer).Write(t.Context()))
		covered := p.Offset() - 1
		late := start(log, 8, 1)
		defer late.stop()
		for _, chunk := range split(offset, old, chunkBytes) {
			r, err := record.New(kindCheckpoint, chunk)
			require.NoError(t, err)
			_, err = late.writer.Submit(within(t, time.Minute), r)
			require.NoError(t, err)
		}
		log.Trim(testStream, covered+1)
		fold, err := Rebuild(t.Context(), log, sumSpec(1))
		require.NoError(t, err)
		require.Equal(t, 11, fold.Total)
	})
}

// Two programs of different versions agree up to the raise of the level; the
// old one stands still there and cannot start anew from a newer checkpoint.
func TestRaisedLevel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memlog.New()
		oldProgram := start(log, 7, 1)
		defer oldProgram.stop()
		newProgram := start(log, 8, 2)
		defer newProgram.stop()
		raised := add(t, 100)
		raised.Level = 2
		verdicts, err := newProgram.writer.Submit(within(t, time.Minute), raised)
		require.NoError(t, err)
		require.Equal(t, []int{-1}, verdicts)
		raise, err := record.New(kindRaise, 2)
		require.NoError(t, err)
		_, err = newProgram.writer.Submit(within(t, time.Minute), raise)
		require.NoError(t, err)
		_, err = newProgram.writer.Submit(within(t, time.Minute), raised)
		require.NoError(t, err)
		require.NoError(t, NewCheckpointer(newProgram.Follower, newProgram.writer).Write(t.Context()))
		time.Sleep(time.Minute)
		require.Equal(t, ident.Offset(1), oldProgram.Offset())
		require.ErrorIs(t, oldProgram.SyncError(), ErrUnsupported)
		sumOld, _ := oldProgram.state()
		sumNew, _ := newProgram.state()
		require.Equal(t, []int{0, 100}, []int{sumOld, sumNew})
		atOnce := NewFollower(log, sumSpec(1), zerolog.Nop())
		require.ErrorIs(t, atOnce.step(t.Context()), ErrUnsupported)
		require.Equal(t, ident.Offset(1), atOnce.Offset())
		log.Trim(testStream, 3)
		_, err = Rebuild(t.Context(), log, sumSpec(1))
		require.Error(t, err)
		fold, err := Rebuild(t.Context(), log, sumSpec(2))
		require.NoError(t, err)
		require.Equal(t, 100, fold.Total)
	})
}

// A peer's state is taken only if it is newer, and the offset never goes back.
func TestAdoptNeverGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memlog.New()
		p := start(log, 7, 1)
		defer p.stop()
		_, err := p.add(t, 1)
		require.NoError(t, err)
		_, old, err := p.Snapshot()
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
		require.NoError(t, fresh.step(t.Context()))
		require.Equal(t, ident.Offset(1), fresh.Offset())
	})
}

// gappy is a log whose pages lack an entry now and then.
type gappy struct {
	*memlog.Log
	reads int
}

func (g *gappy) Read(ctx context.Context, request logservice.ReadRequest) (logservice.Page, error) {
	page, err := g.Log.Read(ctx, request)
	g.reads++
	if n := len(page.Entries); n > 1 && g.reads%3 != 0 {
		missing := g.reads % n
		page.Entries = append(page.Entries[:missing:missing], page.Entries[missing+1:]...)
	}
	return page, err
}

// A page with a gap is not trusted beyond the gap, neither when following nor
// when rebuilding.
func TestAGapIsNeverSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memlog.New()
		p := start(log, 7, 1)
		defer p.stop()
		for i := range 50 {
			_, err := p.add(t, i)
			require.NoError(t, err)
		}
		follower := NewFollower(&gappy{Log: log}, sumSpec(1), zerolog.Nop())
		ctx, cancel := context.WithCancel(t.Context())
		var work conc.WaitGroup
		work.Go(func() { follower.Run(ctx) })
		require.NoError(t, follower.WaitForOffset(within(t, time.Hour), p.Offset()))
		cancel()
		work.Wait()
		sum, adds := total(follower)
		require.Equal(t, []int{49 * 50 / 2, 50}, []int{sum, adds})
		_, err := Rebuild(t.Context(), &gappy{Log: log}, sumSpec(1))
		require.ErrorIs(t, err, logservice.ErrUnavailable)
	})
}

// Retention may also be a time: a stream in which nothing happens keeps a
// checkpoint among what is retained.
func TestAQuietStreamKeepsACheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memlog.New()
		p := start(log, 7, 1)
		defer p.stop()
		keeper := NewCheckpointer(p.Follower, p.writer)
		ctx, cancel := context.WithCancel(t.Context())
		var work conc.WaitGroup
		work.Go(func() { keeper.Run(ctx) })
		defer work.Wait()
		defer cancel()
		_, err := p.add(t, 5)
		require.NoError(t, err)
		for range 12 {
			_, old, err := RetainedRange(t.Context(), log, testStream)
			require.NoError(t, err)
			time.Sleep(40 * time.Minute)
			log.Trim(testStream, old) // what is older than 40 minutes
			fold, err := Rebuild(t.Context(), log, sumSpec(1))
			require.NoError(t, err)
			require.Equal(t, 5, fold.Total)
		}
	})
}

func (d *deaf) Read(ctx context.Context, request logservice.ReadRequest) (logservice.Page, error) {
	if d.cut.Load() {
		return logservice.Page{}, logservice.ErrUnavailable
	}
	request.Wait = 0
	page, err := d.Log.Read(ctx, request)
	if len(page.Entries) == 0 {
		time.Sleep(time.Second)
	}
	return page, err
}
