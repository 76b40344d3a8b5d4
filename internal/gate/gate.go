package gate

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// Defaults of Config.
const (
	DefaultBufferBytes = 64 << 20
	DefaultRetention   = 120 * time.Second
	DefaultMaxRunning  = 256
	// ReaderGrace is how long a run goes on without a reader. It leaves a
	// caller time to come back through another router.
	ReaderGrace = 30 * time.Second
	// MaxRunTime bounds a run whose request names no shorter time.
	MaxRunTime = time.Hour
	// firstEventWeight is the divisor of a new sample of FirstEvent.
	firstEventWeight = 8
)

// Config holds what a gate needs. Backend, Lives and Settler are required.
type Config struct {
	Backend     Backend
	Fleet       FleetView
	Settler     Settler
	Logger      zerolog.Logger
	BufferBytes int64         // of all answers together
	Retention   time.Duration // of finished answers
	MaxRunning  int           // runs at once
}

// Gate starts runs and keeps their answers. It is safe for concurrent use.
type Gate struct {
	config      Config
	log         zerolog.Logger
	counts      *counter.Set
	incarnation atomic.Uint64
	leaving     atomic.Bool
	running     atomic.Int64
	numbers     numbers
	maxRunning  atomic.Int64 // runs at once
	lastStart   atomic.Int64 // Unix nanoseconds
	firstEvent  atomic.Int64 // smoothed time from start to first event, nanoseconds
	shards      [shardCount]shard
	buffer      buffer
	runs        sync.WaitGroup // a panic of the gate itself ends the process
}

// New returns a gate that refuses every key until Open.
func New(config Config) *Gate {
	if config.BufferBytes <= 0 {
		config.BufferBytes = DefaultBufferBytes
	}
	if config.Retention <= 0 {
		config.Retention = DefaultRetention
	}
	if config.MaxRunning <= 0 {
		config.MaxRunning = DefaultMaxRunning
	}
	g := &Gate{
		config: config,
		log:    config.Logger.With().Str("part", "gate").Logger(),
		counts: counter.NewSet("gate"),
	}
	for i := range g.shards {
		g.shards[i].init()
	}
	g.maxRunning.Store(int64(config.MaxRunning))
	g.numbers.init()
	g.buffer.init(config.BufferBytes, config.Retention)
	return g
}

// Open sets the gate's own incarnation, once, after its registration was read
// back from the fleet stream.
func (g *Gate) Open(incarnation ident.Incarnation) {
	if !g.incarnation.CompareAndSwap(0, uint64(incarnation)) {
		panic("gate: opened twice")
	}
	g.log.Info().Uint64("incarnation", uint64(incarnation)).Msg("open")
}

// Incarnation returns the gate's own incarnation, zero before Open.
func (g *Gate) Incarnation() ident.Incarnation {
	return ident.Incarnation(g.incarnation.Load())
}

// SetLimits changes the limits of the answer buffer. Values that are not
// positive leave the limit as it is.
func (g *Gate) SetLimits(bufferBytes int64, retention time.Duration) {
	g.buffer.setLimits(bufferBytes, retention)
	g.bury(g.buffer.shrink(time.Now()))
}

// SetMaxRunning changes how many runs the gate starts at once. Runs in
// progress go on.
func (g *Gate) SetMaxRunning(runs int) {
	g.maxRunning.Store(int64(runs))
}

// Running returns the number of runs in progress.
func (g *Gate) Running() int {
	return int(g.running.Load())
}

// LastStart returns when the last run started.
func (g *Gate) LastStart() time.Time {
	return time.Unix(0, g.lastStart.Load())
}

// TimeToFirstEvent returns the recent time from the start of a run to its first
// event, exponentially smoothed.
func (g *Gate) TimeToFirstEvent() time.Duration {
	return time.Duration(g.firstEvent.Load())
}

// noteFirstEvent may lose a sample to a concurrent one.
func (g *Gate) noteFirstEvent(took time.Duration) {
	old := g.firstEvent.Load()
	if old == 0 {
		g.firstEvent.Store(int64(took))
		return
	}
	g.firstEvent.Store(old + (int64(took)-old)/firstEventWeight)
}

// Leaving reports whether the gate refuses new keys.
func (g *Gate) Leaving() bool {
	return g.leaving.Load()
}

// Leave makes the gate refuse new keys for good. When it returns no Begin that
// had not seen the change is still under way.
func (g *Gate) Leave() {
	if g.leaving.Swap(true) {
		return
	}
	g.barrier()
	g.log.Info().Int("running", g.Running()).Msg("leaving")
}

// barrier returns after every Begin that was within its shard's lock is over.
func (g *Gate) barrier() {
	for i := range g.shards {
		g.shards[i].mu.Lock()
		//lint:ignore SA2001 passing through the lock is the purpose
		g.shards[i].mu.Unlock()
	}
}

// Sweep drops answers past their retention. The owner calls it every second
// or so.
func (g *Gate) Sweep() {
	g.bury(g.buffer.shrink(time.Now()))
}

// Drain waits until every run is over and settled. It is meant for after
// Leave. progress is called with the number of unsettled runs each second.
func (g *Gate) Drain(ctx context.Context, progress func(unsettled int)) error {
	for {
		pending := g.unsettled(func(*run) bool { return true })
		if len(pending) == 0 {
			return nil
		}
		progress(len(pending))
		if err := waitFor(ctx, pending, time.Second); err != nil {
			return err
		}
	}
}

func (g *Gate) shardOf(key ident.Key) *shard {
	return &g.shards[key[0]%shardCount]
}

func refused(request *wire.BeginRequest, outcome wire.BeginOutcome) (*AnswerReader, wire.BeginOutcome) {
	return &AnswerReader{request: request.Request, attempt: request.Attempt, outcome: outcome}, outcome
}
