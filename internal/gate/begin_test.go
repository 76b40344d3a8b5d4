package gate

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/wire"
)

func TestBeginOutcomes(t *testing.T) {
	type change func(b *fixture, r *wire.BeginRequest)
	cases := map[string]struct {
		before change
		want   wire.BeginOutcome
	}{
		"new key":                         {func(*fixture, *wire.BeginRequest) {}, wire.BeginStarted},
		"request for another incarnation": {func(_ *fixture, r *wire.BeginRequest) { r.Gate = 6 }, wire.BeginWrongIncarnation},
		"gate behind settings":            {func(_ *fixture, r *wire.BeginRequest) { r.Offsets.Settings = 5 }, wire.BeginBehind},
		"gate behind fleet":               {func(_ *fixture, r *wire.BeginRequest) { r.Offsets.Fleet = 5 }, wire.BeginBehind},
		"sealed key":                      {func(b *fixture, r *wire.BeginRequest) { b.SealKey(r.Key) }, wire.BeginSealed},
		"own incarnation sealed":          {func(b *fixture, r *wire.BeginRequest) { b.fleet.sealed.Store(uint64(ownIncarnation)) }, wire.BeginSealed},
		"sealed router":                   {func(b *fixture, r *wire.BeginRequest) { b.fleet.sealed.Store(uint64(r.Router)) }, wire.BeginSealed},
		"sealed holder":                   {func(b *fixture, r *wire.BeginRequest) { b.fleet.sealed.Store(uint64(r.Holder)) }, wire.BeginSealed},
		"leaving":                         {func(b *fixture, r *wire.BeginRequest) { b.Leave() }, wire.BeginLeaving},
		"run limit reached":               {func(b *fixture, r *wire.BeginRequest) { b.SetMaxRunning(0) }, wire.BeginFull},
		"running, leaving": {func(b *fixture, r *wire.BeginRequest) {
			b.Begin(r)
			b.Leave()
		}, wire.BeginRunning},
		"running, router sealed": {func(b *fixture, r *wire.BeginRequest) {
			b.Begin(r)
			b.fleet.sealed.Store(uint64(r.Router))
		}, wire.BeginRunning},
		"running, key sealed": {func(b *fixture, r *wire.BeginRequest) {
			b.Begin(r)
			b.SealKey(r.Key)
		}, wire.BeginRunning},
		"another body": {func(b *fixture, r *wire.BeginRequest) {
			b.Begin(r)
			r.BodyHash = testKey(9)
		}, wire.BeginConflict},
		"done": {func(b *fixture, r *wire.BeginRequest) {
			a, _ := b.Begin(r)
			b.Cancel(r.Key)
			for !a.run.hasEnded() {
				synctest.Wait()
			}
		}, wire.BeginDone},
		"dropped, another body": {func(b *fixture, r *wire.BeginRequest) {
			runAndDrop(b, r)
			r.BodyHash = testKey(9)
		}, wire.BeginConflict},
		"dropped": {runAndDrop, wire.BeginNotRetained},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newFixture(emitOneThenHang)
				defer b.Stop()
				request := newBeginRequest(testKey(1))
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

// runAndDrop runs a key to its end and waits until its answer is dropped.
func runAndDrop(b *fixture, r *wire.BeginRequest) {
	b.Begin(r)
	synctest.Wait()
	b.Cancel(r.Key)
	synctest.Wait()
	time.Sleep(DefaultRetention)
	b.Sweep()
}

func TestEveryReaderGetsTheCompleteAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(emitWords(5))
		first, outcome := b.Begin(newBeginRequest(testKey(1)))
		require.Equal(t, wire.BeginStarted, outcome)
		frames := readAll(t, first)
		require.Len(t, frames, 7)
		require.Equal(t, wire.FrameEnd, lastFrame(frames).Kind)
		require.Equal(t, wire.Usage{Prompt: 10, Output: 5}, lastFrame(frames).Usage)
		again := newBeginRequest(testKey(1))
		again.From = 3
		second, outcome := b.Begin(again)
		require.Equal(t, wire.BeginDone, outcome)
		require.Equal(t, frames[4].Data, readAll(t, second)[1].Data)
		synctest.Wait()
		require.EqualValues(t, 15, b.settler.billedTokens(testKey(1)))
	})
}
