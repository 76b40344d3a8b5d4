package entry

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/refusal"
)

// stopFilter refuses requests that may not end before the router stops. It
// covers the case that all routers are stopped at nearly the same time, so that
// callers cannot move to another one: requests with a short time limit are still
// served until shortly before the end.
type stopFilter struct {
	log    zerolog.Logger
	events *counter.Set

	mu         sync.Mutex // guards all below
	refuseFrom time.Time  // until then all requests are admitted; zero if the router is not stopping
	abortAt    time.Time  // when requests in progress are aborted
	refuseAll  bool
}

const (
	// answerAllowance is the time between the deadline of a request that is
	// admitted late and the abort. A VM with a small share of a processor may need
	// it to answer that the deadline has passed.
	answerAllowance = 100 * time.Millisecond
	// stoppingRetryAfter is the retry delay for a caller that reached a
	// stopping router: its next connection leads to another one.
	stoppingRetryAfter = 50 * time.Millisecond
)

func newStopFilter(log zerolog.Logger) *stopFilter {
	return &stopFilter{log: log, events: counter.NewSet("stop")}
}

// beginStop sets the time from which requests may be refused, and the time at
// which those in progress are aborted.
func (l *stopFilter) beginStop(refuseFrom, abortAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refuseFrom, l.abortAt = refuseFrom, abortAt
}

// refuseAllFromNow refuses all requests that it has not admitted yet.
func (l *stopFilter) refuseAllFromNow() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refuseAll = true
}

// Handle implements filter.Filter. The body of the request has been read.
func (l *stopFilter) Handle(ctx context.Context, r *filter.Request, next filter.Next) filter.Outcome {
	d := l.decide(r.Passthrough.Deadline, time.Now())
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
	return out
}

// stopDecision is whether a request is admitted while the router stops.
type stopDecision struct {
	late       bool // some requests are refused already
	refusesAll bool
	admitted   bool
	limit      time.Duration // until the deadline of the request
	timeLeft   time.Duration // until requests are aborted
}

// decide admits a request if it is certain to end before requests are aborted. Only
// its deadline makes that certain: a server may take longer than for any request before.
func (l *stopFilter) decide(deadline, now time.Time) stopDecision {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.refuseAll && (l.refuseFrom.IsZero() || now.Before(l.refuseFrom)) {
		return stopDecision{admitted: true}
	}
	d := stopDecision{late: true, refusesAll: l.refuseAll, limit: deadline.Sub(now), timeLeft: l.abortAt.Sub(now)}
	d.admitted = !l.refuseAll && d.limit+answerAllowance <= d.timeLeft
	return d
}

// recordDecision logs an admission at once, since the process may be killed
// before the request ends. A refusal is logged with the request.
func (l *stopFilter) recordDecision(r *filter.Request, d stopDecision) {
	fields := func(e *zerolog.Event) {
		e.Dur("limit", d.limit).Dur("time_left", d.timeLeft).Bool("refuses_all", d.refusesAll)
	}
	if !d.admitted {
		l.events.Inc("refused_late")
		r.Note("request might not end before the router stops", fields)
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
