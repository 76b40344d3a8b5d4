// Package admin is the administration interface of a router, JSON over HTTP:
// settings by path, top-ups, the ledger, members, drain and look-ups of keys.
// Every router serves it; its changes are records in the log service.
package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/fleet"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/logservice"
	"github.com/camphorlever/camphorlever/internal/record"
	"github.com/camphorlever/camphorlever/internal/refusal"
	"github.com/camphorlever/camphorlever/internal/rpc"
	"github.com/camphorlever/camphorlever/internal/settings"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// PathPrefix is the prefix of all paths of the interface.
const PathPrefix = "/admin/v1"

// Limits of the interface.
const (
	maxBodyBytes = 1 << 20
	// submitTimeout is how long a change waits for the log. After that its
	// outcome is unknown, and the client repeats the call with the same ID.
	submitTimeout = 8 * time.Second
	// operatorRate and operatorBurst bound the changes per second that one
	// operator appends through one router, so that operators cannot use up the
	// log throughput that the ledger needs.
	operatorRate  = 5
	operatorBurst = 50
	// queueTimeout is how long a change waits for its operator's rate limit.
	queueTimeout = 5 * time.Second
)

// Fleet gives access to the members and settings of the fleet and to the log.
type Fleet interface {
	Settings() *settings.Tree
	Members() *fleet.View
	Offsets() wire.Offsets
	Leaving(m fleet.Member) bool
	SubmitSettings(ctx context.Context, records ...record.Record) ([]settings.Verdict, error)
	ViewSettings(visit func(*settings.State))
	SubmitFleet(ctx context.Context, records ...record.Record) ([]fleet.Verdict, error)
	ViewFleet(visit func(*fleet.State))
	Log() logservice.Log
	Incarnation() ident.Incarnation
}

// Ledger reads and appends to the ledger of the teams' budgets.
type Ledger interface {
	Submit(ctx context.Context, team ident.TeamID, records ...record.Record) ([]ledger.Verdict, error)
	View(team ident.TeamID, visit func(*ledger.State))
	ViewShard(shard int, visit func(*ledger.State))
	Shards() int
	SyncError(team ident.TeamID) error
}

// Peers returns RPC clients of other processes of the fleet.
type Peers interface {
	Caller(m fleet.Member) rpc.Caller
}

// Config holds the dependencies of the interface. All fields are required except
// BootstrapKey, without which the first operator cannot be created.
type Config struct {
	Fleet        Fleet
	Ledger       Ledger
	Peers        Peers
	BootstrapKey settings.KeyHash
	Ready        func() error
	Logger       zerolog.Logger
}

// API is the administration interface.
type API struct {
	config Config
	log    zerolog.Logger
	counts *counter.Set

	mu       sync.Mutex // guards limiters
	limiters map[ident.OperatorID]*rate.Limiter
}

// New returns the administration interface of one router.
func New(config Config) *API {
	return &API{
		config:   config,
		log:      config.Logger.With().Str("part", "admin").Logger(),
		counts:   counter.NewSet("admin"),
		limiters: map[ident.OperatorID]*rate.Limiter{},
	}
}

// endpoint handles one authenticated call and returns a JSON document or a refusal.
type endpoint func(call *call) (any, *refusal.Refusal)

// call is one HTTP request with its operator and the settings at its start.
type call struct {
	*http.Request
	params   httprouter.Params
	operator ident.OperatorID
	tree     *settings.Tree
}

// Handler returns the HTTP handler of all paths below PathPrefix.
func (a *API) Handler() http.Handler {
	r := httprouter.New()
	r.HandleMethodNotAllowed = true
	r.RedirectTrailingSlash = false
	r.NotFound = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		refusal.Write(w, refusal.New(refusal.NotFound, refusal.NotRun, "There is no such path."))
	})
	routes := []struct {
		method, path string
		endpoint     endpoint
	}{
		{http.MethodGet, "/settings/*path", a.getSettings},
		{http.MethodPut, "/settings/*path", a.putSettings},
		{http.MethodGet, "/history/*path", a.history},
		{http.MethodPost, "/topups", a.topUp},
		{http.MethodGet, "/teams/:team/budget", a.budget},
		{http.MethodGet, "/ledger/:team", a.ledger},
		{http.MethodPost, "/keys", a.createKey},
		{http.MethodGet, "/keys/:team/:key", a.lookUpKey},
		{http.MethodGet, "/status", a.status},
		{http.MethodPost, "/servers/:server/drain", a.drain},
		{http.MethodGet, "/grants/stuck", a.listStuckGrants},
		{http.MethodPost, "/destroyed", a.declareDestroyed},
	}
	for _, route := range routes {
		r.Handle(route.method, PathPrefix+route.path, a.serve(route.endpoint))
	}
	return r
}

// serve authenticates a call and writes the response.
func (a *API) serve(e endpoint) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		c := &call{Request: r, params: params, tree: a.config.Fleet.Settings()}
		if refused := a.authenticate(c); refused != nil {
			a.writeRefusal(w, c, refused)
			return
		}
		document, refused := e(c)
		if refused != nil {
			a.writeRefusal(w, c, refused)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// A write error means that the operator's client has disconnected.
		_ = json.NewEncoder(w).Encode(document)
	}
}

func (a *API) writeRefusal(w http.ResponseWriter, c *call, refused *refusal.Refusal) {
	a.counts.Inc("refused_" + string(refused.Code))
	a.log.Info().Str("operator", string(c.operator)).Str("path", c.URL.Path).
		Str("code", string(refused.Code)).Msg("refused")
	refusal.Write(w, refused)
}

// decode reads the JSON body of a call and rejects unknown fields.
func (c *call) decode(target any) *refusal.Refusal {
	decoder := json.NewDecoder(c.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return badRequest("The body is not what was expected: " + err.Error())
	}
	return nil
}

func badRequest(message string) *refusal.Refusal {
	return refusal.New(refusal.BadRequest, refusal.NotRun, message)
}

func forbidden(message string) *refusal.Refusal {
	return refusal.New(refusal.Forbidden, refusal.NotRun, message)
}
