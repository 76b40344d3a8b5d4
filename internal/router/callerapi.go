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

// Limits of the HTTP servers.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
	// writeTimeout bounds each write to a caller whose connection buffers are
	// full.
	writeTimeout = 30 * time.Second
)

// serviceMethods are the HTTP methods that are forwarded to plain services.
var serviceMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// callerAPI is the HTTP interface for callers.
type callerAPI struct {
	settings func() *settings.Tree
	active   *atomic.Int64 // requests in progress
	requests filter.Next   // chat completions and plain services
	models   filter.Next
}

// handler returns the handler of all paths.
func (c *callerAPI) handler() http.Handler {
	routes := httprouter.New()
	routes.POST("/v1/chat/completions", c.chainHandler(c.requests))
	routes.GET("/v1/models", c.chainHandler(c.models))
	for _, method := range serviceMethods {
		routes.Handle(method, "/services/:service/*path", c.chainHandler(c.requests))
	}
	routes.NotFound = refusalHandler(http.StatusNotFound, "There is no such path.")
	routes.MethodNotAllowed = refusalHandler(http.StatusMethodNotAllowed, "The path does not take this method.")
	return routes
}

// refusalHandler refuses every request with the given status and message.
func refusalHandler(status int, message string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		refused := refusal.New(refusal.BadRequest, refusal.NotRun, message)
		refused.RequestID = uuid.NewString()
		refusal.Write(statusWriter{ResponseWriter: w, status: status}, refused)
	})
}

// statusWriter sends a fixed status instead of the one of the refusal's code.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader sends the fixed status and ignores the given one.
func (w statusWriter) WriteHeader(int) {
	w.ResponseWriter.WriteHeader(w.status)
}

// chainHandler passes requests through a filter chain and writes its refusal, if
// any.
func (c *callerAPI) chainHandler(chain filter.Next) httprouter.Handle {
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
			writeRefusal(request, out.Refusal)
		}
	}
}

// writeRefusal sends a refusal to the caller: as the response, or as the last
// event if a stream has already started.
func writeRefusal(r *filter.Request, refused *refusal.Refusal) {
	withID := *refused
	withID.RequestID = r.ID.String()
	if !r.Writer.Started() {
		r.Writer.Refuse(&withID)
		return
	}
	raw, err := json.Marshal(errorEvent{Error: &withID})
	if err != nil {
		return // cannot happen: a refusal can always be encoded
	}
	// A write error means that the caller has disconnected.
	_, _ = r.Writer.Write([]byte("data: " + string(raw) + "\n\n"))
}

// errorEvent is the last event of a stream that cannot be completed, and the
// body of a refusal.
type errorEvent struct {
	Error *refusal.Refusal `json:"error"`
}

// modelList is the response body of GET /v1/models.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      ident.ModelID `json:"id"`
	Object  string        `json:"object"`
	OwnedBy string        `json:"owned_by"`
}

// modelsFilter is the last filter of GET /v1/models.
type modelsFilter struct{}

// Handle responds with the configured models that the caller's team may use.
func (modelsFilter) Handle(_ context.Context, r *filter.Request, _ filter.Next) filter.Outcome {
	response := modelList{Object: "list", Data: []modelEntry{}}
	for _, id := range slices.Sorted(maps.Keys(r.Settings.Models)) {
		if slices.Contains(r.Team.Models, id) {
			response.Data = append(response.Data, modelEntry{ID: id, Object: "model", OwnedBy: "camphorlever"})
		}
	}
	raw, err := json.Marshal(response)
	if err != nil {
		return filter.Refused(refusal.Internal, refusal.NotRun, "The list cannot be encoded.")
	}
	r.Writer.Header().Set("Content-Type", "application/json")
	// A write error means that the caller has disconnected.
	_, _ = r.Writer.Write(append(raw, '\n'))
	return filter.Answered()
}
