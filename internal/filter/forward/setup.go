// Package forward is the last filter for requests that are forwarded without
// being parsed. It sends the request to a backend server, retries on other servers
// where that is safe and within the limits, and returns the response to the caller.
package forward

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/camphorlever/camphorlever/internal/affinity"
	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/membership"
	"github.com/camphorlever/camphorlever/internal/quarantine"
	"github.com/camphorlever/camphorlever/internal/retry"
	"github.com/camphorlever/camphorlever/internal/upstream"
)

// Codec converts HTTP headers between callers and backend servers.
type Codec interface {
	// RequestHeader returns the header to send to a server for the caller's header.
	RequestHeader(in http.Header, send *upstream.Request) http.Header
	// ResponseHeader returns the header to send to the caller for a server's header.
	ResponseHeader(in http.Header) http.Header
}

// Servers lists the backend servers that accept new requests.
type Servers interface {
	// ForService returns the servers of a service. The slice must not be modified.
	ForService(service string) []membership.Server
	// Usable reports whether this incarnation of a server accepts new requests.
	Usable(s membership.Server) bool
}

// Gate decides whether a request may be sent to a server that was chosen for it.
type Gate interface {
	// Refresh waits, for a limited time, for newer orders if the known ones may be
	// outdated. It is called before a server is chosen.
	Refresh(ctx context.Context)
	// Check reports why no request may be sent to a server that was chosen at a time. It
	// is called right before the request is written.
	Check(server membership.Server, chosenAt time.Time) error
}

// Deps are the dependencies of the filter.
type Deps struct {
	Codec   Codec
	Servers Servers
	Placer  *affinity.Placer
	Pool    *upstream.Pool
	Gate    Gate
	Regions map[string]string // regions by data centre
	// Quarantine withholds requests that would crash servers.
	Quarantine *quarantine.Tracker
	// Retries returns this router's share of the retry budget of each service,
	// which changes with the number of routers.
	Retries func() retry.Limits
	// Memory is drawn on by buffered responses and hedges; nil for no limit.
	Memory Memory
	Log    zerolog.Logger
}

type handler struct {
	Deps
	counters *counter.Set
	buffers  reservations // of long responses
	hedges   reservations

	mu      sync.Mutex // guards budgets
	budgets map[string]*retry.Budget
}

// New returns the filter.
func New(d Deps) filter.Filter {
	d.Log = d.Log.With().Str("part", "forward").Logger()
	return &handler{
		Deps:     d,
		buffers:  reservations{max: maxLongBuffers, bytes: maxBufferedBytes, memory: d.Memory},
		hedges:   reservations{max: maxHedges, bytes: hedgeBytes, memory: d.Memory},
		counters: filter.Counters("forward"),
		budgets:  map[string]*retry.Budget{},
	}
}

// retryBudget returns the retry budget of a service, with the current limits, and
// creates it on first use.
func (h *handler) retryBudget(service string) *retry.Budget {
	h.mu.Lock()
	defer h.mu.Unlock()
	limits := h.Retries()
	b := h.budgets[service]
	if b == nil {
		b = retry.NewBudgetWithLimits(limits, time.Now)
		h.budgets[service] = b
	}
	b.SetMinRetries(limits.MinRetries)
	return b
}
