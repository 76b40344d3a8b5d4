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
	// ReaderGrace is how long a run goes on without a reader, so that a caller
	// can reconnect through another router.
	ReaderGrace = 30 * time.Second
	// MaxRunTime is the time limit of a run whose request does not set a
	// shorter one.
	MaxRunTime = time.Hour
	// firstEventSmoothing divides the weight of a new sample in the moving
	// average of TimeToFirstEvent.
	firstEventSmoothing = 8
)

// Config holds the dependencies and limits of a gate. Backend, Fleet and
// Settler are required; limits that are not positive are replaced by the
// defaults.
type Config struct {
	Backend     Backend
	Fleet       FleetView
	Settler     Settler
	Logger      zerolog.Logger
	BufferBytes int64         // limit of the memory of all answers and of the request bodies in progress
	Retention   time.Duration // how long finished answers are retained
	MaxRunning  int           // limit of concurrent runs
}

// Gate starts runs and retains their answers. It is safe for concurrent use.
type Gate struct {
	config           Config
	log              zerolog.Logger
	counts           *counter.Set
	incarnation      atomic.Uint64
	opened           chan struct{} // closed by Open
	leaving          atomic.Bool
	running          atomic.Int64
	runNumbers       runNumbers
	maxRunning       atomic.Int64 // limit of concurrent runs
	lastStart        atomic.Int64 // Unix nanoseconds
	timeToFirstEvent atomic.Int64 // moving average in nanoseconds
	shards           [shardCount]shard
	buffer           buffer
	runs             sync.WaitGroup // goroutines of the runs; a panic outside the backend ends the process
}

// New returns a gate that refuses every key until Open is called.
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
		opened: make(chan struct{}),
	}
	for i := range g.shards {
		g.shards[i].init()
	}
	g.maxRunning.Store(int64(config.MaxRunning))
	g.runNumbers.init()
	g.buffer.init(config.BufferBytes, config.Retention)
	return g
}

// Open sets the gate's own incarnation after its registration was read back
// from the fleet stream. It must be called once; a second call panics.
func (g *Gate) Open(incarnation ident.Incarnation) {
	if !g.incarnation.CompareAndSwap(0, uint64(incarnation)) {
		panic("gate: Open called twice")
	}
	close(g.opened)
	g.log.Info().Uint64("incarnation", uint64(incarnation)).Msg("gate opened")
}

// Opened returns a channel that is closed by Open. Before, the gate cannot tell
// requests for it from those for an earlier incarnation.
func (g *Gate) Opened() <-chan struct{} { return g.opened }

// Incarnation returns the gate's own incarnation, zero before Open.
func (g *Gate) Incarnation() ident.Incarnation {
	return ident.Incarnation(g.incarnation.Load())
}

// SetLimits changes the memory limit and the retention of the answer buffer.
// Values that are not positive leave a limit unchanged.
func (g *Gate) SetLimits(bufferBytes int64, retention time.Duration) {
	g.buffer.setLimits(bufferBytes, retention)
	g.evictRuns(g.buffer.reclaim(time.Now()))
}

// SetMaxRunning changes the limit of concurrent runs. Runs in progress above a
// lower limit go on.
func (g *Gate) SetMaxRunning(runs int) {
	g.maxRunning.Store(int64(runs))
}

// Running returns the number of runs in progress.
func (g *Gate) Running() int {
	return int(g.running.Load())
}

// LastStart returns when the most recent run started.
func (g *Gate) LastStart() time.Time {
	return time.Unix(0, g.lastStart.Load())
}

// TimeToFirstEvent returns an exponential moving average of the time from the
// start of a run to its first event, zero before the first one.
func (g *Gate) TimeToFirstEvent() time.Duration {
	return time.Duration(g.timeToFirstEvent.Load())
}

// recordTimeToFirstEvent updates the average. Of two concurrent samples one
// may be lost.
func (g *Gate) recordTimeToFirstEvent(elapsed time.Duration) {
	old := g.timeToFirstEvent.Load()
	if old == 0 {
		g.timeToFirstEvent.Store(int64(elapsed))
		return
	}
	g.timeToFirstEvent.Store(old + (int64(elapsed)-old)/firstEventSmoothing)
}

// Leaving reports whether the gate refuses new keys because it is shutting
// down.
func (g *Gate) Leaving() bool {
	return g.leaving.Load()
}

// Leave makes the gate refuse new keys permanently. When it returns, every
// Begin that had not observed the change has finished.
func (g *Gate) Leave() {
	if g.leaving.Swap(true) {
		return
	}
	g.barrier()
	g.log.Info().Int("running", g.Running()).Msg("gate is leaving and refuses new keys")
}

// barrier returns once every Begin that held the lock of its shard when
// barrier was called has released it.
func (g *Gate) barrier() {
	for i := range g.shards {
		g.shards[i].mu.Lock()
		//lint:ignore SA2001 the empty critical section waits for the current lock holder
		g.shards[i].mu.Unlock()
	}
}

// Sweep drops answers past their retention. It has to be called about once a
// second.
func (g *Gate) Sweep() {
	g.evictRuns(g.buffer.reclaim(time.Now()))
}

// Drain waits until every run has ended and is settled; it is meant to be
// called after Leave. It calls progress with the number of unsettled runs
// about once a second. It returns a wrapped context error if ctx ends.
func (g *Gate) Drain(ctx context.Context, progress func(unsettled int)) error {
	for {
		pending := g.unsettledRuns(func(*run) bool { return true })
		if len(pending) == 0 {
			return nil
		}
		progress(len(pending))
		if err := waitRunsSettled(ctx, pending, time.Second); err != nil {
			return err
		}
	}
}

func (g *Gate) shardOf(key ident.Key) *shard {
	return &g.shards[key[0]%shardCount]
}

func refuse(request *wire.BeginRequest, outcome wire.BeginOutcome) (*AnswerReader, wire.BeginOutcome) {
	return &AnswerReader{request: request.Request, attempt: request.Attempt, outcome: outcome}, outcome
}
