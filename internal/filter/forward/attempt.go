package forward

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/affinity"
	"github.com/camphorlever/camphorlever/internal/catalog"
	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/upstream"
)

// Limits of an answer.
const (
	// maxHeld is up to which size, in bytes, an answer is read whole before the
	// caller gets any of it, so that one that breaks off can be had elsewhere.
	maxHeld = 1 << 20
	// silenceObjectives is after how many objectives without an answer a
	// request that may be repeated goes to another server.
	silenceObjectives = 2.5
	// leastSilence is the least time for that, so that a short objective does
	// not make every slow answer a retry.
	leastSilence = 250 * time.Millisecond
)

var (
	errSilent   = errors.New("server is silent")
	errReplaced = errors.New("another server has the address")
	errUnsealed = errors.New("success without the server's seal")
)

// answer is a server's whole answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// attempt sends the request to one server.
func (run *passage) attempt(parent context.Context, placed *affinity.Placed) result {
	p := run.passage
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	silence := run.watch(cancel)
	defer silence.stop()

	send := run.send(placed)
	begun := time.Now()
	exchange, err := run.handler.Pool.Do(ctx, send)
	if err != nil {
		return run.broken(ctx, err)
	}
	p.Sends++
	if exchange.Tells.NotExecuted && exchange.Status >= http.StatusBadRequest {
		return run.notExecuted(exchange)
	}
	p.MayHaveRun = true
	if streams(p.Route) && exchange.Status == http.StatusOK {
		return run.stream(ctx, exchange, silence, func() { placed.Began(p.Route.Name, time.Since(begun)) })
	}
	placed.Began(p.Route.Name, time.Since(begun))
	return run.whole(ctx, exchange)
}

// send describes the request as it goes to a server.
func (run *passage) send(placed *affinity.Placed) *upstream.Send {
	p, in := run.passage, run.request.HTTP
	s := &upstream.Send{
		Server:    placed.Server,
		Method:    in.Method,
		Target:    in.RequestURI,
		Host:      in.Host,
		Body:      p.Body,
		Attempt:   p.Call.Attempt,
		Left:      time.Until(p.Deadline),
		LastEvent: run.lastEvent,
		Urgency:   upstream.DefaultUrgency,
		Fresh:     !p.Route.AllowsRerun(),
	}
	if p.Account != nil {
		s.Account = p.Account.Name
	}
	s.Header = run.handler.Codec.RequestHeader(in.Header, s)
	return s
}

// broken classifies an attempt that brought no answer.
func (run *passage) broken(ctx context.Context, err error) result {
	cause := err
	if ended := context.Cause(ctx); ended != nil {
		cause = errors.WithMessage(ended, err.Error())
		if errors.Is(ended, context.Canceled) {
			cause = errCallerGone
		}
	}
	if errors.Is(err, upstream.ErrNotSent) {
		return result{verdict: unsent, cause: cause}
	}
	run.passage.Sends++
	run.passage.MayHaveRun = true
	if run.request.Writer.Started() {
		return result{verdict: cutOff, cause: cause}
	}
	return result{verdict: failed, cause: cause}
}

// notExecuted reads the rest of an answer by which the server refused.
func (run *passage) notExecuted(e *upstream.Exchange) result {
	_, err := io.Copy(io.Discard, io.LimitReader(e, maxHeld))
	e.Close(err == nil)
	cause := errors.Errorf("server refused with status %d", e.Status)
	if e.Tells.WrongServer {
		cause = errReplaced
	}
	if run.request.Writer.Started() {
		return result{verdict: cutOff, cause: cause}
	}
	return result{verdict: notExecuted, cause: cause}
}

// whole reads an answer to its end before the caller gets it.
func (run *passage) whole(ctx context.Context, e *upstream.Exchange) result {
	body, err := io.ReadAll(io.LimitReader(e, maxHeld+1))
	if err == nil && len(body) > maxHeld {
		err = errors.Errorf("answer is longer than %d bytes", maxHeld)
	}
	e.Close(err == nil)
	success := e.Status < http.StatusMultipleChoices
	switch {
	case err != nil:
		return run.unusable(ctx, err)
	case e.Tells.Encoded || (success && !e.Tells.Sealed):
		return run.unusable(ctx, errUnsealed)
	case run.request.Writer.Started():
		return result{verdict: cutOff, cause: errors.Errorf("resumption got status %d", e.Status)}
	}
	a := &answer{status: e.Status, header: e.Header, body: body}
	if e.Status >= http.StatusInternalServerError {
		return result{verdict: failedByRun, answer: a, cause: errors.Errorf("server answered with status %d", e.Status)}
	}
	return run.deliver(a)
}

// unusable ends an attempt whose answer cannot be handed on.
func (run *passage) unusable(ctx context.Context, err error) result {
	if ended := context.Cause(ctx); ended != nil {
		err = errors.WithMessage(ended, err.Error())
		if errors.Is(ended, context.Canceled) {
			err = errCallerGone
		}
	}
	if run.request.Writer.Started() {
		return result{verdict: cutOff, cause: err}
	}
	return result{verdict: failed, cause: err}
}

// deliver hands a whole answer to the caller.
func (run *passage) deliver(a *answer) result {
	w := run.request.Writer
	run.header(a.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	w.Start(a.status)
	if _, err := w.Write(a.body); err != nil {
		return result{verdict: cutOff, cause: errCallerGone}
	}
	return result{verdict: delivered}
}

// header sets the header of the caller's answer from the server's.
func (run *passage) header(from http.Header) {
	to := run.request.Writer.Header()
	for name, values := range run.handler.Codec.ResponseHeader(from) {
		to[name] = values
	}
}

// give hands on the failure with which a server answered.
func (run *passage) give(a *answer) filter.Outcome {
	run.deliver(a)
	return filter.Answered()
}

// silence cancels an attempt at a server that says nothing.
type silence struct {
	timer *time.Timer
	limit time.Duration
}

// watch starts the watch on a server's silence, if the request could go
// elsewhere instead.
func (run *passage) watch(cancel context.CancelCauseFunc) silence {
	p := run.passage
	if !p.Route.AllowsRerun() || p.Sends+1 >= p.Route.MaxAttempts {
		return silence{}
	}
	limit := max(time.Duration(silenceObjectives*float64(p.Route.LatencyObjective)), leastSilence)
	return silence{limit: limit, timer: time.AfterFunc(limit, func() { cancel(errSilent) })}
}

func (s silence) stop() {
	if s.timer != nil {
		s.timer.Stop()
	}
}

// heard notes that the server sent something. The next pause may take longer
// than the first answer.
func (s silence) heard(gap time.Duration) {
	if s.timer != nil {
		s.timer.Reset(max(s.limit, gap))
	}
}

// gapLimit is how long a stream that can be resumed may pause.
func gapLimit(r *catalog.Route) time.Duration {
	return time.Duration(silenceObjectives * float64(r.MaxEventGap))
}
