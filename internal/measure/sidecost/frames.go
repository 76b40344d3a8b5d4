package sidecost

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc/pool"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/camphorlever/camphorlever/internal/measure"
	"github.com/camphorlever/camphorlever/internal/side"
	"github.com/camphorlever/camphorlever/internal/wire"
)

const (
	fleetKey        = "measure"
	streams         = 16
	eventsPerStream = 20_000
	eventBytes      = 200 // of a chat completion chunk
)

// frames measures how many frames a second one side process serves to readers
// on loopback, all of its streams together.
func frames(ctx context.Context, emit measure.Emit) error {
	g := newGate(events{count: eventsPerStream, data: make([]byte, eventBytes)})
	g.SetLimits(1<<30, time.Minute)
	listener, err := side.Listen(ctx, "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := side.NewServer(side.NewHandler(g, everyoneLives{}, fleetKey, nil, zerolog.Nop()))
	go func() { _ = server.Serve(listener) }() // ends with Close
	defer server.Close()
	url := "http://" + listener.Addr().String()
	start := time.Now()
	readers := pool.New().WithErrors()
	for i := range streams {
		readers.Go(func() error { return readStream(ctx, url, uint64(i), eventsPerStream) })
	}
	if err := readers.Wait(); err != nil {
		return err
	}
	emit("gate.frames_per_s", streams*eventsPerStream/time.Since(start).Seconds(), "frames")
	return nil
}

// readStream begins a run and reads its answer, which must have the wanted
// number of events.
func readStream(ctx context.Context, url string, n uint64, want int) error {
	response, err := post(ctx, url, requestOf(n))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	reader := wire.NewFrameReader(response.Body)
	var frame wire.Frame
	for count := 0; ; {
		if err := reader.Read(&frame); err != nil {
			return err
		}
		switch frame.Kind {
		case wire.FrameEvent:
			count++
		case wire.FrameEnd:
			if count != want {
				return errors.Errorf("answer has %d events", count)
			}
			return nil
		case wire.FrameFailed:
			return errors.New("run failed")
		}
	}
}

func post(ctx context.Context, url string, request *wire.BeginRequest) (*http.Response, error) {
	raw, err := msgpack.Marshal(request)
	if err != nil {
		return nil, err
	}
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, url+wire.PathRun, bytes.NewReader(raw))
	if err != nil {
		return nil, err
	}
	call.Header.Set(wire.FleetKeyHeader, fleetKey)
	return http.DefaultClient.Do(call)
}
