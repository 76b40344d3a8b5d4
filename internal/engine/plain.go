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
	plainBufferBytes = 32 << 10
	// maxPlainAttempts limits how often an idempotent call is sent.
	maxPlainAttempts = 3
)

// runPlain forwards a call to a plain service. A call that must run at most once
// is sent once; any other is retried as long as no response has arrived.
func (c *Client) runPlain(ctx context.Context, job gate.Job, sink gate.Sink) gate.Outcome {
	attempts := maxPlainAttempts
	if job.AtMostOnce {
		attempts = 1
	}
	var outcome gate.Outcome
	for attempt := range attempts {
		if attempt > 0 {
			c.counts.Inc("plain_repeated")
			sleepBackoff(ctx, attempt)
		}
		var responded bool
		outcome, responded = c.attemptPlain(ctx, job, sink, outcome.MayHaveRun)
		if responded || ctx.Err() != nil {
			return outcome
		}
	}
	return outcome
}

// attemptPlain makes one attempt and reports whether a response has begun, or the
// call is invalid, so that it must not be retried. mayHaveRun tells whether an
// earlier attempt may have reached the service.
func (c *Client) attemptPlain(ctx context.Context, job gate.Job, sink gate.Sink, mayHaveRun bool) (gate.Outcome, bool) {
	if !strings.HasPrefix(job.Call.Path, "/") {
		// The path would otherwise become part of the URL's host.
		return gate.Outcome{Result: wire.Result{Status: http.StatusBadRequest, Message: "path must start with a slash"}}, true
	}
	wd := startWatchdog(ctx, c.plainSilenceTimeout(job))
	defer wd.stop()
	upload := newUploadWatch()
	request, err := http.NewRequestWithContext(upload.trace(wd.ctx), job.Call.Method, c.base+job.Call.Path, bytes.NewReader(job.Call.Body))
	if err != nil {
		return gate.Outcome{Result: wire.Result{Status: http.StatusBadRequest, Message: err.Error()}}, true
	}
	if job.Call.ContentType != "" {
		request.Header.Set("Content-Type", job.Call.ContentType)
	}
	request.Header.Set("Idempotency-Key", job.Key.String())
	response, err := c.do(request)
	if err != nil {
		c.counts.Inc("plain_failed")
		failed := wire.Result{Status: http.StatusBadGateway, Message: "service did not answer"}
		return gate.Outcome{MayHaveRun: mayHaveRun || !isDialError(err), Result: failed}, false
	}
	defer response.Body.Close()
	wd.reset()
	result := wire.Result{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type")}
	sink.SetResult(result)
	outcome := gate.Outcome{MayHaveRun: true, Result: result}
	err = copyBody(wd.reader(response.Body), sink)
	if err == nil && isCloseDelimited(response) {
		err = upload.wait()
	}
	if err != nil {
		c.counts.Inc("plain_broken")
		outcome.Result.Message = "service broke its answer off"
		return outcome, true
	}
	outcome.Complete = true
	return outcome, true
}

// plainSilenceTimeout returns how long a call may go without receiving a byte. A
// call that must run at most once may take until its deadline: since it can't be
// retried, aborting it sooner would only make its outcome unknown.
func (c *Client) plainSilenceTimeout(job gate.Job) time.Duration {
	if job.AtMostOnce {
		return gate.MaxRunTime
	}
	return c.config.LivenessTimeout
}

// copyBody copies a response body to the sink, one event per read.
func copyBody(body io.Reader, sink gate.Sink) error {
	buffer := make([]byte, plainBufferBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			sink.AddEvent(bytes.Clone(buffer[:n]), 0)
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
