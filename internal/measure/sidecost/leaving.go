package sidecost

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/camphorlever/camphorlever/internal/measure"
)

const (
	leavingLoad    = 8 // goroutines that begin without a pause
	leavingWarm    = 200 * time.Millisecond
	leavingObserve = 200 * time.Millisecond
	leavingRounds  = 5
)

// leaving measures how long after the order to leave the last run was started
// while callers begin runs without a pause. It is the gate's own part: the
// way of the order to the side process comes on top.
func leaving(_ context.Context, emit measure.Emit) error {
	var worst time.Duration
	for range leavingRounds {
		worst = max(worst, leaveUnderLoad())
	}
	emit("gate.leaving_last_new_work_ms", float64(worst.Microseconds())/1000, "ms")
	return nil
}

func leaveUnderLoad() time.Duration {
	g := newGate(events{count: 1, data: make([]byte, eventBytes)})
	var next atomic.Uint64
	var stop atomic.Bool
	var callers conc.WaitGroup
	for range leavingLoad {
		callers.Go(func() {
			for !stop.Load() {
				answer, _ := g.Begin(requestOf(next.Add(1)))
				answer.Close()
			}
		})
	}
	time.Sleep(leavingWarm)
	ordered := time.Now()
	g.Leave()
	time.Sleep(leavingObserve)
	stop.Store(true)
	callers.Wait()
	return max(g.LastStart().Sub(ordered), 0)
}
