package router

import (
	"expvar"
	"net/http"

	"github.com/camphorlever/camphorlever/internal/admin"
	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/fleet"
	"github.com/camphorlever/camphorlever/internal/rpc"
)

// adminHandler serves the administration interface, the health and readiness
// endpoints and the expvar counters.
func (r *Router) adminHandler() http.Handler {
	api := admin.New(admin.Config{
		Fleet:        r.node,
		Ledger:       r.node.Ledger(),
		Peers:        adminPeers{router: r},
		BootstrapKey: r.options.BootstrapOperatorKeyHash,
		Ready:        r.state.Ready,
		Logger:       r.log,
	})
	routes := http.NewServeMux()
	routes.Handle(admin.PathPrefix+"/", api.Handler())
	routes.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	routes.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := r.state.Ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	routes.Handle("GET /debug/vars", expvar.Handler())
	return routes
}

// adminPeers implements admin.Peers with the RPC clients of the router.
type adminPeers struct {
	router *Router
}

// Caller implements admin.Peers.
func (p adminPeers) Caller(m fleet.Member) rpc.Caller {
	address := m.Registration.Address
	if m.Registration.Role == fleet.RoleRouter {
		return p.router.routers.client(address)
	}
	return p.router.gates.client(filter.Target{Server: m.Registration.Server, Gate: m.Incarnation, Address: address})
}
