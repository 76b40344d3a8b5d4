package gate

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/wire"
)

const ownIncarnation = ident.Incarnation(7)

// fakeBackend runs calls by a script and counts them by key.
type fakeBackend struct {
	script func(ctx context.Context, job Job, sink Sink) Outcome
	mu     sync.Mutex
	runs   map[ident.Key]int
}

func (b *fakeBackend) Run(ctx context.Context, job Job, sink Sink) Outcome {
	b.mu.Lock()
	b.runs[job.Key]++
	b.mu.Unlock()
	return b.script(ctx, job, sink)
}

func (b *fakeBackend) started(key ident.Key) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[key]
}

// fakeFleetView reports every incarnation as live except the sealed one.
type fakeFleetView struct {
	sealed  atomic.Uint64
	offsets wire.Offsets
}

func (l *fakeFleetView) IncarnationState(i ident.Incarnation) IncarnationState {
	if uint64(i) == l.sealed.Load() {
		return Sealed
	}
	return Live
}

func (l *fakeFleetView) Offsets() wire.Offsets { return l.offsets }

// fakeSettler settles at once, or if delayed when release is called.
type fakeSettler struct {
	mu      sync.Mutex
	delayed bool
	billed  []ledger.Settle
	waiting []func()
}

func (s *fakeSettler) Settle(settlement ledger.Settle, settled func()) {
	s.mu.Lock()
	s.billed = append(s.billed, settlement)
	if s.delayed {
		s.waiting = append(s.waiting, settled)
		s.mu.Unlock()
		return
	}
	s.mu.Unlock()
	settled()
}

func (s *fakeSettler) release() {
	s.mu.Lock()
	waiting := s.waiting
	s.delayed, s.waiting = false, nil
	s.mu.Unlock()
	for _, settled := range waiting {
		settled()
	}
}

func (s *fakeSettler) billedTokens(key ident.Key) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.billed {
		if b.Key == key {
			return b.Tokens
		}
	}
	return -1
}

// fixture is a gate with fake dependencies.
type fixture struct {
	*Gate
	backend *fakeBackend
	fleet   *fakeFleetView
	settler *fakeSettler
}

func newFixture(script func(ctx context.Context, job Job, sink Sink) Outcome) *fixture {
	b := &fixture{
		backend: &fakeBackend{script: script, runs: map[ident.Key]int{}},
		fleet:   &fakeFleetView{},
		settler: &fakeSettler{},
	}
	b.Gate = New(Config{Backend: b.backend, Fleet: b.fleet, Settler: b.settler, Logger: zerolog.Nop()})
	b.Open(ownIncarnation)
	return b
}

// Stop cancels the runs in progress and waits for them.
func (b *fixture) Stop() {
	for _, r := range b.unsettledRuns(func(*run) bool { return true }) {
		r.cancel(errCancelled)
	}
	b.runs.Wait()
}

// emitWords is a script that emits n events of one token each.
func emitWords(n int) func(context.Context, Job, Sink) Outcome {
	return func(ctx context.Context, _ Job, sink Sink) Outcome {
		for range n {
			if !sink.AddEvent([]byte("word"), 1) {
				return Outcome{MayHaveRun: true}
			}
		}
		return Outcome{Complete: true, MayHaveRun: true, Prompt: 10, PromptKnown: true}
	}
}

// emitOneThenHang is a script that emits one event and then waits until it is
// cancelled.
func emitOneThenHang(ctx context.Context, _ Job, sink Sink) Outcome {
	sink.AddEvent([]byte("word"), 1)
	<-ctx.Done()
	return Outcome{MayHaveRun: true, Prompt: 10, PromptKnown: true}
}

func testKey(n int) ident.Key {
	return ident.HashKey("team", string(rune('a'+n)))
}

func newBeginRequest(key ident.Key) *wire.BeginRequest {
	return &wire.BeginRequest{
		Request: ident.NewNonce(), Attempt: 3, Key: key, BodyHash: ident.HashKey("body", "1"),
		Team: "team", Router: 3, Holder: 4, Gate: ownIncarnation, TokenBound: 100, MaxOutput: 80,
	}
}

// readAll returns all frames of an answer but the heartbeats.
func readAll(t *testing.T, a *AnswerReader) []wire.Frame {
	t.Helper()
	var frames []wire.Frame
	for {
		frame, err := a.Next(t.Context())
		if err != nil {
			return frames
		}
		require.Equal(t, a.request, frame.Request)
		require.Equal(t, a.attempt, frame.Attempt)
		if frame.Kind != wire.FrameHeartbeat {
			frames = append(frames, frame)
		}
	}
}

func lastFrame(frames []wire.Frame) wire.Frame { return frames[len(frames)-1] }
