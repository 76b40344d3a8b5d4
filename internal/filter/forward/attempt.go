package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/affinity"
	"github.com/camphorlever/camphorlever/internal/catalog"
	"github.com/camphorlever/camphorlever/internal/quarantine"
	"github.com/camphorlever/camphorlever/internal/upstream"
	"github.com/camphorlever/camphorlever/internal/urgency"
)

var (
	errWithheld       = errors.New("server must not get the request any more")
	errServerReplaced = errors.New("address now belongs to another server")
	errNotFromServer  = errors.New("response was not written by the server, or was changed on the way")
	errQuarantined    = errors.New("a part of the prompt crashes servers")
)

// attempt sends a request to one server.
type attempt struct {
	placed     *affinity.Placement
	quarantine *quarantine.Attempt // nil if it is not registered
	ctx        context.Context
	cancel     context.CancelCauseFunc
	begunAt    time.Time
	received   *received // nil until a response has begun that may be used

	avoidOnce sync.Once
	avoided   time.Duration
}

// begin chooses a server that was not tried for a request, and registers the attempt with the
// quarantine, after an earlier attempt or nil. It returns false if there is no server; conclude
// must follow otherwise, unless the verdict withholds the request.
func (run *passthrough) begin(ctx context.Context, tried []string, previous *quarantine.Attempt) (*attempt, quarantine.Verdict, bool) {
	placed, ok := run.handler.Placer.Pick(run.servers(), run.query(tried))
	if !ok {
		return nil, quarantine.Verdict{}, false
	}
	a := &attempt{placed: placed, begunAt: time.Now()}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	registered, verdict := run.handler.Quarantine.Start(placed.Server, run.passthrough.QuarantineParts, previous,
		func() { a.cancel(errQuarantined) })
	if verdict.Blocked {
		a.cancel(nil)
		placed.Done()
		return nil, verdict, true
	}
	a.quarantine = registered
	return a, verdict, true
}

// recordFirstResponse records that the server has begun to respond.
func (a *attempt) recordFirstResponse(route *catalog.Route) {
	a.placed.RecordFirstResponse(route.Name, time.Since(a.begunAt))
}

// avoidServer has the server avoided for a time, and returns that time. It has an effect once.
func (a *attempt) avoidServer() time.Duration {
	a.avoidOnce.Do(func() { a.avoided = a.placed.MarkFailed() })
	return a.avoided
}

// attempt sends the request to one server, unless a hedge has done so, and forwards its response
// to the caller if it can be used and no hedge has been faster.
func (run *passthrough) attempt(a *attempt, h *hedging) result {
	r := run.forward(a, h)
	if r.outcome == failed && run.request.Writer.Started() {
		r.outcome = cutOff
	}
	return r
}

// forward does the same, and returns failed also for a response that broke off.
func (run *passthrough) forward(a *attempt, h *hedging) result {
	if a.received == nil {
		exchange, r := run.open(a, run.events.LastEventID())
		run.count(r.outcome)
		if exchange == nil {
			return r
		}
		if run.isStream(exchange) {
			a.received, r = run.startStream(a, exchange)
		} else {
			a.received, r = run.readResponse(a, exchange)
		}
		if a.received == nil {
			return r
		}
	}
	if a.received.scanner != nil {
		return run.forwardStream(a, h)
	}
	return run.forwardResponse(a, h)
}

// count counts an attempt that has ended, or of which a response has arrived.
func (run *passthrough) count(o outcome) {
	if o == notSent {
		return
	}
	run.passthrough.Sends++
	if o != notExecuted {
		run.passthrough.MayHaveRun = true
	}
}

// open sends the request and reads the head of the response. It returns the result of the
// attempt if that has ended. lastEventID is the event after which a stream goes on.
func (run *passthrough) open(a *attempt, lastEventID string) (*upstream.Exchange, result) {
	exchange, err := run.handler.Pool.Do(a.ctx, run.upstreamRequest(a.placed, lastEventID))
	if errors.Is(err, upstream.ErrNotSent) {
		return nil, result{outcome: notSent, cause: a.causeOf(err)}
	}
	if err != nil {
		return nil, a.failed(err)
	}
	if exchange.Info.NotExecuted && exchange.Status >= http.StatusBadRequest {
		return nil, readRefusal(exchange)
	}
	return exchange, result{outcome: delivered}
}

// failed returns the result of an attempt that may have run and whose response cannot be used.
func (a *attempt) failed(err error) result {
	return result{outcome: failed, cause: a.causeOf(err)}
}

// causeOf returns the cause of an error: why the attempt was cancelled, if it was.
func (a *attempt) causeOf(err error) error {
	ended := context.Cause(a.ctx)
	switch {
	case ended == nil:
		return err
	case errors.Is(ended, context.Canceled):
		return errCallerDisconnected
	default:
		return errors.WithMessage(ended, err.Error())
	}
}

