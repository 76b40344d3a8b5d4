package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/refusal"
)

// stopFilter refuses requests that would not end before the router stops. It
// covers the case that all routers are stopped at nearly the same time, so that
// callers cannot move to another one: short requests are still served until
// shortly before the end.
type stopFilter struct {
	log    zerolog.Logger
	events *counter.Set

	mu         sync.Mutex // guards all below
	durations  *durationEstimator
	refuseFrom time.Time // until then all requests are admitted; zero if the router is not stopping
	abortAt    time.Time // when requests in progress are aborted
}

const (
	// durationMargin is the factor by which a request may exceed its estimated
	// duration.
	durationMargin = 1.5
	// stoppingRetryAfter is the retry delay for a caller that reached a
	// stopping router: its next connection leads to another one.
	stoppingRetryAfter = 50 * time.Millisecond
)

func newStopFilter(log zerolog.Logger) *stopFilter {
	return &stopFilter{log: log, events: counter.NewSet("stop"), durations: newDurationEstimator()}
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
	d := l.decide(r.Passthrough, time.Now())
	if d.late {
		l.recordDecision(r, d)
		if !d.admitted {
			return refuseWithRetryAfter(refusal.Stopping, "The router is being stopped.", stoppingRetryAfter)
		}
	}
	out := next(ctx, r)
	if d.late {
		l.recordEnd(ctx, r, out)
	}
	if out.Refusal == nil && r.Writer.Status < http.StatusMultipleChoices {
		l.recordDuration(r.Passthrough, time.Since(r.Received))
	}
	return out
}

// stopDecision is whether a request is admitted while the router stops.
type stopDecision struct {
	late      bool // some requests are refused already
	admitted  bool
	estimated bool          // from comparable requests before
	duration  time.Duration // that the request may take, with the margin
	timeLeft  time.Duration // until requests are aborted
}

// decide admits a request that is received now if it will probably end before
// requests are aborted. It may take as long as requests of its kind took, or until
// its deadline if no comparable ones were recorded.
func (l *stopFilter) decide(p *filter.Passthrough, now time.Time) stopDecision {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.refuseFrom.IsZero() || now.Before(l.refuseFrom) {
		return stopDecision{admitted: true}
	}
	longest := p.Deadline.Sub(now)
	expected, estimated := l.durations.estimate(p)
	if estimated {
		longest = min(longest, expected)
	}
	d := stopDecision{late: true, estimated: estimated, duration: time.Duration(durationMargin * float64(longest)), timeLeft: l.abortAt.Sub(now)}
	d.admitted = d.duration < d.timeLeft
	return d
}

// recordDecision logs an admission at once, since the process may be killed
// before the request ends. A refusal is logged with the request.
func (l *stopFilter) recordDecision(r *filter.Request, d stopDecision) {
	fields := func(e *zerolog.Event) {
		e.Dur("duration", d.duration).Bool("estimated", d.estimated).Dur("time_left", d.timeLeft).Int64("max_events", maxEvents(r.Passthrough))
	}
	if !d.admitted {
		l.events.Inc("refused_late")
		r.Note("request would not end before the router stops", fields)
		return
	}
	l.events.Inc("admitted_late")
	event := l.log.Info().Str("request", r.Passthrough.Call.Attempt).Dur("at", time.Since(r.Received)).Str("route", r.Passthrough.Route.Name)
	fields(event)
	event.Msg("request admitted late in a stop")
}

// recordEnd logs the end of a request that was admitted late, also if it was answered.
func (l *stopFilter) recordEnd(ctx context.Context, r *filter.Request, out filter.Outcome) {
	outcome := "answered"
	if out.Refusal != nil {
		outcome = string(out.Refusal.Code)
	}
	aborted := errors.Is(context.Cause(ctx), filter.ErrStopping)
	if aborted {
		l.events.Inc("aborted_late")
	}
	l.mu.Lock()
	timeLeft := time.Until(l.abortAt)
	l.mu.Unlock()
	l.log.Info().Str("request", r.Passthrough.Call.Attempt).Dur("at", time.Since(r.Received)).Str("outcome", outcome).
		Int("status_sent", r.Writer.Status).Bool("aborted", aborted).Dur("time_left", timeLeft).Msg("request admitted late in a stop has ended")
}

// recordDuration records how long a request was in progress that was answered.
func (l *stopFilter) recordDuration(p *filter.Passthrough, duration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.durations.record(p, duration)
}
