// Package supervise keeps background tasks of a process running: a panic in one of
// them, such as one caused by an unexpected message, ends neither the process nor the
// task.
package supervise

import (
	"context"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc/panics"

	"github.com/camphorlever/camphorlever/internal/counter"
)

// restartPause is the pause before a task that panicked is started again, so that one
// that panics each time does not use up the processor.
const restartPause = 200 * time.Millisecond

var events = counter.NewSet("supervise")

// Run runs a task until it returns. If it panics, the panic is logged and counted, and
// the task is started again unless ctx has ended.
func Run(ctx context.Context, log zerolog.Logger, name string, task func(ctx context.Context)) {
	for {
		recovered := panics.Try(func() { task(ctx) })
		if recovered == nil {
			return
		}
		events.Inc("task_panicked")
		log.Error().Str("task", name).Interface("panic", recovered.Value).Bytes("stack", recovered.Stack).
			Msg("background task panicked and is started again")
		select {
		case <-time.After(restartPause):
		case <-ctx.Done():
			return
		}
	}
}
