package forward

import (
	"time"

	"github.com/camphorlever/camphorlever/internal/catalog"
)

const (
	// silenceTimeoutObjectives is the silence timeout as a multiple of the route's
	// latency objective, or of its longest pause between events. When it expires,
	// another server is asked as well.
	silenceTimeoutObjectives = 2.5
	// minSilenceTimeout is the lower bound of the silence timeout. Without it, a
	// short objective would have every slow response asked for twice.
	minSilenceTimeout = 250 * time.Millisecond
)

// silenceTimeout returns how long a server may take until the first data of its response.
func silenceTimeout(r *catalog.Route) time.Duration {
	return max(time.Duration(silenceTimeoutObjectives*float64(r.LatencyObjective)), minSilenceTimeout)
}

// streamSilenceTimeout returns how long a resumable stream may pause between events.
func streamSilenceTimeout(r *catalog.Route) time.Duration {
	return max(time.Duration(silenceTimeoutObjectives*float64(r.MaxEventGap)), silenceTimeout(r))
}
