package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/placement"
)

// Shape of the simulated fleet.
const (
	simServers     = 12
	simRouters     = 3
	reportInterval = time.Second
	model          = ident.ModelID("maps")
)

// result is what one policy did with the trace.
type result struct {
	ttft       []time.Duration
	hits       int
	blocks     int
	lastPlaced time.Duration // at the leaving server
}

func (r *result) p95() time.Duration {
	return quantile(r.ttft, 0.95)
}

func (r *result) hitRatio() float64 {
	return float64(r.hits) / float64(r.blocks)
}

func quantile(values []time.Duration, q float64) time.Duration {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(q*float64(len(sorted)-1))]
}

// simulation is one pass over the trace.
type simulation struct {
	clock   clock
	servers []*server
	pickers []*placement.Picker
	rand    *rand.Rand
	result  result
}

func newSimulation(policy placement.Policy) *simulation {
	s := &simulation{rand: rand.New(rand.NewPCG(traceSeed, 2))}
	list := make([]*placement.Server, simServers)
	for i := range simServers {
		slow := time.Duration(1)
		if i == simServers-1 {
			slow = slowFactor
		}
		s.servers = append(s.servers, newServer(&s.clock, slow))
		list[i] = describe(i)
	}
	for i := range simRouters {
		p := placement.New(placement.Config{
			Policy:    policy,
			Seed:      uint64(i + 1),
			Router:    ident.Incarnation(i + 1),
			ReportLag: loadLag,
			CacheLag:  cacheLag + reportInterval,
			Now:       s.clock.Now,
		})
		p.Update(list)
		s.pickers = append(s.pickers, p)
	}
	return s
}

func describe(i int) *placement.Server {
	return &placement.Server{
		ID:     ident.ServerID(fmt.Sprintf("server-%03d", i)),
		Gate:   ident.Incarnation(100 + i),
		Models: []ident.ModelID{model},
		Slots:  serverSlots,
	}
}

// simulate runs the trace under a policy.
func simulate(policy placement.Policy, trace []request) *result {
	s := newSimulation(policy)
	for i := range s.pickers {
		// Routers report at different moments.
		s.poll(i, reportInterval*time.Duration(i+1)/simRouters)
	}
	for i := range trace {
		s.clock.at(trace[i].at, func() { s.place(&trace[i]) })
	}
	s.clock.runUntil(traceLength)
	return &s.result
}

func (s *simulation) poll(router int, at time.Duration) {
	s.clock.at(at, func() {
		for i, server := range s.servers {
			if router == 0 {
				server.noteCache()
			}
			gate := ident.Incarnation(100 + i)
			known := s.pickers[router].CacheMark(gate)
			s.pickers[router].ApplyReport(gate, server.report(s.rand, known))
		}
		s.poll(router, at+reportInterval)
	})
}

func (s *simulation) place(r *request) {
	placed, ok := s.pickers[r.router].Pick(&placement.Query{Requirements: placement.Requirements{Model: model}, Blocks: r.blocks})
	if !ok {
		return
	}
	server := s.servers[placed.Server.Gate-100]
	if server.leaving {
		s.result.lastPlaced = s.clock.now
	}
	work := &run{blocks: r.blocks, output: r.output, done: placed.Done}
	work.firstToken = func() {
		placed.FirstToken()
		if r.at < warmUp {
			return
		}
		s.result.ttft = append(s.result.ttft, s.clock.now-r.at)
		s.result.hits += work.hits
		s.result.blocks += len(r.blocks)
	}
	server.submit(work)
}
