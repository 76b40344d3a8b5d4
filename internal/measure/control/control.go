// Package control measures what the control of the fleet costs and how fast
// it is: appends and bytes by stream and reason at the load of today's two
// deployments, the time until a change of settings is in force everywhere, and
// the cost of following the streams. The processes' own parts run in one
// process over a log in memory.
package control

import (
	"context"

	"github.com/camphorlever/camphorlever/internal/measure"
)

// Group is the group of figures of the control.
var Group = measure.Group{Name: "control", Run: run}

// deployment is one of today's two users. Requests are per second and worker.
type deployment struct {
	name     string
	routers  int
	workers  int // backend servers with a side process
	teams    int
	requests float64
	tokens   int64 // used by one request
	bound    int64
}

// deployments have the sizes that their pages tell; the rate of requests is an
// assumption of one a second and worker.
var deployments = []deployment{
	{name: "hollister", routers: 3, workers: 15, teams: 4, requests: 1, tokens: 700, bound: 1500},
	{name: "asociacion", routers: 3, workers: 21, teams: 5, requests: 1, tokens: 900, bound: 2000},
}

func run(ctx context.Context, emit measure.Emit) error {
	for _, d := range deployments {
		if err := measureAppends(ctx, emit, d); err != nil {
			return err
		}
		if err := measureInForce(ctx, emit, d); err != nil {
			return err
		}
	}
	targetSettlements(emit)
	return measureFollowing(ctx, emit)
}
