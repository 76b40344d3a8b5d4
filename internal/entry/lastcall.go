package entry

import (
	"context"
	"sync"
	"time"

	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/refusal"
)

// lastCall is the filter that refuses a request which could not end before the
// router does. It answers a load in which all routers are stopped at nearly the
// same time, so that callers have nowhere else to go: what is short is served
// to the end.
type lastCall struct {
	mu      sync.Mutex               // guards all below
	longest map[string]time.Duration // of late, by route
	slowest map[string]time.Duration // from one event of a stream to the next, the same
	from    time.Time                // until then everything is taken; zero: no stop
	end     time.Time                // when requests in progress are cut
}

const (
	// lengthMargin is how much longer than the longest of late a request may
	// take.
	lengthMargin = 1.5
	// lengthDecay is what is left of the longest time with each request that
	// took less, so that an outlier counts for some hundred requests.
	lengthDecay = 0.995
	// leastEvents is how many events a stream must have had for its pace to
	// tell something of others.
	leastEvents = 4
	// elsewherePause is when a caller asks again that met a router which stops:
	// the next connection leads to another one.
	elsewherePause = 50 * time.Millisecond
)

func newLastCall() *lastCall {
	return &lastCall{longest: map[string]time.Duration{}, slowest: map[string]time.Duration{}}
}

// stop begins a stop.
func (l *lastCall) stop(from, end time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.from, l.end = from, end
}

// Handle implements filter.Filter.
func (l *lastCall) Handle(ctx context.Context, r *filter.Request, next filter.Next) filter.Outcome {
	if !l.takes(r.Passthrough, time.Now()) {
		return later(refusal.Stopping, "The router is being stopped.", elsewherePause)
	}
	out := next(ctx, r)
	if out.Refusal == nil {
		l.took(r.Passthrough, time.Since(r.Received))
	}
	return out
}

// takes reports whether a request that comes now will probably end in time.
func (l *lastCall) takes(p *filter.Passthrough, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.from.IsZero() || now.Before(l.from) {
		return true
	}
	length, known := l.longest[p.Route.Name]
	if !known {
		length = p.Deadline.Sub(now)
	}
	length = max(length, time.Duration(mostEvents(p))*l.slowest[p.Route.Name])
	return now.Add(time.Duration(lengthMargin * float64(length))).Before(l.end)
}

// mostEvents is how many events a stream may have; zero if that is not known.
func mostEvents(p *filter.Passthrough) int64 {
	if p.Service == nil || p.Service.Engine == nil || p.Service.Engine.TokensPerEvent <= 0 {
		return 0
	}
	return p.Call.MaxOutput / p.Service.Engine.TokensPerEvent
}

// took takes in how long a request was in progress. A stream's length goes with
// its events, so that a long one is not judged by short ones before it.
func (l *lastCall) took(p *filter.Passthrough, length time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	raise(l.longest, p.Route.Name, length)
	if p.EventsDelivered >= leastEvents {
		raise(l.slowest, p.Route.Name, (length-p.TimeToFirstEvent)/time.Duration(p.EventsDelivered-1))
	}
}

// raise sets a route's largest value of late.
func raise(largest map[string]time.Duration, route string, value time.Duration) {
	largest[route] = max(value, time.Duration(lengthDecay*float64(largest[route])))
}
