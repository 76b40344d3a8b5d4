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
	"github.com/camphorlever/camphorlever/internal/rpc"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// Limits of the internal listener.
const (
	maxRequestBytes = 16 << 20
	catchUpTimeout  = 2 * time.Second
	// writeTimeout is how long a reader may take nothing before it is
	// disconnected. The answer waits for it in the buffer.
	writeTimeout = 10 * time.Second
	flushBytes   = 32 << 10
)

// Fleet lets a handler catch up with the offsets of a caller.
type Fleet interface {
	Offsets() wire.Offsets
	// CatchUp waits until the own offsets are at least the given ones.
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
// net/rpc; it may be nil.
func NewHandler(g *gate.Gate, fleet Fleet, fleetKey string, control http.Handler, logger zerolog.Logger) http.Handler {
	h := &Handler{
		gate:     g,
		fleet:    fleet,
		fleetKey: fleetKey,
		log:      logger.With().Str("part", "listener").Logger(),
		counts:   counter.NewSet("listener"),
	}
	router := httprouter.New()
	router.HandlerFunc(http.MethodPost, wire.PathRun, h.run)
	router.HandlerFunc(http.MethodPost, wire.PathAnswer, h.answer)
	if control != nil {
		router.Handler(http.MethodConnect, wire.PathRPC, control)
	}
	return h.guard(router)
}

// guard lets only the fleet's own processes through.
func (h *Handler) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !rpc.HasFleetKey(r, h.fleetKey) {
			h.counts.Inc("wrong_fleet_key")
			http.Error(w, "wrong fleet key", http.StatusForbidden)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// run serves wire.PathRun.
func (h *Handler) run(w http.ResponseWriter, r *http.Request) {
	var request wire.BeginRequest
	if !h.decode(w, r, &request) {
		return
	}
	h.catchUp(r.Context(), request.Offsets)
	answer, _ := h.gate.Begin(&request)
	h.stream(w, r, answer)
}

// answer serves wire.PathAnswer.
func (h *Handler) answer(w http.ResponseWriter, r *http.Request) {
	var request wire.ResumeRequest
	if !h.decode(w, r, &request) {
		return
	}
	answer, _ := h.gate.Resume(&request)
	h.stream(w, r, answer)
}

func (h *Handler) decode(w http.ResponseWriter, r *http.Request, into any) bool {
	// Reading to the end lets the server notice when the peer disconnects.
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err == nil {
		err = msgpack.Unmarshal(raw, into)
	}
	if err != nil {
		h.counts.Inc("malformed")
		http.Error(w, "malformed request", http.StatusBadRequest)
		return false
	}
	return true
}

// catchUp reads the fleet's streams up to the caller's offsets. If that cannot
// be had in time the gate refuses the request itself.
func (h *Handler) catchUp(ctx context.Context, offsets wire.Offsets) {
	own := h.fleet.Offsets()
	if own.Fleet >= offsets.Fleet && own.Settings >= offsets.Settings {
		return
	}
	h.counts.Inc("catch_up")
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	if err := h.fleet.CatchUp(ctx, offsets); err != nil {
		h.counts.Inc("catch_up_failed")
	}
}

// stream writes the frames of an answer until its end. A reader that takes
// nothing for too long, or that has fallen behind the buffer, is disconnected.
func (h *Handler) stream(w http.ResponseWriter, r *http.Request, answer *gate.AnswerReader) {
	defer answer.Close()
	w.Header().Set("Content-Type", "application/octet-stream")
	out := &frameStream{control: http.NewResponseController(w), buffer: bufio.NewWriterSize(w, flushBytes)}
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
		panic(http.ErrAbortHandler) // ends the connection without a clean end
	}
}

// frameStream writes frames in batches.
type frameStream struct {
	control *http.ResponseController
	buffer  *bufio.Writer
	frames  *wire.FrameWriter
}

// write encodes a frame, and sends what is buffered if no other frame follows
// at once.
func (s *frameStream) write(frame *wire.Frame, flush bool) error {
	if err := s.control.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
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
	return s.control.Flush()
}
