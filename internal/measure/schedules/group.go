package schedules

import (
	"context"
	"runtime"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/camphorlever/camphorlever/internal/measure"
)

// Size of the measured run.
const (
	measuredSchedules = 10_000
	measuredSteps     = 300
)

// Group plays the schedules and counts violations of the invariants.
var Group = measure.Group{Name: "schedules", Run: playAll}

func playAll(ctx context.Context, emit measure.Emit) error {
	var violations atomic.Int64
	var first atomic.Pointer[error]
	workers := pool.New().WithMaxGoroutines(max(runtime.GOMAXPROCS(0)/2, 1))
	for seed := range uint64(measuredSchedules) {
		workers.Go(func() {
			if ctx.Err() != nil {
				return
			}
			if err := Run(seed, Options{Steps: measuredSteps}); err != nil {
				violations.Add(1)
				first.CompareAndSwap(nil, &err)
			}
		})
	}
	workers.Wait()
	if ctx.Err() != nil {
		return errors.Wrap(ctx.Err(), "schedules were not all played")
	}
	emit("budget.schedules", measuredSchedules, "count")
	emit("budget.violations", float64(violations.Load()), "count")
	if err := first.Load(); err != nil {
		return *err
	}
	return nil
}
