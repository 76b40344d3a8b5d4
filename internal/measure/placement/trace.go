// Package placement measures the choice of backend servers, the fairness of
// the queue, retries, and how soon a router notices silence and leaving. The
// servers are simulated by discrete events; what decides is the project's own
// code.
package placement

import (
	"math/rand/v2"
	"time"
)

// Shape of the trace, which is the same for all policies.
const (
	traceSeed   = 20261204
	traceLength = 240 * time.Second
	warmUp      = 40 * time.Second // not measured
	teams       = 10
	maxTurns    = 12
	meanOutput  = 60 // tokens
)

// load is the kind of a trace.
type load struct {
	name          string  // part of the figures' names
	rate          float64 // requests a second
	conversations int     // at any moment
	turns         int     // of a conversation, at most
}

// loads are an even load, and one where a few prompts take nearly all.
var loads = []load{
	{name: "placement", rate: 26, conversations: 160, turns: maxTurns},
	{name: "placement_hot", rate: 36, conversations: 3, turns: 400},
}

// request is one arrival of the trace.
type request struct {
	at     time.Duration
	router int
	blocks []uint64
	output int
}

// conversation grows by some blocks with every turn.
type conversation struct {
	blocks []uint64
	turns  int
}

// newTrace returns arrivals over the given number of routers.
func newTrace(l load, routers int) []request {
	r := rand.New(rand.NewPCG(traceSeed, 1))
	prompts := make([][]uint64, teams) // system prompts
	for i := range prompts {
		prompts[i] = fresh(r, nil, 6+r.IntN(18))
	}
	open := make([]conversation, l.conversations)
	for i := range open {
		open[i] = begin(r, prompts, l.turns)
	}
	var trace []request
	for at := time.Duration(0); at < traceLength; {
		at += time.Duration(r.ExpFloat64() / l.rate * float64(time.Second))
		c := &open[r.IntN(len(open))]
		if c.turns == 0 {
			*c = begin(r, prompts, l.turns)
		}
		c.turns--
		blocks := fresh(r, c.blocks, 1+r.IntN(5))
		if l.turns == maxTurns {
			c.blocks = blocks
		}
		trace = append(trace, request{
			at:     at,
			router: r.IntN(routers), // the balancer knows no conversations
			blocks: blocks,
			output: 1 + int(r.ExpFloat64()*meanOutput),
		})
	}
	return trace
}

// begin starts a conversation of a team; few teams have most of them.
func begin(r *rand.Rand, prompts [][]uint64, most int) conversation {
	team := min(int(r.ExpFloat64()*2), teams-1)
	return conversation{blocks: fresh(r, prompts[team], 1), turns: 1 + r.IntN(most)}
}

// fresh returns the blocks with some never seen before behind them.
func fresh(r *rand.Rand, blocks []uint64, count int) []uint64 {
	longer := make([]uint64, len(blocks), len(blocks)+count)
	copy(longer, blocks)
	for range count {
		longer = append(longer, r.Uint64())
	}
	return longer
}
