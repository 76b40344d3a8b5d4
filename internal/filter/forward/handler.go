package forward

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/camphorlever/camphorlever/internal/affinity"
	"github.com/camphorlever/camphorlever/internal/filter"
	quarantinefilter "github.com/camphorlever/camphorlever/internal/filter/quarantine"
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
	overtaken                     // the request may have run, and another server's response was used
)

// result describes how an attempt ended.
type result struct {
	outcome  outcome
	cause    error
	unframed bool      // delivered, but the end of the connection was taken for that of the response
	response *response // of failedByServer; nil if it would tell the caller something untrue
}

// tellsMore reports whether the result of a hedge says more than that of a failed attempt: the
// caller may get its response, or has left.
func (r result) tellsMore() bool {
	return r.response != nil || errors.Is(r.cause, errCallerDisconnected)
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
		a, verdict, ok := run.begin(ctx, run.tried, run.previous)
		switch {
		case !ok && last.outcome == failedByServer:
			return run.finalOutcome(ctx, last) // the others were cold or paused when it was to be retried
		case !ok:
			return run.noServerLeft()
		case verdict.Blocked:
			return run.withheld(ctx, verdict, last)
		}
		last = run.serve(ctx, a)
		if last.outcome == delivered {
			return filter.Answered()
		}
		if mayRetry := run.mayRetry(ctx, last, budget.Allow); mayRetry {
			continue
		}
		return run.finalOutcome(ctx, last)
	}
}

// serve has a server serve the request with an attempt, or another server with a hedge that takes
// its place. It returns the result of the last one, or of a hedge that brought a failure which the
// caller may get.
func (run *passthrough) serve(ctx context.Context, a *attempt) result {
	run.notePlacement(a, "backend server chosen")
	for {
		run.passthrough.Server = a.placed.Server
		h := run.startHedging(ctx, a)
		r := run.attempt(a, h)
		run.concludeAttempt(ctx, a, r)
		winner, lost := h.end(r)
		for _, l := range lost {
			run.tried = append(run.tried, l.attempt.placed.Server.ID)
			run.count(l.result.outcome)
			if r.outcome != delivered && r.response == nil && l.result.tellsMore() {
				r = l.result
			}
		}
		if winner == nil {
			return r
		}
		run.count(delivered)
		a = winner
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

// query describes the request to the placer, for a server other than those tried.
func (run *passthrough) query(tried []string) affinity.Query {
	call := &run.passthrough.Call
	q := affinity.Query{Key: cacheKey(run.passthrough), Tried: tried, PromptTokens: call.PromptTokens}
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

	events *sequence.Sequence // of a stream, sent to the caller

	previous *quarantine.Attempt // of the last attempt that has ended
}

// mayRetry reports whether the request may be retried on another server, and
// logs the decision.
func (run *passthrough) mayRetry(ctx context.Context, r result, allowedByBudget func() bool) bool {
	obstacle := run.retryObstacle(ctx, r)
	if obstacle == "" && r.outcome != notSent && !allowedByBudget() {
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
	case r.outcome == cutOff && (!p.Route.Resumable || !run.events.Started() || !run.events.CanResume()):
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
	overtaken:      "overtaken",
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

// withheld ends a request that must not be sent any more. Earlier attempts may have run.
func (run *passthrough) withheld(ctx context.Context, verdict quarantine.Verdict, last result) filter.Outcome {
	out := quarantinefilter.Refuse(run.request, verdict)
	if run.passthrough.MayHaveRun || run.request.Writer.Started() {
		return run.finalOutcome(ctx, last)
	}
	return out
}

// notePlacement adds the server of an attempt and the inputs of its choice to the
// request's log trail. In-flight counts and health come from this router's own requests
// and are always current; the age of the loads of other routers is logged with them.
func (run *passthrough) notePlacement(a *attempt, message string) {
	key, placed := cacheKey(run.passthrough), a.placed
	candidates := len(run.servers())
	run.request.Note(message, func(e *zerolog.Event) {
		e.Str("server", placed.Server.ID).Str("address", placed.Server.Address).Int64("entry", placed.Server.Sequence).
			Str("cache_key", key).Int("in_flight", placed.InFlight).Float64("mean", placed.MeanInFlight).Float64("burden", placed.LoadPenalty).
			Int("candidates", candidates).Bool("suspect", placed.Suspect).Bool("cold", placed.Cold)
		if placed.View.Shared > 0 {
			e.Float64("load", placed.Load).Float64("mean_load", placed.MeanLoad).
				Float64("shared", placed.View.Shared).Dur("view_age", placed.View.Age)
		}
	})
}

// concludeAttempt concludes an attempt that is no hedge, or no longer one, and adds its result to
// the request's log trail.
func (run *passthrough) concludeAttempt(ctx context.Context, a *attempt, r result) {
	p, server := run.passthrough, a.placed.Server
	p.LastResult = outcomeNames[r.outcome]
	run.tried, run.previous = append(run.tried, server.ID), a.quarantine
	d := delivery{events: p.EventsDelivered, unnumbered: run.events.Unnumbered(), lastEvent: run.loggedLastEvent(), bytes: run.request.Writer.Bytes}
	avoidFor, sends := run.conclude(ctx, a, r, d), p.Sends
	run.request.Note("attempt ended", func(e *zerolog.Event) {
		e.Str("server", server.ID).Str("outcome", outcomeNames[r.outcome]).AnErr("cause", r.cause).
			Int("sends", sends).Int64("events", d.events).Int64("unnumbered", d.unnumbered).Str("last_event", d.lastEvent).
			Int64("bytes", d.bytes).Dur("avoided", avoidFor)
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
