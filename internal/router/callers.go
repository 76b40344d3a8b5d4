package router

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"

	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/refusal"
	"github.com/camphorlever/camphorlever/internal/settings"
)

// Limits of the callers' listener.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
	// writeTimeout is how long a caller may take for what fits no buffer.
	writeTimeout = 30 * time.Second
)

// serviceMethods are passed on to plain services.
var serviceMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// callers is the callers' interface.
type callers struct {
	settings func() *settings.Tree
	active   *atomic.Int64 // requests in progress
	requests filter.Next   // chat completions and plain services
	models   filter.Next
}

// handler returns the routes.
func (c *callers) handler() http.Handler {
	routes := httprouter.New()
	routes.POST("/v1/chat/completions", c.serve(c.requests))
	routes.GET("/v1/models", c.serve(c.models))
	for _, method := range serviceMethods {
		routes.Handle(method, "/services/:service/*path", c.serve(c.requests))
	}
	routes.NotFound = refuseAll(http.StatusNotFound, "There is no such path.")
	routes.MethodNotAllowed = refuseAll(http.StatusMethodNotAllowed, "The path does not take this method.")
	return routes
}

func refuseAll(status int, message string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		refused := refusal.New(refusal.BadRequest, refusal.NotRun, message)
		refused.RequestID = uuid.NewString()
		refusal.Write(statusWriter{ResponseWriter: w, status: status}, refused)
	})
}

// statusWriter replaces the status that belongs to a refusal's code.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader ignores the given status.
func (w statusWriter) WriteHeader(int) {
	w.ResponseWriter.WriteHeader(w.status)
}

func (c *callers) serve(chain filter.Next) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		c.active.Add(1)
		defer c.active.Add(-1)
		request := &filter.Request{
			ID:       uuid.New(),
			HTTP:     r,
			Writer:   filter.NewWriter(w, writeTimeout),
			Route:    filter.Route{Service: ident.ServiceID(params.ByName("service")), Path: params.ByName("path")},
			Received: time.Now(),
			Settings: c.settings(),
		}
		w.Header().Set(filter.HeaderRequestID, request.ID.String())
		out := chain(r.Context(), request)
		if out.Refusal != nil {
			finish(request, out.Refusal)
		}
	}
}

// finish tells the caller of a refusal: as the answer, or as the last event
// of a stream that has begun.
func finish(r *filter.Request, refused *refusal.Refusal) {
	told := *refused
	told.RequestID = r.ID.String()
	if !r.Writer.Started() {
		r.Writer.Refuse(&told)
		return
	}
	raw, err := json.Marshal(errorEvent{Error: &told})
	if err != nil {
		return // a refusal is always encodable
	}
	// The caller may be gone; there is nobody else to tell.
	_, _ = r.Writer.Write([]byte("data: " + string(raw) + "\n\n"))
}

// errorEvent ends a stream that cannot be completed.
type errorEvent struct {
	Error *refusal.Refusal `json:"error"`
}

// modelList is the answer of GET /v1/models.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      ident.ModelID `json:"id"`
	Object  string        `json:"object"`
	OwnedBy string        `json:"owned_by"`
}

// listModels is the last filter of GET /v1/models.
type listModels struct{}

// Handle answers with the models that the caller's team may use.
func (listModels) Handle(_ context.Context, r *filter.Request, _ filter.Next) filter.Outcome {
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, id := range slices.Sorted(maps.Keys(r.Settings.Models)) {
		if slices.Contains(r.Team.Models, id) {
			list.Data = append(list.Data, modelEntry{ID: id, Object: "model", OwnedBy: "camphorlever"})
		}
	}
	raw, err := json.Marshal(list)
	if err != nil {
		return filter.Refused(refusal.Internal, refusal.NotRun, "The list cannot be encoded.")
	}
	r.Writer.Header().Set("Content-Type", "application/json")
	// The caller may be gone; there is nobody else to tell.
	_, _ = r.Writer.Write(append(raw, '\n'))
	return filter.Answered()
}
