package sidecost

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc/pool"

	"github.com/camphorlever/camphorlever/internal/gate"
	"github.com/camphorlever/camphorlever/internal/measure"
	"github.com/camphorlever/camphorlever/internal/side"
)

const (
	pacedStreams  = 64
	pacedEvents   = 100
	pacedInterval = 34 * time.Millisecond // between two tokens of a stream
)

// pacedAnswer answers with an event each interval, as an engine does.
type pacedAnswer struct{}

// Run implements gate.Backend.
func (pacedAnswer) Run(ctx context.Context, _ gate.Job, sink gate.Sink) gate.Outcome {
	ticker := time.NewTicker(pacedInterval)
	defer ticker.Stop()
	for range pacedEvents {
		<-ticker.C
		sink.AddEvent(make([]byte, eventBytes), 1)
	}
	return gate.Outcome{Complete: true, MayHaveRun: true, PromptKnown: true}
}

// paced measures the processor time of a frame that is sent on its own, as
// those of a stream at an engine's pace are. The reader's part is included.
func paced(ctx context.Context, emit measure.Emit) error {
	g := newGate(pacedAnswer{})
	g.SetLimits(1<<30, time.Minute)
	listener, err := side.Listen(ctx, "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := side.NewServer(side.NewHandler(g, everyoneLives{}, fleetKey, nil, zerolog.Nop()))
	go func() { _ = server.Serve(listener) }() // ends with Close
	defer server.Close()
	before, err := processorTime()
	if err != nil {
		return err
	}
	readers := pool.New().WithErrors()
	for i := range pacedStreams {
		readers.Go(func() error {
			return readStream(ctx, "http://"+listener.Addr().String(), uint64(i), pacedEvents)
		})
	}
	if err := readers.Wait(); err != nil {
		return err
	}
	after, err := processorTime()
	if err != nil {
		return err
	}
	used := float64((after - before).Microseconds())
	emit("gate.paced_frame_cpu_us", used/(pacedStreams*pacedEvents), "us")
	return nil
}

// processorTime returns what this process has used.
func processorTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, errors.Wrap(err, "read the processor time")
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}
