package budget

import (
	"cmp"
	"context"
	"runtime"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"

	grants "github.com/camphorlever/camphorlever/internal/budget"
	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/measure"
)

// seeds of the traces; every figure is the mean over them.
var seeds = []uint64{20, 21, 22, 23, 24}

// horizon is the outage that the chosen policy sizes its grants for.
const horizon = 10 * time.Minute

// contender is one policy by its name.
type contender struct {
	name string
	make func(*scenario) policy
}

// The fleet's own policy stands for its default and for both ends of the
// teams' caution; the default leans towards answering.
var contenders = []contender{
	{"equal_split", func(s *scenario) policy { return newEqualSplit(s) }},
	{"fixed_grant", func(s *scenario) policy { return newFixedGrant(s) }},
	{"owner_lease", func(s *scenario) policy { return newOwnerLease(s) }},
	{"bound_by_reservation", func(s *scenario) policy { return newCentral(s) }},
	{"chosen", leaning(0)},
	{"chosen_cautious", leaning(1)},
	{"chosen_answering", leaning(0)},
}

// leaning is the fleet's own policy with a team's caution.
func leaning(caution float64) func(*scenario) policy {
	return func(s *scenario) policy {
		return newChosen(s, grants.Policy{Horizon: horizon, Caution: caution})
	}
}

// Group compares the policies.
var Group = measure.Group{Name: "budget", Run: run}

func run(ctx context.Context, emit measure.Emit) error {
	var jobs []*comparison
	workers := pool.New().WithMaxGoroutines(max(runtime.GOMAXPROCS(0)/2, 1))
	for _, d := range deployments {
		for kind := range scenarioCount {
			job := &comparison{d: d, kind: kind}
			jobs = append(jobs, job)
			for _, c := range contenders {
				workers.Go(func() { job.play(ctx, c) })
			}
			workers.Go(job.bounds)
		}
	}
	workers.Wait()
	if ctx.Err() != nil {
		return errors.Wrap(ctx.Err(), "policies were not all compared")
	}
	for _, job := range jobs {
		job.report(emit)
	}
	for _, d := range deployments {
		reportTraffic(d, emit)
	}
	return nil
}

// reportTraffic emits the appends to the ledger without faults, at the load of
// a deployment.
func reportTraffic(d deployment, emit measure.Emit) {
	s := logOutage(d, seeds[0])
	c := newChosen(&s, grants.Policy{Horizon: horizon})
	play(&s, c)
	seconds := faultStart.Seconds()
	var all int
	for _, n := range c.appends.appends {
		all += n
	}
	name := "ledger." + d.name + "."
	emit(name+"appends_per_s", float64(all)/seconds, "per_s")
	emit(name+"settle_appends_per_s", float64(c.appends.appends[ledger.KindSettle])/seconds, "per_s")
	emit(name+"draw_appends_per_s", float64(c.appends.appends[ledger.KindDraw])/seconds, "per_s")
	emit(name+"return_appends_per_s", float64(c.appends.appends[ledger.KindReturn])/seconds, "per_s")
	emit(name+"bytes_per_s", float64(c.appends.bytes)/seconds, "bytes_per_s")
}

// comparison is one scenario under all policies.
type comparison struct {
	d    deployment
	kind int

	mu      sync.Mutex // guards the figures
	figures []figure
}

type figure struct {
	name  string
	value float64
	unit  string
}

func (c *comparison) scenario(seed uint64) *scenario {
	return &scenarios(c.d, seed)[c.kind]
}

func (c *comparison) add(who, what string, value float64, unit string) {
	name := "budget." + who + "." + c.d.name + "_" + c.scenario(seeds[0]).name + "." + what
	c.mu.Lock()
	defer c.mu.Unlock()
	c.figures = append(c.figures, figure{name: name, value: value, unit: unit})
}

// play plays the scenario under one policy with every seed.
func (c *comparison) play(ctx context.Context, who contender) {
	var overspend, refused, ofBound, exposed float64
	for _, seed := range seeds {
		if ctx.Err() != nil {
			return
		}
		s := c.scenario(seed)
		w := play(s, who.make(s))
		overspend += float64(w.overspend)
		refused += w.per10k(w.falseNo)
		ofBound += w.per10k(w.falseBound)
		exposed += w.exposure()
	}
	n := float64(len(seeds))
	c.add(who.name, "overspend_tokens", overspend, "tokens")
	c.add(who.name, "false_refusals_per_10k", refused/n, "per_10k")
	c.add(who.name, "false_refusals_of_bound_per_10k", ofBound/n, "per_10k")
	if exposed > 0 {
		c.add(who.name, "held_by_one_router_ratio", exposed/n, "ratio")
	}
}

// bounds works out what no policy can do better.
func (c *comparison) bounds() {
	var best, blind float64
	for _, seed := range seeds {
		s := c.scenario(seed)
		best += fewest(s)
		blind += proportional(s)
	}
	n := float64(len(seeds))
	c.add("bound", "false_refusals_per_10k", best/n, "per_10k")
	c.add("bound_not_knowing_the_cut", "false_refusals_per_10k", blind/n, "per_10k")
}

func (c *comparison) report(emit measure.Emit) {
	slices.SortFunc(c.figures, func(a, b figure) int { return cmp.Compare(a.name, b.name) })
	for _, f := range c.figures {
		emit(f.name, f.value, f.unit)
	}
}
