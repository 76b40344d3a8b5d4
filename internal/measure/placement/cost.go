package placement

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/camphorlever/camphorlever/internal/measure"
	"github.com/camphorlever/camphorlever/internal/placement"
)

const (
	costOps    = 100_000
	costBlocks = 24 // of a prompt
)

// measureCost times one choice and its end at several sizes of the fleet.
func measureCost(_ context.Context, emit measure.Emit) error {
	for _, size := range []int{12, 18, 930} {
		servers := make([]*placement.Server, size)
		for i := range servers {
			servers[i] = describe(i)
		}
		p := placement.New(placement.Config{Seed: 1})
		p.Update(servers)
		r := rand.New(rand.NewPCG(traceSeed, 3))
		prompts := make([][]uint64, 64)
		for i := range prompts {
			prompts[i] = fresh(r, nil, costBlocks)
		}
		start := time.Now()
		for i := range costOps {
			query := placement.Query{Requirements: placement.Requirements{Model: model}, Blocks: prompts[i%len(prompts)]}
			run, ok := p.Pick(&query)
			if ok {
				run.Done()
			}
		}
		perOp := float64(time.Since(start).Nanoseconds()) / costOps
		emit(fmt.Sprintf("placement.ns_per_op.%d", size), perOp, "ns")
	}
	return nil
}
