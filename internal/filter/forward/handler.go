package forward

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/affinity"
	"github.com/camphorlever/camphorlever/internal/catalog"
	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/refusal"
)

// Limits of the attempts of one request.
const (
	// maxUnsent bounds the attempts that did not reach a server. They cost a
	// connection each and run nothing.
	maxUnsent = 4
	// leastLeft is what must be left of the deadline for another attempt: less
	// than any work takes.
	leastLeft = 20 * time.Millisecond
	// comeBack is about when a caller returns whose request found no room. A
	// random part spreads the callers.
	comeBack = 250 * time.Millisecond
)

// verdict is how an attempt ended.
type verdict uint8

const (
	delivered   verdict = iota // the caller has the whole answer
	unsent                     // it did not reach the server
	notExecuted                // the server says that it did not run it
	failed                     // it may have run, and there is no answer
	failedByRun                // the server ran it and answered with a failure
	cutOff                     // the caller has a part of the answer
)

// result is the end of an attempt.
type result struct {
	verdict verdict
	cause   error
	answer  *answer // of failedByRun: what the server answered
}

// Handle implements filter.Filter.
func (h *handler) Handle(ctx context.Context, r *filter.Request, _ filter.Next) filter.Outcome {
	p := r.Passage
	budget := h.retries(p.Service.Name)
	budget.Request()
	run := &passage{handler: h, request: r, passage: p}
	if p.Route.Resumable {
		run.lastEvent = p.Call.LastEvent
	}
	for {
		placed, ok := h.Placer.Pick(h.Servers.Of(p.Service.Name), affinity.Query{Key: cacheKey(p), Tried: run.tried})
		if !ok {
			return run.noServer()
		}
		p.Server = placed.Server
		result := run.attempt(ctx, placed)
		placed.Done()
		h.note(r, placed, result)
		if result.verdict == delivered {
			return filter.Answered()
		}
		if again := run.again(ctx, result, budget.Allow); again {
			continue
		}
		return run.end(ctx, result)
	}
}

// cacheKey names the part of a prompt by which requests find the server that
// has it in its cache: the last one that other requests share.
func cacheKey(p *filter.Passage) string {
	parts := p.Call.Parts
	switch {
	case len(parts) == 0:
		return ""
	case len(parts) == 1:
		return parts[0].ID
	default:
		return parts[len(parts)-2].ID
	}
}

// passage is the state of one request through its attempts.
type passage struct {
	handler *handler
	request *filter.Request
	passage *filter.Passage
	tried   []string
	unsent  int

	lastEvent string // the caller got events up to here
}

// again reports whether the request may go to another server.
func (run *passage) again(ctx context.Context, r result, allow func() bool) bool {
	p := run.passage
	run.tried = append(run.tried, p.Server.ID)
	if ctx.Err() != nil || time.Until(p.Deadline) < leastLeft {
		return false
	}
	if r.verdict == unsent {
		run.unsent++
		return run.unsent < maxUnsent
	}
	if p.Sends >= p.Route.Attempts {
		return false
	}
	switch r.verdict {
	case notExecuted:
	case failed, failedByRun:
		if !p.Route.Repeats() {
			return false
		}
	case cutOff:
		if !p.Route.Resumable || run.lastEvent == "" {
			return false
		}
	}
	if !run.another() {
		return false
	}
	if !allow() {
		run.handler.counters.Inc("retry_budget_spent")
		return false
	}
	run.handler.counters.Inc("retry_" + names[r.verdict])
	return true
}

// another reports whether there is a server that was not tried.
func (run *passage) another() bool {
	for _, s := range run.handler.Servers.Of(run.passage.Service.Name) {
		if !contains(run.tried, s.ID) {
			return true
		}
	}
	return false
}

func contains(list []string, id string) bool {
	for _, s := range list {
		if s == id {
			return true
		}
	}
	return false
}

var names = map[verdict]string{
	delivered:   "delivered",
	unsent:      "unsent",
	notExecuted: "not_executed",
	failed:      "failed",
	failedByRun: "failed_by_server",
	cutOff:      "cut_off",
}

// noServer ends a request for which no server is left.
func (run *passage) noServer() filter.Outcome {
	run.handler.counters.Inc("no_server")
	if run.passage.MayHaveRun {
		return run.unknown("No other server is left.")
	}
	return notRun(refusal.NoServer, "No server of the service can take the request.")
}

// end ends a request after its last attempt.
func (run *passage) end(ctx context.Context, r result) filter.Outcome {
	p := run.passage
	switch {
	case errors.Is(r.cause, errCallerGone):
		ran := refusal.NotRun
		if p.MayHaveRun {
			ran = refusal.Unknown
		}
		return filter.Refused(refusal.CallerGone, ran, "The caller has left.")
	case r.verdict == failedByRun && !run.request.Writer.Started():
		return run.give(r.answer)
	case run.request.Writer.Started():
		return filter.Refused(refusal.BackendFailed, refusal.DidRun, "The answer broke off.")
	case p.MayHaveRun && errors.Is(ctx.Err(), context.DeadlineExceeded):
		return filter.Refused(refusal.DeadlineExceeded, refusal.Unknown, "The server did not answer in time.")
	case p.MayHaveRun:
		return run.unknown("The server did not answer.")
	case r.verdict == notExecuted:
		return notRun(refusal.Overloaded, "The servers are full.")
	default:
		return notRun(refusal.NoServer, "No server could be reached.")
	}
}

func (run *passage) unknown(message string) filter.Outcome {
	if run.request.Writer.Started() {
		return filter.Refused(refusal.BackendFailed, refusal.DidRun, "The answer broke off.")
	}
	return filter.Refused(refusal.OutcomeUnknown, refusal.Unknown, message)
}

// notRun refuses a request that no server has begun and none will.
func notRun(code refusal.Code, message string) filter.Outcome {
	out := filter.Refused(code, refusal.NotRun, message)
	out.Refusal.RetryAfter = comeBack/2 + rand.N(comeBack)
	return out
}

// note logs how an attempt ended and lets the placement learn from it.
func (h *handler) note(r *filter.Request, placed *affinity.Placed, result result) {
	p := r.Passage
	p.Ended = names[result.verdict]
	h.counters.Inc("attempt_" + p.Ended)
	switch result.verdict {
	case delivered, failedByRun:
		placed.Answered()
		return
	}
	event := h.Log.Info().Str("request", p.Call.Attempt).Str("server", placed.Server.ID).
		Str("address", placed.Server.Address).Int("in_flight", placed.InFlight).Float64("mean", placed.Mean).
		Int64("settings", p.Settings.Version).Str("outcome", p.Ended).AnErr("cause", result.cause).
		Dur("age", time.Since(r.Received))
	if result.verdict != notExecuted && !errors.Is(result.cause, errCallerGone) && time.Now().Before(p.Deadline) {
		event = event.Dur("avoided", placed.Failed())
	}
	event.Msg("attempt ended")
}

var errCallerGone = errors.New("caller is gone")

// streams reports whether a route's answers are streams of events.
func streams(r *catalog.Route) bool {
	return r.Kind == catalog.Stream
}
