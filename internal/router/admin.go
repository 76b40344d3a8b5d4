package router

import (
	"context"
	"expvar"
	"net/http"

	"github.com/camphorlever/camphorlever/internal/admin"
)

// adminHandler serves health, readiness, the counters and the administration
// interface.
func (r *Router) adminHandler() http.Handler {
	routes := http.NewServeMux()
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
	routes.Handle(admin.Root+"/", r.administration())
	return routes
}

func (r *Router) returnGrants(context.Context) error { return nil }
