package gate

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/wire"
)

func TestBeginChecksInOrder(t *testing.T) {
	type change func(b *bench, r *wire.BeginRequest)
	cases := map[string]struct {
		before change
		want   wire.BeginOutcome
	}{
		"new key":              {func(*bench, *wire.BeginRequest) {}, wire.BeginStarted},
		"another incarnation":  {func(_ *bench, r *wire.BeginRequest) { r.Gate = 6 }, wire.BeginWrongIncarnation},
		"gate behind settings": {func(_ *bench, r *wire.BeginRequest) { r.Offsets.Settings = 5 }, wire.BeginBehind},
		"gate behind fleet":    {func(_ *bench, r *wire.BeginRequest) { r.Offsets.Fleet = 5 }, wire.BeginBehind},
		"sealed key":           {func(b *bench, r *wire.BeginRequest) { b.SealKey(r.Key) }, wire.BeginSealed},
		"own life sealed":      {func(b *bench, r *wire.BeginRequest) { b.lives.sealed.Store(uint64(own)) }, wire.BeginSealed},
		"sealed router":        {func(b *bench, r *wire.BeginRequest) { b.lives.sealed.Store(uint64(r.Router)) }, wire.BeginSealed},
		"sealed holder":        {func(b *bench, r *wire.BeginRequest) { b.lives.sealed.Store(uint64(r.Holder)) }, wire.BeginSealed},
		"leaving":              {func(b *bench, r *wire.BeginRequest) { b.Leave() }, wire.BeginLeaving},
		"no slot":              {func(b *bench, r *wire.BeginRequest) { b.SetMaxRunning(0) }, wire.BeginFull},
		"running, leaving": {func(b *bench, r *wire.BeginRequest) {
			b.Begin(r)
			b.Leave()
		}, wire.BeginRunning},
		"running, router sealed": {func(b *bench, r *wire.BeginRequest) {
			b.Begin(r)
			b.lives.sealed.Store(uint64(r.Router))
		}, wire.BeginRunning},
		"running, key sealed": {func(b *bench, r *wire.BeginRequest) {
			b.Begin(r)
			b.SealKey(r.Key)
		}, wire.BeginRunning},
		"another body": {func(b *bench, r *wire.BeginRequest) {
			b.Begin(r)
			r.BodyHash = keyOf(9)
		}, wire.BeginConflict},
		"done": {func(b *bench, r *wire.BeginRequest) {
			a, _ := b.Begin(r)
			b.Cancel(r.Key)
			for !a.run.over() {
				synctest.Wait()
			}
		}, wire.BeginDone},
		"dropped, another body": {func(b *bench, r *wire.BeginRequest) {
			runAndDrop(b, r)
			r.BodyHash = keyOf(9)
		}, wire.BeginConflict},
		"dropped": {runAndDrop, wire.BeginNotRetained},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(untilStopped)
				defer b.Stop()
				request := beginOf(keyOf(1))
				c.before(b, request)
				answer, got := b.Begin(request)
				require.Equal(t, c.want.String(), got.String())
				frame, err := answer.Next(t.Context())
				require.NoError(t, err)
				require.Equal(t, c.want, frame.Outcome)
				require.LessOrEqual(t, b.backend.started(request.Key), 1)
			})
		})
	}
}

// runAndDrop runs a key to its end and lets its answer's retention pass.
func runAndDrop(b *bench, r *wire.BeginRequest) {
	b.Begin(r)
	synctest.Wait()
	b.Cancel(r.Key)
	synctest.Wait()
	time.Sleep(DefaultRetention)
	b.Sweep()
}

func TestAnswerIsWholeForEveryReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(words(5))
		first, outcome := b.Begin(beginOf(keyOf(1)))
		require.Equal(t, wire.BeginStarted, outcome)
		frames := readAll(t, first)
		require.Len(t, frames, 7)
		require.Equal(t, wire.FrameEnd, last(frames).Kind)
		require.Equal(t, wire.Usage{Prompt: 10, Output: 5}, last(frames).Usage)
		again := beginOf(keyOf(1))
		again.From = 3
		second, outcome := b.Begin(again)
		require.Equal(t, wire.BeginDone, outcome)
		require.Equal(t, frames[4].Data, readAll(t, second)[1].Data)
		synctest.Wait()
		require.EqualValues(t, 15, b.settler.tokens(keyOf(1)))
	})
}
