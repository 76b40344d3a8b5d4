package placement

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/measure"
	"github.com/camphorlever/camphorlever/internal/relay"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// silentGate answers a begin with one event and then nothing, and a
// resumption with the end.
type silentGate struct {
	last    chan time.Time // when the last frame was sent
	resumed chan time.Time
	end     chan struct{}
}

// measureSilence times how long after the last frame a stream is resumed on
// another connection.
func measureSilence(ctx context.Context, emit measure.Emit) error {
	gate := &silentGate{last: make(chan time.Time, 1), resumed: make(chan time.Time, 1), end: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: gate, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	defer close(gate.end)
	client := relay.New("", nil)
	peer := relay.Peer{Gate: 1, Address: listener.Addr().String()}
	stream, err := client.Begin(ctx, peer, &wire.BeginRequest{Request: ident.NewNonce(), Attempt: 1, Gate: 1})
	if err != nil {
		return err
	}
	defer stream.Close()
	for {
		frame, err := stream.Next()
		if err != nil {
			return err
		}
		if frame.Kind == wire.FrameEnd {
			break
		}
	}
	detected := (<-gate.resumed).Sub(<-gate.last)
	emit("silent.detect_ms", float64(detected)/float64(time.Millisecond), "ms")
	return nil
}

// ServeHTTP implements http.Handler.
func (g *silentGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var resume wire.ResumeRequest
	if msgpack.NewDecoder(r.Body).Decode(&resume) != nil {
		return
	}
	out := wire.NewFrameWriter(w)
	send := func(frame wire.Frame) {
		frame.Request, frame.Attempt = resume.Request, resume.Attempt
		_ = out.Write(&frame) // the reader's side tells of failures
		_ = http.NewResponseController(w).Flush()
	}
	if r.URL.Path == wire.PathAnswer {
		g.resumed <- time.Now()
		send(wire.Frame{Kind: wire.FrameBegin, Outcome: wire.BeginRunning})
		send(wire.Frame{Kind: wire.FrameEnd, Offset: 1})
		return
	}
	send(wire.Frame{Kind: wire.FrameBegin, Outcome: wire.BeginStarted})
	send(wire.Frame{Kind: wire.FrameEvent})
	g.last <- time.Now()
	<-g.end
}
