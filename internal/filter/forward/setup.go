// Package forward is the last filter of requests that are passed on as they
// came: it sends a request to backend servers, one after the other as far as
// that is allowed, and hands the answer to the caller.
package forward

import (
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/camphorlever/camphorlever/internal/affinity"
	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/membership"
	"github.com/camphorlever/camphorlever/internal/retry"
	"github.com/camphorlever/camphorlever/internal/upstream"
)

// Codec translates headers at the boundary.
type Codec interface {
	RequestHeader(in http.Header, send *upstream.Send) http.Header
	ResponseHeader(in http.Header) http.Header
}

// Servers lists the backend servers of a service that may get new work.
type Servers interface {
	ForService(service string) []membership.Server
	Usable(s membership.Server) bool
}

// Deps is what the filter works with.
type Deps struct {
	Codec   Codec
	Servers Servers
	Placer  *affinity.Placer
	Pool    *upstream.Pool
	Retries retry.Limits // of this router, for each service
	Log     zerolog.Logger
}

type handler struct {
	Deps
	counters *counter.Set

	mu      sync.Mutex // guards budgets
	budgets map[string]*retry.Budget
}

// New returns the filter.
func New(d Deps) filter.Filter {
	d.Log = d.Log.With().Str("part", "forward").Logger()
	return &handler{Deps: d, counters: filter.Counters("forward"), budgets: map[string]*retry.Budget{}}
}

// retries returns the retry budget of a service.
func (h *handler) retries(service string) *retry.Budget {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.budgets[service]
	if b == nil {
		b = retry.NewBudgetWithLimits(h.Retries, time.Now)
		h.budgets[service] = b
	}
	return b
}