// upstreamRequest builds the request that is sent to the chosen server.
func (run *passthrough) upstreamRequest(placed *affinity.Placement, lastEventID string) *upstream.Request {
	p, in := run.passthrough, run.request.HTTP
	s := &upstream.Request{
		Server:      placed.Server,
		Method:      in.Method,
		Target:      in.RequestURI,
		Host:        in.Host,
		Body:        p.Body,
		Attempt:     p.Call.Attempt,
		TimeLeft:    time.Until(p.Deadline),
		LastEventID: lastEventID,
		Urgency:     upstream.DefaultUrgency,
		FreshConn:   !p.Route.AllowsRerun(),
		BeforeSend:  run.beforeSend(placed, time.Now()),
	}
	if p.Account != nil {
		s.Account = p.Account.Name
	}
	if p.Service.Engine != nil {
		s.Urgency = urgency.Of(&p.Call)
	}
	s.Header = run.handler.Codec.RequestHeader(in.Header, s)
	return s
}

// beforeSend returns the check that is made right before the request is written. What
// held when the server was chosen may have changed since, such as while connecting.
func (run *passthrough) beforeSend(placed *affinity.Placement, chosenAt time.Time) func() error {
	return func() error {
		if err := run.handler.Gate.Check(placed.Server, chosenAt); err != nil {
			return fmt.Errorf("%w: %w", errWithheld, err)
		}
		if !placed.AdmitCold(time.Now()) {
			run.handler.counters.Inc("cold_withheld")
			return fmt.Errorf("%w: it is cold", errWithheld)
		}
		return nil
	}
}

// readRefusal handles a response which says that the server did not execute the
// request. It drains the body so that the connection can be reused.
func readRefusal(e *upstream.Exchange) result {
	n, err := io.Copy(io.Discard, io.LimitReader(e, maxBufferedBytes+1))
	e.Close(err == nil && n <= maxBufferedBytes)
	if e.Info.WrongServer {
		return result{outcome: notExecuted, cause: errServerReplaced}
	}
	return result{outcome: notExecuted, cause: errors.Errorf("server refused with status %d", e.Status)}
}

// delivery is what the caller had received when an attempt ended.
type delivery struct {
	events     int64
	unnumbered int64 // of these without a number
	lastEvent  string
	bytes      int64 // of the body
}

// conclude ends an attempt and reports its result to the quarantine, the placer, the counters and
// the log. It returns for how long the server is avoided. ctx is that of the request.
func (run *passthrough) conclude(ctx context.Context, a *attempt, r result, d delivery) time.Duration {
	a.cancel(nil)
	a.placed.Done()
	run.reportToQuarantine(ctx, a, r)
	run.handler.counters.Inc("attempt_" + outcomeNames[r.outcome])
	placed := a.placed
	switch {
	case errors.Is(r.cause, errServerReplaced):
		placed.MarkReplaced()
		run.handler.Log.Info().Str("server", placed.Server.ID).Str("address", placed.Server.Address).
			Int64("entry", placed.Server.Sequence).Msg("backend server was replaced")
	case r.outcome == delivered || r.outcome == failedByServer:
		placed.RecordAnswer(r.outcome == failedByServer)
	case r.outcome == notExecuted:
		placed.RecordRefusal()
	case ctx.Err() == nil && isServerFault(r):
		avoidFor := a.avoidServer()
		call := &run.passthrough.Call
		run.handler.Log.Info().Str("server", placed.Server.ID).Str("address", placed.Server.Address).
			Str("request", call.Attempt).Strs("prompt_parts", loggedParts(call.Parts)).Int64("events", d.events).
			Int64("unnumbered", d.unnumbered).Str("last_event", d.lastEvent).Int64("bytes", d.bytes).
			Dur("avoided", avoidFor).AnErr("cause", r.cause).Msg("backend server is avoided after a failed attempt")
		return avoidFor
	}
	return 0
}

// isServerFault reports whether an attempt that brought no response ended because of its server.
func isServerFault(r result) bool {
	return r.outcome != overtaken && !errors.Is(r.cause, errCallerDisconnected) && !errors.Is(r.cause, errOvertaken) &&
		!errors.Is(r.cause, errQuarantined) && !errors.Is(r.cause, errWithheld)
}

// reportToQuarantine reports the result of an attempt to the quarantine.
func (run *passthrough) reportToQuarantine(ctx context.Context, a *attempt, r result) {
	server, registered := a.placed.Server, a.quarantine
	switch {
	case errors.Is(r.cause, errServerReplaced) || errors.Is(r.cause, syscall.ECONNREFUSED):
		registered.End()
		run.handler.Quarantine.ServerCrashed(server)
	case r.outcome == overtaken || ((r.outcome == failed || r.outcome == cutOff) && errors.Is(r.cause, errCallerDisconnected)):
		registered.Left()
	case r.outcome == failed || r.outcome == cutOff:
		registered.Broke(ctx.Err() == nil)
	case r.unframed:
		run.handler.Quarantine.ServerAlive(server, a.begunAt)
		registered.EndedWithConnection()
	case r.outcome == delivered || r.outcome == failedByServer || r.outcome == notExecuted:
		registered.End()
		run.handler.Quarantine.ServerAlive(server, a.begunAt)
	default:
		registered.End()
	}
}
