package forward

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/camphorlever/camphorlever/internal/affinity"
	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/membership"
	"github.com/camphorlever/camphorlever/internal/quarantine"
	"github.com/camphorlever/camphorlever/internal/refusal"
	"github.com/camphorlever/camphorlever/internal/sequence"
)

// Limits on the attempts of one request.
const (
	// maxUnsentAttempts limits the attempts that did not reach a server. Each
	// costs a connection attempt but executes nothing.
	maxUnsentAttempts = 4
	// minTimeLeft is the time that must remain until the deadline for another
	// attempt. No request completes in less.
	minTimeLeft = 20 * time.Millisecond
	// retryAfterBase is the mean Retry-After of a request that no server could
	// take. It is randomized so that the callers do not all retry at once.
	retryAfterBase = 250 * time.Millisecond
)

// outcome is how an attempt ended.
type outcome uint8

const (
	delivered      outcome = iota // the caller received the complete response
	notSent                       // the request did not reach the server
	notExecuted                   // the server reported that it did not execute the request
	failed                        // the request may have run, and there is no usable response
	failedByServer                // the server executed the request and returned an error
	cutOff                        // the response broke off after a part was sent to the caller
)

// result describes how an attempt ended.
type result struct {
	outcome  outcome
	cause    error
	unframed bool      // delivered, but the end of the connection was taken for that of the response
	response *response // of failedByServer; nil if it would tell the caller something untrue
}

// Handle implements filter.Filter.
func (h *handler) Handle(ctx context.Context, r *filter.Request, _ filter.Next) filter.Outcome {
	p := r.Passthrough
	budget := h.retryBudget(p.Service.Name)
	budget.RecordRequest()
	run := &passthrough{handler: h, request: r, passthrough: p, events: sequence.New(resumeAfter(p), p.Call.MaxOutput)}
	var last result
	for {
		h.Gate.Refresh(ctx)
		placed, ok := h.Placer.Pick(run.servers(), run.query())
		if !ok && last.outcome == failedByServer {
			return run.finalOutcome(ctx, last) // the others were cold or paused when it was to be retried
		}
		if !ok {
			return run.noServerLeft()
		}
		attemptCtx, cancel := context.WithCancelCause(ctx)
		if verdict := run.startAttempt(placed, cancel); verdict.Blocked {
			cancel(nil)
			placed.Done()
			return run.withheld(ctx, verdict, last)
		}
		p.Server = placed.Server
		run.recordPlacement(placed)
		sentAt := time.Now()
		last = run.attempt(attemptCtx, placed)
		cancel(nil)
		placed.Done()
		run.recordForQuarantine(ctx, placed.Server, sentAt, last)
		run.recordAttempt(ctx, placed, last)
		if last.outcome == delivered {
			return filter.Answered()
		}
		if mayRetry := run.mayRetry(ctx, last, budget.Allow); mayRetry {
			continue
		}
		return run.finalOutcome(ctx, last)
	}
}

// resumeAfter returns the event after which the caller wants to resume a stream, empty if it
// wants all of it or the route's streams cannot be resumed.
func resumeAfter(p *filter.Passthrough) string {
	if !p.Route.Resumable {
		return ""
	}
	return p.Call.LastEventID
}

// cacheKey returns the ID of the prompt part that selects the server with a warm
// cache: the last part that other requests share. The final part is taken to be
// unique to the request, so the key is the one before it, if there is one.
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

// query describes the request to the placer.
func (run *passthrough) query() affinity.Query {
	call := &run.passthrough.Call
	q := affinity.Query{Key: cacheKey(run.passthrough), Tried: run.tried, PromptTokens: call.PromptTokens}
	if n := len(call.Parts); n > 0 {
		q.UniqueTokens = call.Parts[n-1].Tokens
	}
	return q
}

// passthrough is the state of one request across its attempts.
type passthrough struct {
	handler     *handler
	request     *filter.Request
	passthrough *filter.Passthrough
	tried       []string
	notSent     int

	retryReserved atomic.Bool // the budget has granted another attempt

	events *sequence.Sequence // of a stream, sent to the caller

	quarantine *quarantine.Attempt // the present attempt, or the last one
}

// mayRetry reports whether the request may be retried on another server, and
// logs the decision.
func (run *passthrough) mayRetry(ctx context.Context, r result, allowedByBudget func() bool) bool {
	run.tried = append(run.tried, run.passthrough.Server.ID)
	obstacle := run.retryObstacle(ctx, r)
	if obstacle == "" && r.outcome != notSent && !run.retryReserved.Swap(false) && !allowedByBudget() {
		obstacle = "retry_budget_spent"
	}
	if obstacle != "" {
		run.handler.counters.Inc("no_retry_" + obstacle)
		run.request.Note("request not retried", func(e *zerolog.Event) { e.Str("reason", obstacle) })
		return false
	}
	run.handler.counters.Inc("retry_" + outcomeNames[r.outcome])
	run.request.Note("retrying on another backend server", func(e *zerolog.Event) { e.Str("reason", outcomeNames[r.outcome]) })
	return true
}

