// Package budget compares policies for sharing a prepaid budget between
// routers: the same requests and the same faults for each of them, in virtual
// time, and for each the tokens spent beyond the limit and the requests that
// were refused although the budget would have covered them.
package budget

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Shape of the fleet in every deployment.
const (
	dataCentres    = 3
	routersPerSite = 2
	routerCount    = dataCentres * routersPerSite
)

// mix is one kind of request of a deployment.
type mix struct {
	weight    float64
	prompt    float64 // median tokens
	maxOutput int64
	least     float64 // smallest part of maxOutput that is generated
}

// deployment shapes the load of one group of users.
type deployment struct {
	name   string
	rate   float64   // requests a second
	teams  []float64 // their parts of it
	sides  int       // side processes
	mixes  []mix
	jitter float64 // sigma of the prompt's logarithm
}

var deployments = []deployment{
	{
		name: "hv", rate: 4, sides: 15, jitter: 0.6,
		teams: []float64{0.42, 0.25, 0.15, 0.1, 0.08},
		mixes: []mix{
			{weight: 0.5, prompt: 900, maxOutput: 512, least: 0.3},
			{weight: 0.3, prompt: 2500, maxOutput: 1024, least: 0.3},
			{weight: 0.2, prompt: 250, maxOutput: 256, least: 0.2},
		},
	},
	{
		name: "acbl", rate: 7, sides: 21, jitter: 0.7,
		teams: []float64{0.34, 0.24, 0.16, 0.12, 0.08, 0.06},
		mixes: []mix{
			{weight: 0.25, prompt: 6000, maxOutput: 1024, least: 0.4},
			{weight: 0.6, prompt: 150, maxOutput: 256, least: 0.2},
			{weight: 0.15, prompt: 700, maxOutput: 768, least: 0.4},
		},
	},
}

// request is one request of a trace.
type request struct {
	at     time.Duration
	team   int
	router int // that the balancer prefers
	side   int // of the same data centre
	prompt int64
	output int64 // that it generates
	bound  int64 // exact prompt plus the maximum output
	loose  int64 // bytes of the prompt
	limit  int64 // maximum output
	length time.Duration
}

// cost is what the request really uses.
func (r *request) cost() int64 {
	return r.prompt + r.output
}

// Durations of a run.
const (
	prefillPerToken = 150 * time.Microsecond
	decodePerToken  = 34 * time.Millisecond
)

// siteWeights is where a team's clients are, in the order of a rotation.
var siteWeights = []float64{0.5, 0.3, 0.2}

// newTrace draws the requests of a deployment. All policies get the same.
func newTrace(d deployment, length time.Duration, seed uint64) []request {
	rng := rand.New(rand.NewPCG(seed, 9))
	var trace []request
	var at time.Duration
	for {
		at += time.Duration(rng.ExpFloat64() / d.rate * float64(time.Second))
		if at >= length {
			return trace
		}
		trace = append(trace, d.draw(rng, at))
	}
}

func (d deployment) draw(rng *rand.Rand, at time.Duration) request {
	team := pick(rng, d.teams)
	weights := make([]float64, len(d.mixes))
	for i, m := range d.mixes {
		weights[i] = m.weight
	}
	kind := d.mixes[pick(rng, weights)]
	site := (pick(rng, siteWeights) + team) % dataCentres
	prompt := max(int64(kind.prompt*math.Exp(rng.NormFloat64()*d.jitter)), 8)
	output := int64(float64(kind.maxOutput) * (kind.least + (1-kind.least)*rng.Float64()))
	perSite := d.sides / dataCentres
	return request{
		at:     at,
		team:   team,
		router: site*routersPerSite + rng.IntN(routersPerSite),
		side:   site*perSite + rng.IntN(perSite),
		prompt: prompt,
		output: output,
		bound:  prompt + kind.maxOutput,
		loose:  4 * prompt,
		limit:  kind.maxOutput,
		length: time.Duration(prompt)*prefillPerToken + time.Duration(output)*decodePerToken,
	}
}

func pick(rng *rand.Rand, weights []float64) int {
	x := rng.Float64()
	for i, w := range weights {
		if x < w {
			return i
		}
		x -= w
	}
	return len(weights) - 1
}

// topUp is tokens paid for a team.
type topUp struct {
	at     time.Duration
	team   int
	tokens int64
}

// span is a time from and to.
type span struct {
	from, to time.Duration
}

func (s span) has(at time.Duration) bool {
	return s.from <= at && at < s.to
}

// scenario is a trace with its faults.
type scenario struct {
	name    string
	d       deployment
	trace   []request
	topUps  []topUp
	cut     span // data centre 0 reaches neither the log nor the others
	outage  span // nobody reaches the log
	paused  span // of one router
	sleeper int
	length  time.Duration
}

