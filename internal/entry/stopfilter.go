package entry

import (
	"context"
	"sync"
	"time"

	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/refusal"
)

// stopFilter refuses requests that would not end before the router stops. It
// covers the case that all routers are stopped at nearly the same time, so that
// callers cannot move to another one: short requests are still served until
// shortly before the end.
type stopFilter struct {
	mu               sync.Mutex               // guards all below
	maxDuration      map[string]time.Duration // recent longest duration of a request, by route
	maxEventInterval map[string]time.Duration // recent longest mean interval between the events of a stream, by route
	refuseFrom       time.Time                // until then all requests are admitted; zero if the router is not stopping
	abortAt          time.Time                // when requests in progress are aborted
}

const (
	// durationMargin is the factor by which a request may exceed the longest
	// recent duration.
	durationMargin = 1.5
	// maxDecay is the factor by which a recorded maximum shrinks with each
	// smaller value, so that an outlier counts for some hundred requests.
	maxDecay = 0.995
	// minEvents is how many events a stream must have had for its event
	// interval to be used in estimates.
	minEvents = 4
	// stoppingRetryAfter is the retry delay for a caller that reached a
	// stopping router: its next connection leads to another one.
	stoppingRetryAfter = 50 * time.Millisecond
)

func newStopFilter() *stopFilter {
	return &stopFilter{maxDuration: map[string]time.Duration{}, maxEventInterval: map[string]time.Duration{}}
}

// beginStop sets the time from which requests may be refused, and the time at
// which those in progress are aborted.
func (l *stopFilter) beginStop(refuseFrom, abortAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refuseFrom, l.abortAt = refuseFrom, abortAt
}

// Handle implements filter.Filter.
func (l *stopFilter) Handle(ctx context.Context, r *filter.Request, next filter.Next) filter.Outcome {
	if !l.canFinish(r.Passthrough, time.Now()) {
		return refuseWithRetryAfter(refusal.Stopping, "The router is being stopped.", stoppingRetryAfter)
	}
	out := next(ctx, r)
	if out.Refusal == nil {
		l.recordDuration(r.Passthrough, time.Since(r.Received))
	}
	return out
}

// canFinish reports whether a request that is received now will probably end
// before requests are aborted. The estimate is the longest recent duration on
// its route, or the time to the request's deadline if there was none, and for a
// stream at least the time for the largest number of events.
func (l *stopFilter) canFinish(p *filter.Passthrough, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.refuseFrom.IsZero() || now.Before(l.refuseFrom) {
		return true
	}
	expected, known := l.maxDuration[p.Route.Name]
	if !known {
		expected = p.Deadline.Sub(now)
	}
	expected = max(expected, time.Duration(maxEvents(p))*l.maxEventInterval[p.Route.Name])
	return now.Add(time.Duration(durationMargin * float64(expected))).Before(l.abortAt)
}

// maxEvents returns the largest number of events that a stream may have; zero
// if that is unknown.
func maxEvents(p *filter.Passthrough) int64 {
	if p.Service == nil || p.Service.Engine == nil || p.Service.Engine.TokensPerEvent <= 0 {
		return 0
	}
	return p.Call.MaxOutput / p.Service.Engine.TokensPerEvent
}

// recordDuration records how long a request was in progress. For streams the
// event interval is recorded too, so that a long stream is not estimated from
// shorter ones before it.
func (l *stopFilter) recordDuration(p *filter.Passthrough, duration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	raiseDecayingMax(l.maxDuration, p.Route.Name, duration)
	if p.EventsDelivered >= minEvents {
		raiseDecayingMax(l.maxEventInterval, p.Route.Name, (duration-p.TimeToFirstEvent)/time.Duration(p.EventsDelivered-1))
	}
}

// raiseDecayingMax records a value in a route's decaying maximum.
func raiseDecayingMax(largest map[string]time.Duration, route string, value time.Duration) {
	largest[route] = max(value, time.Duration(maxDecay*float64(largest[route])))
}