// retryObstacle returns why the request must not be retried on another server, or
// an empty string if it may. The result is a part of a counter name.
func (run *passthrough) retryObstacle(ctx context.Context, r result) string {
	p := run.passthrough
	switch {
	case errors.Is(r.cause, errCallerDisconnected):
		return "caller_gone"
	case errors.Is(r.cause, errQuarantined):
		return "quarantined"
	case ctx.Err() != nil || time.Until(p.Deadline) < minTimeLeft:
		return "deadline"
	case errors.Is(r.cause, errWithheld):
		return "" // another server may be chosen; withheld attempts cost nothing and do not count
	case r.outcome == notSent:
		run.notSent++
		if run.notSent >= maxUnsentAttempts {
			return "unreachable"
		}
		return ""
	case p.Sends >= p.Route.MaxAttempts:
		return "attempts_spent"
	case r.outcome == cutOff && (!p.Route.Resumable || !run.events.CanResume()):
		return "answer_began"
	case (r.outcome == failed || r.outcome == failedByServer) && !p.Route.AllowsRerun():
		return "may_have_run"
	case !run.availability().Available:
		return "no_other_server"
	default:
		return ""
	}
}

// servers returns the servers that may get the request: those of the service, in the
// regions that the route and the account allow.
func (run *passthrough) servers() []membership.Server {
	p := run.passthrough
	all := run.handler.Servers.ForService(p.Service.Name)
	if !p.Route.RestrictsRegions(p.Account) {
		return all
	}
	allowed := make([]membership.Server, 0, len(all))
	for _, s := range all {
		if p.Route.AllowsRegion(p.Account, run.handler.Regions[s.DataCentre]) {
			allowed = append(allowed, s)
		}
	}
	return allowed
}

// availability returns whether the service has a server that this request has not tried
// yet and that did not ask for a pause.
func (run *passthrough) availability() affinity.Availability {
	return run.handler.Placer.Availability(run.servers(), run.tried)
}

var outcomeNames = map[outcome]string{
	delivered:      "delivered",
	notSent:        "unsent",
	notExecuted:    "not_executed",
	failed:         "failed",
	failedByServer: "failed_by_server",
	cutOff:         "cut_off",
}

// noServerLeft ends a request for which the placer returned no server.
func (run *passthrough) noServerLeft() filter.Outcome {
	run.handler.counters.Inc("no_server")
	if run.passthrough.MayHaveRun {
		return run.outcomeUnknown("No other server is left.")
	}
	return run.refuseWithoutServer(refusal.NoServer, "No server of the service can take the request.")
}

// refuseWithoutServer refuses a request that no server has executed. If all servers asked
// for a pause, callers are told to come back over the time in which the servers return.
func (run *passthrough) refuseWithoutServer(code refusal.Code, message string) filter.Outcome {
	a := run.handler.Placer.Availability(run.servers(), nil)
	if a.Available || a.PausedUntil.IsZero() {
		return refuseNotRun(code, message)
	}
	run.handler.counters.Inc("servers_paused")
	out := filter.Refused(refusal.Overloaded, refusal.NotRun, "The servers asked for a pause.")
	out.Refusal.RetryAfter = time.Until(a.PausedUntil) + rand.N(affinity.ReturnPeriod)
	return out
}

// finalOutcome returns the outcome of a request after its last attempt.
func (run *passthrough) finalOutcome(ctx context.Context, r result) filter.Outcome {
	p := run.passthrough
	switch {
	case errors.Is(r.cause, errCallerDisconnected):
		ran := refusal.NotRun
		if p.MayHaveRun {
			ran = refusal.MayHaveRun
		}
		return filter.Refused(refusal.CallerDisconnected, ran, "The caller has left.")
	case r.outcome == failedByServer && r.response != nil && !run.request.Writer.Started():
		return run.returnServerFailure(r.response)
	case run.request.Writer.Started():
		return filter.Refused(refusal.BackendFailed, refusal.DidRun, "The answer broke off.")
	case errors.Is(context.Cause(ctx), filter.ErrStopping) && p.MayHaveRun:
		return run.outcomeUnknown("The router was stopped before the server answered.")
	case errors.Is(context.Cause(ctx), filter.ErrStopping):
		return refuseNotRun(refusal.Stopping, "The router is being stopped.")
	case p.MayHaveRun && errors.Is(ctx.Err(), context.DeadlineExceeded):
		return filter.Refused(refusal.DeadlineExceeded, refusal.MayHaveRun, "The server did not answer in time.")
	case p.MayHaveRun:
		return run.outcomeUnknown("The server did not answer.")
	case errors.Is(r.cause, errServerReplaced):
		out := refuseNotRun(refusal.NoServer, "The server was replaced.")
		out.Refusal.RetryAfter = 0 // other servers are not affected, the caller can retry at once
		return out
	case r.outcome == notExecuted:
		return run.refuseWithoutServer(refusal.Overloaded, "The servers are full.")
	default:
		return refuseNotRun(refusal.NoServer, "No server could be reached.")
	}
}

