package control

import (
	"fmt"
	"math"
	"time"

	"github.com/camphorlever/camphorlever/internal/measure"
)

// The target size, as far as settlements go.
const (
	targetSides    = 930
	targetRequests = 13_000.0 // per second
	targetShards   = 16
)

// settleWindows are how long a side process may gather settlements.
var settleWindows = []time.Duration{200 * time.Millisecond, 10 * time.Second, time.Minute, 5 * time.Minute}

// targetSettlements works out how many appends the settlements of the target
// take when each side process appends to each shard that it has settlements
// for, once in a window.
func targetSettlements(emit measure.Emit) {
	for _, window := range settleWindows {
		runs := targetRequests / targetSides * window.Seconds()
		touched := targetShards * (1 - math.Pow(1-1.0/targetShards, runs))
		name := fmt.Sprintf("capacity.target.settle_appends_per_s.window_%gs", window.Seconds())
		emit(name, targetSides*touched/window.Seconds(), "appends_per_s")
	}
}
