package forward

import (
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/eventstream"
	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/refusal"
	"github.com/camphorlever/camphorlever/internal/sequence"
	"github.com/camphorlever/camphorlever/internal/upstream"
)

// maxBufferedBytes limits a response that is no stream. While it is buffered and none of
// it was sent to the caller, another server's response can still be used instead.
const maxBufferedBytes = 1 << 20

var errResponseTooLong = errors.Errorf("response is longer than %d bytes", maxBufferedBytes)

// response is a complete, buffered response of a server.
type response struct {
	status int
	header http.Header
	body   []byte
}

// received is the beginning of a server's response, of which nothing was sent to the caller.
type received struct {
	exchange *upstream.Exchange
	scanner  *eventstream.Scanner // of an event stream; nil for another response
	events   []byte               // the last that were read from scanner; empty if none were
	body     []byte               // of another response
	isLong   bool                 // body is not all of it; there was no memory for more
	release  func()               // returns the memory of body; nil if none was reserved
}

// discard closes the response of which nothing is used.
func (r *received) discard() {
	r.exchange.Close(false)
	r.releaseBody()
}

func (r *received) releaseBody() {
	if r.release != nil {
		r.release()
	}
}

// receive sends a hedge and reads its response until the caller can use some of it. It returns the
// result of the attempt if that has ended.
func (run *passthrough) receive(a *attempt, events *sequence.Sequence) (*received, result) {
	exchange, r := run.open(a, events.LastEventID())
	if exchange == nil {
		return nil, r
	}
	if run.isStream(exchange) {
		return run.receiveEvents(a, exchange, events)
	}
	received, r := run.readResponse(a, exchange)
	isSuccess := exchange.Status < http.StatusBadRequest
	switch {
	case received == nil:
		return nil, r
	case received.isLong && !(isSuccess && received.canForward()):
		received.discard()
		return nil, a.failed(errNoBuffer)
	case isSuccess:
		return received, r
	default: // the server that is silent may still do better
		received.releaseBody()
		return nil, failureOf(received)
	}
}

// receiveEvents reads a stream until an event that the caller does not have, or its end.
func (run *passthrough) receiveEvents(a *attempt, exchange *upstream.Exchange, events *sequence.Sequence) (*received, result) {
	received, r := run.startStream(a, exchange)
	if received == nil {
		return nil, r
	}
	for {
		var err error
		received.events, err = received.scanner.Next()
		if errors.Is(err, io.EOF) && !exchange.CloseDelimited {
			return received, result{}
		}
		if errors.Is(err, io.EOF) {
			err = errEmptyStream
		}
		if err == nil {
			var accepted sequence.Accepted
			accepted, err = events.Accept(received.events)
			if err == nil && accepted.Progress && len(accepted.Send) > 0 {
				return received, result{}
			}
		}
		if err != nil {
			exchange.Close(false)
			return nil, a.failed(err)
		}
	}
}

// readResponse reads the complete response before any of it is sent to the caller, as far
// as there is memory for it. It returns the result of the attempt if the response cannot be used.
func (run *passthrough) readResponse(a *attempt, e *upstream.Exchange) (*received, result) {
	a.recordFirstResponse(run.passthrough.Route)
	success := e.Status < http.StatusMultipleChoices
	if e.Info.Encoded || (success && !e.Info.FromServer) {
		e.Close(false)
		return nil, a.failed(errNotFromServer)
	}
	if !run.passthrough.Route.AllowsRerun() && refusal.SaysNotRun(e.Status) {
		e.Close(false)
		return nil, result{outcome: failedByServer, cause: errors.Errorf("server answered with status %d, but did not say that it has not run the request", e.Status)}
	}
	received := &received{exchange: e}
	var err error
	received.body, err = io.ReadAll(io.LimitReader(e, unreservedBytes+1))
	if err == nil && len(received.body) > unreservedBytes {
		if !run.handler.buffers.reserve() {
			received.isLong = true
			return received, result{}
		}
		received.release = run.handler.buffers.release
		received.body, err = readOn(e, received.body)
	}
	if err == nil && len(received.body) > maxBufferedBytes {
		err = errResponseTooLong
	}
	e.Close(err == nil)
	if err != nil {
		received.releaseBody()
		return nil, a.failed(err)
	}
	if success && !e.CloseDelimited {
		a.quarantine.Answered()
	}
	return received, result{}
}

// forwardResponse sends a response that is no stream to the caller, unless it is a failure or a
// hedge has been faster.
func (run *passthrough) forwardResponse(a *attempt, h *hedging) result {
	received, e := a.received, a.received.exchange
	defer received.releaseBody()
	switch {
	case run.request.Writer.Started():
		e.Close(false)
		return a.failed(errors.Errorf("server answered the stream resumption with status %d", e.Status))
	case received.isLong:
		return run.forwardLongResponse(a, h)
	case e.Status >= http.StatusInternalServerError:
		return failureOf(received)
	case !h.settle():
		return a.failed(errServerSilent)
	}
	r := run.writeResponse(received.response())
	r.unframed = e.CloseDelimited
	return r
}

// canForward reports whether a long response may be forwarded as it arrives.
func (r *received) canForward() bool {
	return r.exchange.Status < http.StatusInternalServerError && r.exchange.ContentLength() <= maxBufferedBytes
}

func (r *received) response() *response {
	return &response{status: r.exchange.Status, header: r.exchange.Header, body: r.body}
}

// failureOf returns the result of an attempt whose server answered with a failure.
func failureOf(r *received) result {
	return result{outcome: failedByServer, response: r.response(), cause: errors.Errorf("server answered with status %d", r.exchange.Status)}
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
