package sidecost

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/camphorlever/camphorlever/internal/engine"
	"github.com/camphorlever/camphorlever/internal/gate"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/measure"
	"github.com/camphorlever/camphorlever/internal/wire"
)

const silenceRounds = 3

// silentOnce is an engine whose first connection falls silent after an event,
// and which ends the answer on the second.
type silentOnce struct {
	requests atomic.Int32
}

// ServeHTTP implements http.Handler.
func (s *silentOnce) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.requests.Add(1) == 1 {
		s.event(w, 0, `"choices":[{"delta":{"content":"a"}}]`)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		return
	}
	s.event(w, 1, `"usage":{"prompt_tokens":1,"completion_tokens":1}`)
	fmt.Fprint(w, "data: [DONE]\n\n")
}

func (*silentOnce) event(w http.ResponseWriter, index int, fields string) {
	fmt.Fprintf(w, "id: %d\ndata: {\"id\":\"1-1\",%s}\n\n", index, fields)
}

// silence measures the time from the last event on a connection that falls
// silent to the next event through a new one.
func silence(ctx context.Context, emit measure.Emit) error {
	var worst time.Duration
	for range silenceRounds {
		took, err := resumeAfterSilence(ctx)
		if err != nil {
			return err
		}
		worst = max(worst, took)
	}
	emit("silent.engine_detect_ms", float64(worst.Microseconds())/1000, "ms")
	return nil
}

func resumeAfterSilence(ctx context.Context) (time.Duration, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: &silentOnce{}, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }() // ends with Close
	defer server.Close()
	client := engine.New(engine.Config{URL: "http://" + listener.Addr().String(), Logger: zerolog.Nop()})
	var times arrivals
	outcome := client.Run(ctx, gate.Job{
		Run: ident.RunID{Gate: 1, Number: 1}, MaxOutput: 10,
		Call: wire.Call{Model: "m", Body: []byte(`{"messages":[]}`)},
	}, &times)
	if !outcome.Complete || len(times) != 2 {
		return 0, errors.Errorf("answer was not resumed: %s", outcome.Result.Message)
	}
	return times[1].Sub(times[0]), nil
}

// arrivals notes when each event came.
type arrivals []time.Time

// SetResult implements gate.Sink.
func (*arrivals) SetResult(wire.Result) {}

// AddEvent implements gate.Sink.
func (a *arrivals) AddEvent([]byte, int64) bool {
	*a = append(*a, time.Now())
	return true
}
