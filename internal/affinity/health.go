package affinity

import (
	"math"
	"time"
)

// Parameters of the health estimate, which is based on the results of requests.
// It detects servers that have become slow, or fail part of their requests, while
// their entries report them as healthy. A server is compared with the others of
// its service, so that conditions common to all, such as long prompts, a high
// load or a usual failure rate, are not counted against any.
const (
	// decaySeconds is the time constant with which results lose weight: long
	// enough to cover several results at a few requests per second and server,
	// short enough that a recovered server gets requests again within seconds.
	decaySeconds = 3.0
	// priorWeight is the number of average results assumed for a server without
	// results, so that single results have little influence.
	priorWeight = 3.0
	// slowThreshold is the ratio to the latency of healthy servers above which a
	// server counts as slow; processing an uncached part of a prompt adds less.
	slowThreshold = 2.0
	// failureThreshold is the excess over the service's failure rate above which
	// a server counts as failing.
	failureThreshold = 0.15
	// failurePenalty is the penalty per unit of excess failure rate. It is high
	// because a failed request is lost entirely, while a loaded server only
	// delays it.
	failurePenalty = 10.0
	// defaultDuration is the time that requests take if nothing is known of them.
	defaultDuration = time.Second
	// minWeight is the weight below which the results of a route are dropped.
	minWeight = 1e-3
	// maxPenalty is the upper bound of the penalty.
	maxPenalty = 16.0
)

// decayingMean is a mean of results that lose weight exponentially with their
// age.
type decayingMean struct {
	sum, weight float64
	updatedAt   time.Time
}

// decay reduces the weight of the results to that at a later time.
func (t *decayingMean) decay(now time.Time) {
	if t.weight > 0 {
		factor := math.Exp(-max(now.Sub(t.updatedAt).Seconds(), 0) / decaySeconds)
		t.sum *= factor
		t.weight *= factor
	}
	t.updatedAt = now
}

func (t *decayingMean) add(now time.Time, value float64) {
	t.decay(now)
	t.sum += value
	t.weight++
}

// mean returns the mean of the results and of priorWeight results at a prior
// value.
func (t *decayingMean) mean(now time.Time, prior float64) float64 {
	if t.weight == 0 {
		return prior
	}
	t.decay(now)
	return (t.sum + priorWeight*prior) / (t.weight + priorWeight)
}

// health is the health of a server as seen in the results of its requests.
type health struct {
	latencyRatio decayingMean // time to the first response over the mean of its route
	failures     decayingMean // 1 for a failed request, 0 for a successful one
}

// baseline aggregates the results of a service over all its servers.
type baseline struct {
	latency  map[string]*decayingMean // time to the first response by route, in seconds
	failures decayingMean
	duration decayingMean // time from sending a request to its end, in seconds
}

func newBaseline() *baseline {
	return &baseline{latency: map[string]*decayingMean{}}
}

// recordLatency records the time to the first response to a request.
func (b *baseline) recordLatency(h *health, route string, delay time.Duration, now time.Time) {
	t := b.latency[route]
	if t == nil {
		t = &decayingMean{}
		b.latency[route] = t
	}
	t.add(now, delay.Seconds())
	if mean := t.sum / t.weight; mean > 0 {
		h.latencyRatio.add(now, delay.Seconds()/mean)
	}
}

// recordDuration records how long a request was in flight.
func (b *baseline) recordDuration(d time.Duration, now time.Time) { b.duration.add(now, d.Seconds()) }

// meanDuration returns how long requests are in flight, defaultDuration if that is unknown.
func (b *baseline) meanDuration(now time.Time) time.Duration {
	mean := b.duration.mean(now, defaultDuration.Seconds())
	return time.Duration(mean * float64(time.Second))
}

// dropIdleRoutes drops the routes whose results have lost their weight.
func (b *baseline) dropIdleRoutes(now time.Time) {
	for route, t := range b.latency {
		if t.decay(now); t.weight < minWeight {
			delete(b.latency, route)
		}
	}
}

// recordResult records whether a request failed.
func (b *baseline) recordResult(h *health, failed bool, now time.Time) {
	value := 0.0
	if failed {
		value = 1
	}
	b.failures.add(now, value)
	h.failures.add(now, value)
}

// penalty returns the factor on the load of a server, 1 for a healthy one. The
// parameter healthy is the latency ratio of the service's healthy servers.
func (b *baseline) penalty(h *health, healthy float64, now time.Time) float64 {
	penalty := 1.0
	if ratio := h.latencyRatio.mean(now, 1) / healthy; ratio > slowThreshold {
		penalty = ratio * ratio // squared, so that even an idle server just above the threshold is avoided
	}
	usual := b.failures.mean(now, 0)
	if excess := h.failures.mean(now, usual) - usual; excess > failureThreshold {
		penalty += failurePenalty * excess
	}
	return min(penalty, maxPenalty)
}

// setPenalties sets the penalties of all candidates.
func (b *baseline) setPenalties(candidates []candidate, now time.Time) {
	healthy := healthyLatencyRatio(candidates, now)
	for i := range candidates {
		candidates[i].penalty = b.penalty(&candidates[i].node.health, healthy, now)
		candidates[i].pace = candidates[i].node.health.latencyRatio.mean(now, 1) / healthy
	}
}

// healthyLatencyRatio returns the mean latency ratio of the servers that are not
// slower than the mean of all. Slow servers would otherwise raise the reference
// value and go undetected.
func healthyLatencyRatio(candidates []candidate, now time.Time) float64 {
	sum := 0.0
	for _, c := range candidates {
		sum += c.node.health.latencyRatio.mean(now, 1)
	}
	mean, healthy, n := sum/float64(len(candidates)), 0.0, 0
	for _, c := range candidates {
		if pace := c.node.health.latencyRatio.mean(now, 1); pace <= mean {
			healthy += pace
			n++
		}
	}
	if n == 0 {
		return mean // all are equal except for rounding
	}
	return healthy / float64(n)
}
