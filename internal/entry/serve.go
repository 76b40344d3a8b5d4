package entry

import (
	"bytes"
	"io"
	stdlog "log"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/refusal"
)

// notReadyPause is when a caller comes back that met a router which has not
// read everything yet.
const notReadyPause = 500 * time.Millisecond

// serve handles one request of a caller.
func (r *Router) serve(w http.ResponseWriter, in *http.Request) {
	r.active.Add(1)
	defer r.active.Add(-1)
	request := &filter.Request{
		HTTP:     in,
		Writer:   filter.NewWriter(w, writeTimeout),
		Received: time.Now(),
	}
	if r.stopping.Load() || r.pressure.Overloaded() {
		w.Header().Set("Connection", "close")
	}
	out := r.outcome(request)
	r.finish(w, request, out)
}

func (r *Router) outcome(request *filter.Request) filter.Outcome {
	request.Passthrough = &filter.Passthrough{Call: r.codec.Call(request.HTTP.Header)}
	if !r.loaded() {
		return later(refusal.NotReady, "The router has not read everything yet.", notReadyPause)
	}
	return r.chain(request.HTTP.Context(), request)
}

// later refuses a request that another router, or this one later, can serve.
func later(code refusal.Code, message string, after time.Duration) filter.Outcome {
	out := filter.Refused(code, refusal.NotRun, message)
	out.Refusal.RetryAfter = after
	return out
}

// finish answers a request that was refused. An answer that began and cannot be
// completed is cut, so that it does not look complete.
func (r *Router) finish(w http.ResponseWriter, request *filter.Request, out filter.Outcome) {
	r.outcomes.record(request, out)
	r.logEnd(request, out)
	if out.Refusal == nil {
		return
	}
	if request.Writer.Started() {
		panic(http.ErrAbortHandler)
	}
	if request.HTTP.Context().Err() != nil {
		return // the caller is gone
	}
	r.codec.Refuse(w.Header(), request.Passthrough.Call.Attempt, out.Refusal.RetryAfter)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status(out.Refusal))
	_, _ = io.WriteString(w, out.Refusal.Error()+"\n") // the caller may be gone; there is nobody else to tell
}

// status returns the status of a refusal. Those that promise that a request did
// not run are only used where that is known.
func status(r *refusal.Refusal) int {
	if r.Code == refusal.DeadlineExceeded && r.Ran == refusal.NotRun {
		return http.StatusServiceUnavailable
	}
	if s := refusal.Status(r.Code); r.Ran == refusal.NotRun || (s != http.StatusTooManyRequests && s != http.StatusServiceUnavailable) {
		return s
	}
	return http.StatusBadGateway
}

// sampled is one in how many requests that went well is logged in full.
const sampled = 100

// logEnd writes the request's decisions and its end: all of them for a request
// that was refused, failed or came late, and for one in sampled others, chosen
// by its id so that all routers choose the same.
func (r *Router) logEnd(request *filter.Request, out filter.Outcome) {
	p := request.Passthrough
	took := time.Since(request.Received)
	late := p.Route != nil && p.Route.LatencyObjective > 0 && firstAnswer(p, took) > p.Route.LatencyObjective
	if out.Refusal == nil && !late && xxhash.Sum64String(p.Call.Attempt)%sampled != 0 {
		return
	}
	for _, step := range request.Decisions {
		event := r.log.Info().Str("request", p.Call.Attempt).Dur("at", step.Elapsed)
		step.Fields(event)
		event.Msg(step.Name)
	}
	event := r.log.Info().Str("request", p.Call.Attempt).Dur("at", took)
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

// firstAnswer is the time that an objective is measured by.
func firstAnswer(p *filter.Passthrough, took time.Duration) time.Duration {
	if p.TimeToFirstEvent > 0 {
		return p.TimeToFirstEvent
	}
	return took
}

// quietLog takes in what the HTTP library logs.
func quietLog(log zerolog.Logger) *stdlog.Logger {
	return stdlog.New(httpLog{log}, "", 0)
}

type httpLog struct{ log zerolog.Logger }

// Write implements io.Writer.
func (l httpLog) Write(line []byte) (int, error) {
	event := l.log.Debug()
	if bytes.Contains(line, []byte("panic")) {
		event = l.log.Error()
	}
	event.Str("text", string(line)).Msg("connection of a caller")
	return len(line), nil
}
