package entry

import (
	"bytes"
	"context"
	"io"
	stdlog "log"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/refusal"
)

// notReadyRetryAfter is the retry delay for a caller that reached a router
// which has not read its initial state yet.
const notReadyRetryAfter = 500 * time.Millisecond

// serve handles one request of a caller.
func (r *Router) serve(w http.ResponseWriter, in *http.Request) {
	r.activeRequests.Add(1)
	defer r.activeRequests.Add(-1)
	request := &filter.Request{
		HTTP:     in,
		Writer:   filter.NewWriter(w, writeTimeout),
		Received: time.Now(),
	}
	if r.stopping.Load() || r.pressure.Overloaded() {
		w.Header().Set("Connection", "close")
	}
	out := r.runChain(request)
	r.finishRequest(w, request, out)
}

func (r *Router) runChain(request *filter.Request) filter.Outcome {
	request.Passthrough = &filter.Passthrough{Call: r.codec.ParseCall(request.HTTP.Header)}
	if !r.loaded() {
		return refuseWithRetryAfter(refusal.NotReady, "The router has not read everything yet.", notReadyRetryAfter)
	}
	return r.chain(request.HTTP.Context(), request)
}

// refuseWithRetryAfter refuses a request that did not run and that another
// router, or this one after a delay, can serve.
func refuseWithRetryAfter(code refusal.Code, message string, retryAfter time.Duration) filter.Outcome {
	out := filter.Refused(code, refusal.NotRun, message)
	out.Refusal.RetryAfter = retryAfter
	return out
}

// finishRequest records the outcome of a request and answers it if it was
// refused. A response that has begun and cannot be completed is aborted, so
// that it does not look complete.
func (r *Router) finishRequest(w http.ResponseWriter, request *filter.Request, out filter.Outcome) {
	r.metrics.record(request, out)
	r.logRequest(request, out)
	if out.Refusal == nil {
		return
	}
	if request.Writer.Started() {
		panic(http.ErrAbortHandler)
	}
	if ctx := request.HTTP.Context(); ctx.Err() != nil && !errors.Is(context.Cause(ctx), filter.ErrStopping) {
		// The caller has disconnected, or ended its side and still reads: without a
		// response, net/http would send it an empty one with status 200.
		panic(http.ErrAbortHandler)
	}
	r.codec.SetRefusalHeader(w.Header(), request.Passthrough.Call.Attempt, out.Refusal.RetryAfter)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status(out.Refusal))
	_, _ = io.WriteString(w, out.Refusal.Error()+"\n") // a failure means that the caller has disconnected
}

// status returns the HTTP status of a refusal. Statuses that promise that the
// request did not run are used only if that is known.
func status(r *refusal.Refusal) int {
	if r.Code == refusal.DeadlineExceeded && r.Ran == refusal.NotRun {
		return http.StatusServiceUnavailable
	}
	if s := refusal.Status(r.Code); r.Ran == refusal.NotRun || !refusal.SaysNotRun(s) {
		return s
	}
	return http.StatusBadGateway
}

// logSampleInterval is the interval of the sample: one of so many successful
// requests is logged in full.
const logSampleInterval = 100

// logRequest logs the decisions and the end of a request that was refused,
// failed or missed its latency objective. Of the others, one in
// logSampleInterval is logged, chosen by its id so that all routers choose the
// same.
func (r *Router) logRequest(request *filter.Request, out filter.Outcome) {
	p := request.Passthrough
	elapsed := time.Since(request.Received)
	late := p.Route != nil && p.Route.LatencyObjective > 0 && responseLatency(p, elapsed) > p.Route.LatencyObjective
	if out.Refusal == nil && !late && xxhash.Sum64String(p.Call.Attempt)%logSampleInterval != 0 {
		return
	}
	for _, step := range request.Decisions {
		event := r.log.Info().Str("request", p.Call.Attempt).Dur("at", step.Elapsed)
		step.Fields(event)
		event.Msg(step.Name)
	}
	event := r.log.Info().Str("request", p.Call.Attempt).Dur("at", elapsed)
	switch refused := out.Refusal; {
	case refused != nil:
		event = event.Str("outcome", string(refused.Code)).Int("status", status(refused)).Str("ran", string(refused.Ran)).
			Str("why", refused.Message).Dur("retry_after", refused.RetryAfter)
	case late:
		event = event.Str("outcome", "late")
	default:
		event = event.Str("outcome", "answered")
	}
	event.Int("status_sent", request.Writer.Status).Str("server", p.Server.ID).Int("sends", p.Sends).
		Int64("events", p.EventsDelivered).Dur("first_event", p.TimeToFirstEvent).Msg("request ended")
}

// responseLatency returns the time that a route's latency objective refers to:
// until the first event, or until the end if there was none.
func responseLatency(p *filter.Passthrough, elapsed time.Duration) time.Duration {
	if p.TimeToFirstEvent > 0 {
		return p.TimeToFirstEvent
	}
	return elapsed
}

// httpErrorLog returns a logger that passes the messages of the HTTP server to
// log.
func httpErrorLog(log zerolog.Logger) *stdlog.Logger {
	return stdlog.New(httpLogWriter{log}, "", 0)
}

type httpLogWriter struct{ log zerolog.Logger }

// Write implements io.Writer.
func (l httpLogWriter) Write(line []byte) (int, error) {
	event := l.log.Debug()
	if bytes.Contains(line, []byte("panic")) {
		event = l.log.Error()
	}
	event.Str("text", string(line)).Msg("net/http server logged a message")
	return len(line), nil
}
