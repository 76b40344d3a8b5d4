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
	mu      sync.Mutex // guards all below
	longest map[string]time.Duration
	from    time.Time // until then everything is taken; zero: no stop
	end     time.Time // when requests in progress are cut
}

const (
	// lengthMargin is how much longer than the longest of late a request may
	// take.
	lengthMargin = 1.5
	// lengthDecay is what is left of the longest time with each request that
	// took less, so that an outlier counts for some hundred requests.
	lengthDecay = 0.995
	// elsewherePause is when a caller asks again that met a router which stops:
	// the next connection leads to another one.
	elsewherePause = 50 * time.Millisecond
)

func newLastCall() *lastCall {
	return &lastCall{longest: map[string]time.Duration{}}
}

// stop begins a stop.
func (l *lastCall) stop(from, end time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.from, l.end = from, end
}

// Handle implements filter.Filter.
func (l *lastCall) Handle(ctx context.Context, r *filter.Request, next filter.Next) filter.Outcome {
	if !l.takes(r.Passage, time.Now()) {
		return later(refusal.Stopping, "The router is being stopped.", elsewherePause)
	}
	out := next(ctx, r)
	if out.Refusal == nil {
		l.took(r.Passage.Route.Name, time.Since(r.Received))
	}
	return out
}

// takes reports whether a request that comes now will probably end in time.
func (l *lastCall) takes(p *filter.Passage, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.from.IsZero() || now.Before(l.from) {
		return true
	}
	length, known := l.longest[p.Route.Name]
	if !known {
		length = p.Deadline.Sub(now)
	}
	return now.Add(time.Duration(lengthMargin * float64(length))).Before(l.end)
}

func (l *lastCall) took(route string, length time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.longest[route] = max(length, time.Duration(lengthDecay*float64(l.longest[route])))
}
