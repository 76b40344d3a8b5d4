package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/affinity"
	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/refusal"
	"github.com/camphorlever/camphorlever/internal/upstream"
	"github.com/camphorlever/camphorlever/internal/urgency"
)

// Limits on a server's response.
const (
	// maxBufferedBytes limits a response that is no stream. While it is buffered
	// and none of it was sent to the caller, the request can still be retried on
	// another server.
	maxBufferedBytes = 1 << 20
)

var (
	errServerSilent    = errors.New("server sent nothing within the silence timeout")
	errWithheld        = errors.New("server must not get the request any more")
	errServerReplaced  = errors.New("address now belongs to another server")
	errResponseTooLong = errors.Errorf("response is longer than %d bytes", maxBufferedBytes)
	errNotFromServer   = errors.New("response was not written by the server, or was changed on the way")
)

// response is a complete, buffered response of a server.
type response struct {
	status int
	header http.Header
	body   []byte
}

// attempt sends the request to one server and forwards its response to the
// caller if the response can be used.
func (run *passthrough) attempt(parent context.Context, placed *affinity.Placement) result {
	p := run.passthrough
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	silenceTimer := run.startSilenceTimer(placed, cancel)
	defer silenceTimer.stop()

	upstreamRequest := run.upstreamRequest(placed)
	sentAt := time.Now()
	exchange, err := run.handler.Pool.Do(ctx, upstreamRequest)
	if err != nil {
		return run.transportFailed(ctx, err)
	}
	p.Sends++
	if exchange.Info.NotExecuted && exchange.Status >= http.StatusBadRequest {
		return run.notExecuted(exchange)
	}
	p.MayHaveRun = true
	if p.Route.IsStream() && exchange.Status == http.StatusOK && isEventStream(exchange.Header) {
		return run.forwardStream(ctx, exchange, silenceTimer, func() { placed.RecordFirstResponse(p.Route.Name, time.Since(sentAt)) })
	}
	placed.RecordFirstResponse(p.Route.Name, time.Since(sentAt))
	return run.bufferResponse(ctx, exchange)
}

// upstreamRequest builds the request that is sent to the chosen server.
func (run *passthrough) upstreamRequest(placed *affinity.Placement) *upstream.Request {
	p, in := run.passthrough, run.request.HTTP
	s := &upstream.Request{
		Server:      placed.Server,
		Method:      in.Method,
		Target:      in.RequestURI,
		Host:        in.Host,
		Body:        p.Body,
		Attempt:     p.Call.Attempt,
		TimeLeft:    time.Until(p.Deadline),
		LastEventID: run.events.LastEventID(),
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

// transportFailed classifies an attempt that ended without a response.
func (run *passthrough) transportFailed(ctx context.Context, err error) result {
	cause := err
	if ended := context.Cause(ctx); ended != nil {
		cause = errors.WithMessage(ended, err.Error())
		if errors.Is(ended, context.Canceled) {
			cause = errCallerDisconnected
		}
	}
	if errors.Is(err, upstream.ErrNotSent) {
		return result{outcome: notSent, cause: cause}
	}
	run.passthrough.Sends++
	run.passthrough.MayHaveRun = true
	if run.request.Writer.Started() {
		return result{outcome: cutOff, cause: cause}
	}
	return result{outcome: failed, cause: cause}
}

// notExecuted handles a response which says that the server did not execute
// the request. It drains the body so that the connection can be reused.
func (run *passthrough) notExecuted(e *upstream.Exchange) result {
	n, err := io.Copy(io.Discard, io.LimitReader(e, maxBufferedBytes+1))
	e.Close(err == nil && n <= maxBufferedBytes)
	cause := errors.Errorf("server refused with status %d", e.Status)
	if e.Info.WrongServer {
		cause = errServerReplaced
	}
	if run.request.Writer.Started() {
		return result{outcome: cutOff, cause: cause}
	}
	return result{outcome: notExecuted, cause: cause}
}

// bufferResponse reads the complete response before any of it is sent to the caller, as far
// as there is memory for it. A long response for which there is none is forwarded as it
// arrives.
func (run *passthrough) bufferResponse(ctx context.Context, e *upstream.Exchange) result {
	success := e.Status < http.StatusMultipleChoices
	if e.Info.Encoded || (success && !e.Info.FromServer) {
		e.Close(false)
		return run.unusableResponse(ctx, errNotFromServer)
	}
	if !run.passthrough.Route.AllowsRerun() && refusal.SaysNotRun(e.Status) {
		e.Close(false)
		return result{outcome: failedByServer, cause: errors.Errorf("server answered with status %d, but did not say that it has not run the request", e.Status)}
	}
	body, err := io.ReadAll(io.LimitReader(e, unreservedBytes+1))
	if err == nil && len(body) > unreservedBytes {
		if !run.handler.buffers.reserve() {
			return run.forwardLongResponse(ctx, e, body)
		}
		defer run.handler.buffers.release()
		body, err = readOn(e, body)
	}
	if err == nil && len(body) > maxBufferedBytes {
		err = errResponseTooLong
	}
	e.Close(err == nil)
	switch {
	case err != nil:
		return run.unusableResponse(ctx, err)
	case run.request.Writer.Started():
		return result{outcome: cutOff, cause: errors.Errorf("server answered the stream resumption with status %d", e.Status)}
	}
	if success && !e.CloseDelimited {
		run.quarantine.Answered()
	}
	resp := &response{status: e.Status, header: e.Header, body: body}
	if e.Status >= http.StatusInternalServerError {
		return result{outcome: failedByServer, response: resp, cause: errors.Errorf("server answered with status %d", e.Status)}
	}
	r := run.writeResponse(resp)
	r.unframed = e.CloseDelimited
	return r
}

// unusableResponse ends an attempt whose response cannot be forwarded to the
// caller.
func (run *passthrough) unusableResponse(ctx context.Context, err error) result {
	if ended := context.Cause(ctx); ended != nil {
		err = errors.WithMessage(ended, err.Error())
		if errors.Is(ended, context.Canceled) {
			err = errCallerDisconnected
		}
	}
	if run.request.Writer.Started() {
		return result{outcome: cutOff, cause: err}
	}
	return result{outcome: failed, cause: err}
}

// writeResponse sends a buffered response to the caller.
func (run *passthrough) writeResponse(resp *response) result {
	w := run.request.Writer
	run.copyHeader(resp.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(resp.body)))
	w.Start(resp.status)
	if _, err := w.Write(resp.body); err != nil {
		return result{outcome: cutOff, cause: errCallerDisconnected}
	}
	return result{outcome: delivered}
}

// copyHeader sets the response header for the caller from the server's.
func (run *passthrough) copyHeader(from http.Header) {
	to := run.request.Writer.Header()
	for name, values := range run.handler.Codec.ResponseHeader(from) {
		to[name] = values
	}
}

// returnServerFailure forwards the error response of a server to the caller.
func (run *passthrough) returnServerFailure(resp *response) filter.Outcome {
	run.writeResponse(resp)
	return filter.Answered()
}