// outcomeUnknown refuses a request that may have run on a server.
func (run *passthrough) outcomeUnknown(message string) filter.Outcome {
	if run.request.Writer.Started() {
		return filter.Refused(refusal.BackendFailed, refusal.DidRun, "The answer broke off.")
	}
	return filter.Refused(refusal.OutcomeUnknown, refusal.MayHaveRun, message)
}

// refuseNotRun refuses a request that no server has executed or will execute. It
// sets a randomized Retry-After.
func refuseNotRun(code refusal.Code, message string) filter.Outcome {
	out := filter.Refused(code, refusal.NotRun, message)
	out.Refusal.RetryAfter = retryAfterBase/2 + rand.N(retryAfterBase)
	return out
}

// recordPlacement adds the chosen server and the inputs of the choice to the
// request's log trail. In-flight counts and health come from this router's own requests
// and are always current; the age of the loads of other routers is logged with them.
func (run *passthrough) recordPlacement(placed *affinity.Placement) {
	key := cacheKey(run.passthrough)
	candidates := len(run.servers())
	run.request.Note("backend server chosen", func(e *zerolog.Event) {
		e.Str("server", placed.Server.ID).Str("address", placed.Server.Address).Int64("entry", placed.Server.Sequence).
			Str("cache_key", key).Int("in_flight", placed.InFlight).Float64("mean", placed.MeanInFlight).Float64("burden", placed.LoadPenalty).
			Int("candidates", candidates).Bool("suspect", placed.Suspect).Bool("cold", placed.Cold)
		if placed.View.Shared > 0 {
			e.Float64("load", placed.Load).Float64("mean_load", placed.MeanLoad).
				Float64("shared", placed.View.Shared).Dur("view_age", placed.View.Age)
		}
	})
}

// recordAttempt reports the result of an attempt to the placer and adds it to the
// counters and the request's log trail.
func (run *passthrough) recordAttempt(ctx context.Context, placed *affinity.Placement, result result) {
	p := run.passthrough
	p.LastResult = outcomeNames[result.outcome]
	run.handler.counters.Inc("attempt_" + p.LastResult)
	var avoidFor time.Duration
	switch {
	case errors.Is(result.cause, errServerReplaced):
		placed.MarkReplaced()
		run.handler.Log.Info().Str("server", placed.Server.ID).Str("address", placed.Server.Address).
			Int64("entry", placed.Server.Sequence).Msg("backend server was replaced")
	case result.outcome == delivered || result.outcome == failedByServer:
		placed.RecordAnswer(result.outcome == failedByServer)
	case result.outcome == notExecuted:
		placed.RecordRefusal()
	case ctx.Err() == nil && !errors.Is(result.cause, errCallerDisconnected) && !errors.Is(result.cause, errQuarantined) &&
		!errors.Is(result.cause, errWithheld):
		avoidFor = placed.MarkFailed()
		run.handler.Log.Info().Str("server", placed.Server.ID).Str("address", placed.Server.Address).
			Str("request", p.Call.Attempt).Strs("prompt_parts", loggedParts(p.Call.Parts)).Int64("events", p.EventsDelivered).
			Int64("unnumbered", run.events.Unnumbered()).Str("last_event", run.loggedLastEvent()).Int64("bytes", run.request.Writer.Bytes).
			Dur("avoided", avoidFor).AnErr("cause", result.cause).Msg("backend server is avoided after a failed attempt")
	}
	sends, events, unnumbered, lastEvent, bytes := p.Sends, p.EventsDelivered, run.events.Unnumbered(), run.loggedLastEvent(), run.request.Writer.Bytes
	run.request.Note("attempt ended", func(e *zerolog.Event) {
		e.Str("server", placed.Server.ID).Str("outcome", outcomeNames[result.outcome]).AnErr("cause", result.cause).
			Int("sends", sends).Int64("events", events).Int64("unnumbered", unnumbered).Str("last_event", lastEvent).
			Int64("bytes", bytes).Dur("avoided", avoidFor)
	})
}

// Limits on the IDs in a log line, since callers and servers choose their length.
const (
	maxLoggedParts   = 8
	maxLoggedPartID  = 32 // bytes
	maxLoggedEventID = 32 // bytes
)

// loggedLastEvent returns the ID of the last event, shortened.
func (run *passthrough) loggedLastEvent() string {
	id := run.events.LastEventID()
	return id[:min(len(id), maxLoggedEventID)]
}

// loggedParts returns the IDs of the first prompt parts, shortened.
func loggedParts(parts []filter.PromptPart) []string {
	ids := make([]string, 0, min(len(parts), maxLoggedParts))
	for _, part := range parts[:min(len(parts), maxLoggedParts)] {
		ids = append(ids, part.ID[:min(len(part.ID), maxLoggedPartID)])
	}
	return ids
}

var errCallerDisconnected = errors.New("caller disconnected")
