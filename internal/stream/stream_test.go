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
				require.NoError(t, other.Wait(within(t, time.Hour), p.Offset()))
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
		require.ErrorIs(t, first, ErrUnknown)
		require.ErrorIs(t, second, ErrNotWritten)
		log.Down(false)
		_, err := p.add(t, 100)
		require.NoError(t, err)
		total, _ := p.state()
		require.Equal(t, 101, total)
	})
}

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
			require.NoError(t, late.Wait(within(t, time.Minute), p.Offset()))
			total, _ := late.state()
			require.Equal(t, 999*1000/2, total)
			first, _, err := Ends(t.Context(), log, testStream)
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
		require.ErrorIs(t, oldProgram.Problem(), ErrUnsupported)
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
		case ErrUnknown:
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
		require.NoError(t, follower.Wait(within(t, time.Hour), p.Offset()))
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
			_, old, err := Ends(t.Context(), log, testStream)
			require.NoError(t, err)
			time.Sleep(40 * time.Minute)
			log.Trim(testStream, old) // what is older than 40 minutes
			fold, err := Rebuild(t.Context(), log, sumSpec(1))
			require.NoError(t, err)
			require.Equal(t, 5, fold.Total)
		}
	})
}

// deaf is a log that can be written but, while cut, not read.
type deaf struct {
	*memlog.Log
	cut atomic.Bool
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
		require.ErrorIs(t, outcome, ErrUnknown)
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
