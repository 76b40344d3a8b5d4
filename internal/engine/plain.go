package engine

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/camphorlever/camphorlever/internal/gate"
	"github.com/camphorlever/camphorlever/internal/wire"
)

const (
	plainPieceBytes = 32 << 10
	// plainAttempts bounds how often a call that may be repeated is sent.
	plainAttempts = 3
)

// runPlain passes a call through to a plain service. A call that must not be
// repeated is sent once; another is sent again only while no byte of an answer
// has arrived.
func (c *Client) runPlain(ctx context.Context, job gate.Job, sink gate.Sink) gate.Outcome {
	attempts := plainAttempts
	if job.AtMostOnce {
		attempts = 1
	}
	var outcome gate.Outcome
	for attempt := range attempts {
		if attempt > 0 {
			c.counts.Inc("plain_repeated")
			pause(ctx, attempt)
		}
		var answered bool
		outcome, answered = c.plainOnce(ctx, job, sink, outcome.MayHaveRun)
		if answered || ctx.Err() != nil {
			return outcome
		}
	}
	return outcome
}

// plainOnce makes one attempt and reports whether an answer has begun.
func (c *Client) plainOnce(ctx context.Context, job gate.Job, sink gate.Sink, reached bool) (gate.Outcome, bool) {
	if !strings.HasPrefix(job.Call.Path, "/") {
		// It would otherwise become part of the host.
		return gate.Outcome{Result: wire.Result{Status: http.StatusBadRequest, Message: "path must start with a slash"}}, true
	}
	watch := watchSilence(ctx, c.plainSilence(job))
	defer watch.stop()
	request, err := http.NewRequestWithContext(watch.ctx, job.Call.Method, c.base+job.Call.Path, bytes.NewReader(job.Call.Body))
	if err != nil {
		return gate.Outcome{Result: wire.Result{Status: http.StatusBadRequest, Message: err.Error()}}, true
	}
	if job.Call.ContentType != "" {
		request.Header.Set("Content-Type", job.Call.ContentType)
	}
	request.Header.Set("Idempotency-Key", job.Key.String())
	response, err := c.http.Do(request)
	if err != nil {
		c.counts.Inc("plain_failed")
		failed := wire.Result{Status: http.StatusBadGateway, Message: "service did not answer"}
		return gate.Outcome{MayHaveRun: reached || !notSent(err), Result: failed}, false
	}
	defer response.Body.Close()
	watch.sign()
	result := wire.Result{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type")}
	sink.SetResult(result)
	outcome := gate.Outcome{MayHaveRun: true, Result: result}
	if err := copyPieces(watch.reader(response.Body), sink); err != nil {
		c.counts.Inc("plain_broken")
		outcome.Result.Message = "service broke its answer off"
		return outcome, true
	}
	outcome.Complete = true
	return outcome, true
}

// plainSilence is how long a call may stay without a byte of its answer. A
// call that must not be repeated is waited for until its deadline: giving it up
// sooner would only make its outcome unknown.
func (c *Client) plainSilence(job gate.Job) time.Duration {
	if job.AtMostOnce {
		return gate.MaxRunTime
	}
	return c.config.LivenessTimeout
}

// copyPieces passes a body to the sink in pieces.
func copyPieces(body io.Reader, sink gate.Sink) error {
	piece := make([]byte, plainPieceBytes)
	for {
		n, err := body.Read(piece)
		if n > 0 {
			sink.AddEvent(bytes.Clone(piece[:n]), 0)
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
