package side

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/gate"
	"github.com/camphorlever/camphorlever/internal/intake"
	"github.com/camphorlever/camphorlever/internal/rpc"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// Limits of the internal listener.
const (
	maxRequestBytes = 16 << 20
	catchUpTimeout  = 2 * time.Second
	openTimeout     = 2 * time.Second
	// writeTimeout is how long a write to a reader may block before the reader
	// is disconnected. The answer stays in the gate's buffer, from which the
	// reader can resume.
	writeTimeout     = 10 * time.Second
	writeBufferBytes = 32 << 10
)

// Fleet lets the handler read the fleet's streams up to a caller's offsets.
type Fleet interface {
	Offsets() wire.Offsets
	// CatchUp blocks until Offsets are at least the given ones. It fails when
	// ctx ends first.
	CatchUp(context.Context, wire.Offsets) error
}

// Handler serves the internal listener.
type Handler struct {
	gate     *gate.Gate
	fleet    Fleet
	fleetKey string
	log      zerolog.Logger
	counts   *counter.Set
}

// NewHandler returns the HTTP handler of the internal listener. control serves
// the net/rpc control methods; it may be nil.
func NewHandler(g *gate.Gate, fleet Fleet, fleetKey string, control http.Handler, logger zerolog.Logger) http.Handler {
	h := &Handler{
		gate:     g,
		fleet:    fleet,
		fleetKey: fleetKey,
		log:      logger.With().Str("part", "listener").Logger(),
		counts:   counter.NewSet("listener"),
	}
	router := httprouter.New()
	router.HandlerFunc(http.MethodPost, wire.PathRun, h.handleRun)
	router.HandlerFunc(http.MethodPost, wire.PathAnswer, h.handleAnswer)
	if control != nil {
		router.Handler(http.MethodConnect, wire.PathRPC, control)
	}
	return h.requireFleetKey(router)
}

// requireFleetKey refuses requests that do not carry the fleet key.
func (h *Handler) requireFleetKey(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !rpc.HasFleetKey(r, h.fleetKey) {
			h.counts.Inc("wrong_fleet_key")
			http.Error(w, "wrong fleet key", http.StatusForbidden)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// handleRun serves wire.PathRun.
func (h *Handler) handleRun(w http.ResponseWriter, r *http.Request) {
	var request wire.BeginRequest
	if !h.decode(w, r, &request) {
		return
	}
	h.awaitOpen(r.Context())
	h.catchUp(r.Context(), request.Offsets)
	answer, _ := h.gate.Begin(&request)
	h.streamAnswer(w, r, answer)
}

// handleAnswer serves wire.PathAnswer.
func (h *Handler) handleAnswer(w http.ResponseWriter, r *http.Request) {
	var request wire.ResumeRequest
	if !h.decode(w, r, &request) {
		return
	}
	h.awaitOpen(r.Context())
	answer, _ := h.gate.Resume(&request)
	h.streamAnswer(w, r, answer)
}

func (h *Handler) decode(w http.ResponseWriter, r *http.Request, target any) bool {
	// net/http notices that the peer disconnects only after the body has been
	// read to the end.
	raw, err := intake.FromContext(r.Context()).ReadBody(http.MaxBytesReader(w, r.Body, maxRequestBytes), r.ContentLength)
	if errors.Is(err, intake.ErrFull) {
		h.counts.Inc("memory_full")
		http.Error(w, "too many unfinished requests are held", http.StatusServiceUnavailable)
		return false
	}
	if err == nil {
		err = msgpack.Unmarshal(raw, target)
	}
	if err != nil {
		h.counts.Inc("malformed")
		http.Error(w, "malformed request", http.StatusBadRequest)
		return false
	}
	return true
}

// awaitOpen waits until the gate knows its incarnation. Routers may read the
// registration and send requests before the gate does. If that takes longer than
// openTimeout, the gate refuses the request as meant for another incarnation.
func (h *Handler) awaitOpen(ctx context.Context) {
	select {
	case <-h.gate.Opened():
		return
	default:
	}
	h.counts.Inc("await_open")
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	select {
	case <-h.gate.Opened():
	case <-ctx.Done():
		h.counts.Inc("await_open_failed")
	}
}

// catchUp reads the fleet's streams up to the caller's offsets. If that fails
// within catchUpTimeout, the gate itself refuses the request as behind.
func (h *Handler) catchUp(ctx context.Context, offsets wire.Offsets) {
	current := h.fleet.Offsets()
	if current.Fleet >= offsets.Fleet && current.Settings >= offsets.Settings {
		return
	}
	h.counts.Inc("catch_up")
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	if err := h.fleet.CatchUp(ctx, offsets); err != nil {
		h.counts.Inc("catch_up_failed")
	}
}

// streamAnswer writes the frames of an answer until its end. It disconnects a
// reader that reads nothing for writeTimeout, or whose next event has been
// dropped from the buffer.
func (h *Handler) streamAnswer(w http.ResponseWriter, r *http.Request, answer *gate.AnswerReader) {
	defer answer.Close()
	w.Header().Set("Content-Type", "application/octet-stream")
	out := &frameStream{controller: http.NewResponseController(w), buffer: bufio.NewWriterSize(w, writeBufferBytes)}
	out.frames = wire.NewFrameWriter(out.buffer)
	for {
		frame, err := answer.Next(r.Context())
		if err == nil {
			err = out.write(&frame, !answer.Ready())
		}
		if err == nil {
			continue
		}
		if errors.Is(err, io.EOF) && out.flush() == nil {
			return
		}
		h.counts.Inc("reader_lost")
		panic(http.ErrAbortHandler) // closes the connection so that the response is visibly truncated
	}
}

// frameStream writes frames and flushes them in batches.
type frameStream struct {
	controller *http.ResponseController
	buffer     *bufio.Writer
	frames     *wire.FrameWriter
}

// write encodes a frame. It flushes the buffer if flush is set, which means that
// no other frame is ready.
func (s *frameStream) write(frame *wire.Frame, flush bool) error {
	if err := s.controller.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	if err := s.frames.Write(frame); err != nil {
		return err
	}
	if !flush {
		return nil
	}
	return s.flush()
}

func (s *frameStream) flush() error {
	if err := s.buffer.Flush(); err != nil {
		return err
	}
	return s.controller.Flush()
}
