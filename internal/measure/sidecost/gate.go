package sidecost

import (
	"context"
	"encoding/binary"
	"runtime"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/camphorlever/camphorlever/internal/gate"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/measure"
	"github.com/camphorlever/camphorlever/internal/wire"
)

const (
	beginBatch   = 1000
	beginBatches = 1200 // the keys of a day at 14 runs a second
	maxRunning   = 1 << 20
	own          = ident.Incarnation(1)
)

// everyoneLives has every life live.
type everyoneLives struct{}

// IncarnationState implements gate.FleetView.
func (everyoneLives) IncarnationState(ident.Incarnation) gate.IncarnationState { return gate.Live }

// Offsets implements gate.FleetView.
func (everyoneLives) Offsets() wire.Offsets { return wire.Offsets{} }

// CatchUp has nothing to wait for.
func (everyoneLives) CatchUp(context.Context, wire.Offsets) error { return nil }

// atOnce settles runs at once.
type atOnce struct{}

// Settle implements gate.Settler.
func (atOnce) Settle(_ ledger.Settle, settled func()) { settled() }

// events answers a call with a number of events of one token.
type events struct {
	count int
	data  []byte
}

// Run implements gate.Backend.
func (e events) Run(_ context.Context, _ gate.Job, sink gate.Sink) gate.Outcome {
	for range e.count {
		if !sink.AddEvent(e.data, 1) {
			return gate.Outcome{MayHaveRun: true}
		}
	}
	return gate.Outcome{Complete: true, MayHaveRun: true, PromptKnown: true}
}

func newGate(backend gate.Backend) *gate.Gate {
	g := gate.New(gate.Config{
		Backend:    backend,
		Fleet:      everyoneLives{},
		Settler:    atOnce{},
		Logger:     zerolog.Nop(),
		MaxRunning: maxRunning,
		Retention:  time.Nanosecond,
	})
	g.Open(own)
	return g
}

func requestOf(n uint64) *wire.BeginRequest {
	request := &wire.BeginRequest{
		Request: ident.NewNonce(), Attempt: 1, Team: "team", Router: 2, Holder: 2, Gate: own,
		TokenBound: 1 << 40, MaxOutput: 1 << 40, Call: wire.Call{Model: "m"},
	}
	binary.LittleEndian.PutUint64(request.Key[:], n*0x9e3779b97f4a7c15) // spread over the shards
	binary.LittleEndian.PutUint64(request.Key[8:], n)
	return request
}

// begin measures the start of a run, and what a key costs that has run.
func begin(_ context.Context, emit measure.Emit) error {
	g := newGate(events{})
	requests := make([]*wire.BeginRequest, beginBatch)
	before := heap()
	var took time.Duration
	for batch := range beginBatches {
		for i := range requests {
			requests[i] = requestOf(uint64(batch*beginBatch + i))
		}
		start := time.Now()
		for _, request := range requests {
			answer, outcome := g.Begin(request)
			if outcome != wire.BeginStarted {
				return errors.Errorf("begin was answered %d", outcome)
			}
			answer.Close()
		}
		took += time.Since(start)
		if err := g.Drain(context.Background(), func(int) {}); err != nil {
			return err
		}
		g.Sweep()
	}
	clear(requests)
	const begins = beginBatches * beginBatch
	emit("gate.begin_ns_per_op", float64(took.Nanoseconds())/begins, "ns")
	emit("gate.ended_key_bytes", float64(heap()-before)/begins, "bytes")
	runtime.KeepAlive(g)
	return nil
}

// heap returns the bytes in use after a collection.
func heap() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
