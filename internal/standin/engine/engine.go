// Package engine is a small stand-in for a model engine: it streams tokens in
// slots, caches prompt prefixes, reports load with a lag and cache events late
// and with gaps, resumes and cancels streams, and takes orders. In another
// mode it is a plain service. Faults can be set while it runs.
package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc"
)

// maxBodyBytes bounds the body of a call.
const maxBodyBytes = 32 << 20

// Options describes the engine at its start.
type Options struct {
	Models      []string // loaded at the start; an unknown model is refused
	Adapters    []string
	Role        string
	Slots       int // runs batched at once
	CacheBlocks int // capacity of the prefix cache
	CheckFences bool
	Service     bool // a plain service instead of a model engine
	TokenTime   time.Duration
	Prefill     time.Duration // per prompt token that is not cached
}

// Engine serves one stand-in backend server. Use New.
type Engine struct {
	options Options
	faults  *faults
	slots   *slots
	cache   *cache
	load    *loadReport
	orders  *orders
	desk    *desk
	mu      sync.Mutex // guards streams and runs
	streams map[string]*stream
	runs    map[string]int // by stream id
	group   conc.WaitGroup // generators
}

// New returns an engine without faults.
func New(options Options) *Engine {
	options.Slots = max(options.Slots, 1)
	e := &Engine{
		options: options,
		faults:  newFaults(options),
		slots:   newSlots(options.Slots),
		orders:  newOrders(options),
		desk:    newDesk(),
		streams: map[string]*stream{},
		runs:    map[string]int{},
	}
	e.cache = newCache(options.CacheBlocks, e.faults)
	e.load = &loadReport{slots: e.slots}
	return e
}

// Handler serves the engine. Fault calls and statistics are answered in every
// mode.
func (e *Engine) Handler() http.Handler {
	router := httprouter.New()
	router.POST("/faults", e.setFaults)
	router.GET("/stats", e.stats)
	if e.options.Service {
		router.NotFound = http.HandlerFunc(e.serveDesk)
		router.HandleMethodNotAllowed = false
		return router
	}
	router.POST("/v1/chat/completions", e.guard(e.chat))
	router.POST("/tokenize", e.guard(e.tokenize))
	router.GET("/load", e.guard(e.loadNow))
	router.GET("/models", e.guard(e.inventory))
	router.GET("/cache/events", e.guard(e.cacheEvents))
	router.GET("/streams/:id", e.guard(e.resume))
	router.POST("/streams/:id/cancel", e.guard(e.cancel))
	router.POST("/orders", e.guard(e.order))
	return router
}

// Stats counts what the engine ran, by stream or by idempotency key.
type Stats struct {
	Runs map[string]int `json:"runs"`
}

func (e *Engine) stats(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if e.options.Service {
		reply(w, Stats{Runs: e.desk.counts()})
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	reply(w, Stats{Runs: e.runs})
}

// guard applies the faults that stop a call before it starts.
func (e *Engine) guard(next httprouter.Handle) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
		if err != nil {
			return
		}
		if !e.faults.admit(w, r) {
			return
		}
		r.Body = io.NopCloser(newReader(body))
		next(w, r, params)
	}
}

// reply writes a JSON document with status 200.
func reply(w http.ResponseWriter, document any) {
	w.Header().Set("Content-Type", "application/json")
	// The caller may be gone; there is nobody else to tell.
	_ = json.NewEncoder(w).Encode(document)
}

// errorReply is the JSON form of an engine's refusal.
type errorReply struct {
	Error errorBody `json:"error"`
}

type errorBody struct {
	Message string `json:"message"`
}

func refuse(w http.ResponseWriter, status int, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(errorReply{Error: errorBody{Message: message}})
}