// Times of the scenarios.
const (
	faultStart = 5 * time.Minute
	faultEnd   = 15 * time.Minute
	faultTrace = 20 * time.Minute
	lastTrace  = 5 * time.Minute
)

const scenarioCount = 4

// scenarios builds the scenarios of a deployment.
func scenarios(d deployment, seed uint64) []scenario {
	return []scenario{partitionTopUp(d, seed), logOutage(d, seed), lastPart(d, seed), coldOutage(d, seed)}
}

// demandOf returns the tokens that each team asks for in a trace before a time.
func demandOf(d deployment, trace []request, until time.Duration) []int64 {
	demand := make([]int64, len(d.teams))
	for i := range trace {
		if trace[i].at < until {
			demand[trace[i].team] += trace[i].cost()
		}
	}
	return demand
}

// startingBudget gives a team what it spends before a fault begins and from
// half of what it asks for during the fault up to sixteen times that, doubling
// from team to team. total is its demand over the whole trace.
func startingBudget(total int64, team int) int64 {
	before := float64(total) * float64(faultStart) / float64(faultTrace)
	during := float64(total) * float64(faultEnd-faultStart) / float64(faultTrace)
	return int64(before + during*math.Pow(2, float64(team-1)))
}

// partitionTopUp: top-ups are made while one data centre is cut off from the
// log and from the others.
func partitionTopUp(d deployment, seed uint64) scenario {
	s := scenario{name: "partition_topup", d: d, length: faultTrace, trace: newTrace(d, faultTrace, seed)}
	s.cut = span{from: faultStart, to: faultEnd}
	s.paused, s.sleeper = span{from: 100 * time.Second, to: 130 * time.Second}, 2
	demand := demandOf(d, s.trace, faultTrace)
	for team, total := range demand {
		s.topUps = append(s.topUps, topUp{team: team, tokens: startingBudget(total, team)})
		for _, at := range []time.Duration{7, 11} {
			s.topUps = append(s.topUps, topUp{at: at * time.Minute, team: team, tokens: total / 2})
		}
	}
	return s
}

// logOutage: budgets from scarce to ample when the log goes away.
func logOutage(d deployment, seed uint64) scenario {
	s := scenario{name: "log_outage", d: d, length: faultTrace, trace: newTrace(d, faultTrace, seed+1)}
	s.outage = span{from: faultStart, to: faultEnd}
	s.paused, s.sleeper = span{from: 100 * time.Second, to: 130 * time.Second}, 2
	for team, total := range demandOf(d, s.trace, faultTrace) {
		s.topUps = append(s.topUps, topUp{team: team, tokens: startingBudget(total, team)})
	}
	return s
}

// coldOutage: nothing was asked for before the log goes away.
func coldOutage(d deployment, seed uint64) scenario {
	s := logOutage(d, seed+3)
	s.name = "cold_outage"
	s.trace = slices.DeleteFunc(s.trace, func(r request) bool { return r.at < faultStart })
	return s
}

// lastPart: the last twentieth of every budget, which covers three minutes of
// the five; one router is paused while the budgets run out.
func lastPart(d deployment, seed uint64) scenario {
	s := scenario{name: "last_5pct", d: d, length: lastTrace, trace: newTrace(d, lastTrace, seed+2)}
	s.paused, s.sleeper = span{from: 162 * time.Second, to: 176500 * time.Millisecond}, 0
	for team, total := range demandOf(d, s.trace, 3*time.Minute) {
		s.topUps = append(s.topUps, topUp{team: team, tokens: total})
	}
	return s
}

// reaches reports whether two data centres reach each other.
func (s *scenario) reaches(a, b int, at time.Duration) bool {
	return a == b || !s.cut.has(at) || (a != 0 && b != 0)
}

// logReaches reports whether a data centre reaches the log service.
func (s *scenario) logReaches(site int, at time.Duration) bool {
	return !s.outage.has(at) && (site != 0 || !s.cut.has(at))
}

// asleep reports whether a router is paused.
func (s *scenario) asleep(router int, at time.Duration) bool {
	return router == s.sleeper && s.paused.has(at)
}

// route returns the router that the balancer sends a request to: one that
// answers, in the same data centre.
func (s *scenario) route(r *request, at time.Duration) int {
	if !s.asleep(r.router, at) {
		return r.router
	}
	return r.router ^ 1
}

func siteOf(router int) int {
	return router / routersPerSite
}

// publishedBy sums a team's top-ups until a time.
func (s *scenario) publishedBy(team int, at time.Duration) int64 {
	var total int64
	for _, t := range s.topUps {
		if t.team == team && t.at <= at {
			total += t.tokens
		}
	}
	return total
}

func sorted(topUps []topUp) []topUp {
	list := slices.Clone(topUps)
	slices.SortStableFunc(list, func(a, b topUp) int { return int(a.at - b.at) })
	return list
}
