package forward

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

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
	p := r.Passthrough
	budget := h.retries(p.Service.Name)
	budget.RecordRequest()
	run := &passage{handler: h, request: r, passage: p}
	if p.Route.Resumable {
		run.lastEvent = p.Call.LastEventID
	}
	for {
		placed, ok := h.Placer.Pick(h.Servers.ForService(p.Service.Name), affinity.Query{Key: cacheKey(p), Tried: run.tried})
		if !ok {
			return run.noServer()
		}
		p.Server = placed.Server
		run.notePlaced(placed)
		result := run.attempt(ctx, placed)
		placed.Done()
		run.noteEnd(ctx, placed, result)
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
func cacheKey(p *filter.Passthrough) string {
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
	passage *filter.Passthrough
	tried   []string
	unsent  int

	lastEvent string // the caller got events up to here
}

// again reports whether the request may go to another server.
func (run *passage) again(ctx context.Context, r result, allow func() bool) bool {
	run.tried = append(run.tried, run.passage.Server.ID)
	why := run.obstacle(ctx, r)
	if why == "" && r.verdict != unsent && !allow() {
		why = "retry_budget_spent"
	}
	if why != "" {
		run.handler.counters.Inc("no_retry_" + why)
		run.request.Note("no retry", func(e *zerolog.Event) { e.Str("reason", why) })
		return false
	}
	run.handler.counters.Inc("retry_" + names[r.verdict])
	run.request.Note("retry", func(e *zerolog.Event) { e.Str("reason", names[r.verdict]) })
	return true
}

// obstacle returns why a request must not go to another server, nothing if it
// may.
func (run *passage) obstacle(ctx context.Context, r result) string {
	p := run.passage
	switch {
	case errors.Is(r.cause, errCallerGone):
		return "caller_gone"
	case ctx.Err() != nil || time.Until(p.Deadline) < leastLeft:
		return "deadline"
	case r.verdict == unsent:
		run.unsent++
		if run.unsent >= maxUnsent {
			return "unreachable"
		}
		return ""
	case p.Sends >= p.Route.MaxAttempts:
		return "attempts_spent"
	case r.verdict == cutOff && (!p.Route.Resumable || run.lastEvent == ""):
		return "answer_began"
	case (r.verdict == failed || r.verdict == failedByRun) && !p.Route.AllowsRerun():
		return "may_have_run"
	case !run.another():
		return "no_other_server"
	default:
		return ""
	}
}

// another reports whether there is a server that was not tried.
func (run *passage) another() bool {
	for _, s := range run.handler.Servers.ForService(run.passage.Service.Name) {
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
			ran = refusal.MayHaveRun
		}
		return filter.Refused(refusal.CallerDisconnected, ran, "The caller has left.")
	case r.verdict == failedByRun && !run.request.Writer.Started():
		return run.give(r.answer)
	case run.request.Writer.Started():
		return filter.Refused(refusal.BackendFailed, refusal.DidRun, "The answer broke off.")
	case p.MayHaveRun && errors.Is(ctx.Err(), context.DeadlineExceeded):
		return filter.Refused(refusal.DeadlineExceeded, refusal.MayHaveRun, "The server did not answer in time.")
	case p.MayHaveRun:
		return run.unknown("The server did not answer.")
	case errors.Is(r.cause, errReplaced):
		out := notRun(refusal.NoServer, "The server was replaced.")
		out.Refusal.RetryAfter = 0 // the others are not affected
		return out
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
	return filter.Refused(refusal.OutcomeUnknown, refusal.MayHaveRun, message)
}

// notRun refuses a request that no server has begun and none will.
func notRun(code refusal.Code, message string) filter.Outcome {
	out := filter.Refused(code, refusal.NotRun, message)
	out.Refusal.RetryAfter = comeBack/2 + rand.N(comeBack)
	return out
}

// notePlaced records the choice of a server with what it was decided by. What a
// router knows of its own requests is never old.
func (run *passage) notePlaced(placed *affinity.Placed) {
	key := cacheKey(run.passage)
	candidates := len(run.handler.Servers.ForService(run.passage.Service.Name))
	run.request.Note("server chosen", func(e *zerolog.Event) {
		e.Str("server", placed.Server.ID).Str("address", placed.Server.Address).Int64("entry", placed.Server.Sequence).
			Str("cache_key", key).Int("in_flight", placed.InFlight).Float64("mean", placed.Mean).Float64("burden", placed.Burden).
			Int("candidates", candidates).Bool("suspect", placed.Suspect)
	})
}

// noteEnd records how an attempt ended and lets the placement learn from it.
func (run *passage) noteEnd(ctx context.Context, placed *affinity.Placed, result result) {
	p := run.passage
	p.LastResult = names[result.verdict]
	run.handler.counters.Inc("attempt_" + p.LastResult)
	var avoided time.Duration
	switch {
	case errors.Is(result.cause, errReplaced):
		placed.Replaced()
		run.handler.Log.Info().Str("server", placed.Server.ID).Str("address", placed.Server.Address).
			Int64("entry", placed.Server.Sequence).Msg("server was replaced")
	case result.verdict == delivered || result.verdict == failedByRun:
		placed.Answered(result.verdict == failedByRun)
	case result.verdict == notExecuted:
		placed.Refused()
	case ctx.Err() == nil && !errors.Is(result.cause, errCallerGone):
		avoided = placed.Failed()
		run.handler.Log.Info().Str("server", placed.Server.ID).Str("address", placed.Server.Address).
			Dur("avoided", avoided).AnErr("cause", result.cause).Msg("server is suspect")
	}
	sends, events := p.Sends, p.EventsDelivered
	run.request.Note("attempt ended", func(e *zerolog.Event) {
		e.Str("server", placed.Server.ID).Str("outcome", names[result.verdict]).AnErr("cause", result.cause).
			Int("sends", sends).Int64("events", events).Dur("avoided", avoided)
	})
}

var errCallerGone = errors.New("caller is gone")

// streams reports whether a route's answers are streams of events.
func streams(r *catalog.Route) bool {
	return r.Kind == catalog.Streaming
}
