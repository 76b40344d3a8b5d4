package placement

import (
	"context"
	"time"

	"github.com/camphorlever/camphorlever/internal/measure"
	"github.com/camphorlever/camphorlever/internal/placement"
)

// Groups returns the groups of this package.
func Groups() []measure.Group {
	return []measure.Group{
		{Name: "placement", Run: measurePolicies},
		{Name: "placement_cost", Run: measureCost},
		{Name: "fairness", Run: measureFairness},
		{Name: "retry", Run: measureRetries},
		{Name: "leaving", Run: measureLeaving},
		{Name: "silent", Run: measureSilence},
	}
}

var policies = []struct {
	name   string
	policy placement.Policy
}{
	{"random", placement.Random},
	{"least_load", placement.LeastLoad},
	{"two_choices", placement.TwoChoices},
	{"affinity", placement.Affinity},
	{"chosen", placement.LeastLatency},
}

// measurePolicies runs the same traces under every policy.
func measurePolicies(_ context.Context, emit measure.Emit) error {
	for _, l := range loads {
		comparePolicies(l, emit)
	}
	return nil
}

func comparePolicies(l load, emit measure.Emit) {
	trace := newTrace(l, simRouters)
	results := make([]*result, len(policies))
	best := time.Duration(0)
	for i, p := range policies {
		results[i] = simulate(p.policy, trace)
		if p95 := results[i].p95(); best == 0 || p95 < best {
			best = p95
		}
	}
	for i, p := range policies {
		r := results[i]
		emit(l.name+"."+p.name+".ttft_p95_ms", float64(r.p95())/float64(time.Millisecond), "ms")
		emit(l.name+"."+p.name+".ttft_p95_ratio", float64(r.p95())/float64(best), "ratio")
		emit(l.name+"."+p.name+".prefix_hit_ratio", r.hitRatio(), "ratio")
	}
}

// measureLeaving tells how long after a server has said that it leaves a
// router still placed a run there, at most, over the servers and moments
// between two reports. The gate itself refuses from the first moment.
func measureLeaving(_ context.Context, emit measure.Emit) error {
	const leaves = 60 * time.Second
	trace := newTrace(loads[0], simRouters)
	last := time.Duration(0)
	for i := range simServers {
		at := leaves + reportInterval*time.Duration(i)/simServers
		last = max(last, lastPlacement(trace, i, at)-at)
	}
	emit("leaving.last_new_work_ms", float64(last)/float64(time.Millisecond), "ms")
	return nil
}

// lastPlacement returns when the last run was placed at a server that leaves.
func lastPlacement(trace []request, leaving int, at time.Duration) time.Duration {
	s := newSimulation(placement.LeastLatency)
	for i := range s.pickers {
		s.poll(i, reportInterval*time.Duration(i+1)/simRouters)
	}
	for i := range trace {
		s.clock.at(trace[i].at, func() { s.place(&trace[i]) })
	}
	s.clock.at(at, func() { s.servers[leaving].leaving = true })
	s.clock.runUntil(at + 10*reportInterval)
	return s.result.lastPlaced
}
