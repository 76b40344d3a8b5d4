package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/gate"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/wire"
)

const (
	eventStreamType = "text/event-stream"
	doneMarker      = "[DONE]"
)

// chunk holds the fields of a chat.completion.chunk that the side process reads.
type chunk struct {
	ID      string `json:"id"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		Prompt     int64 `json:"prompt_tokens"`
		Completion int64 `json:"completion_tokens"`
	} `json:"usage"`
	Error *struct {
		Message string `json:"message"`
	} `json:"error"`
}

// outputTokens returns the number of output tokens of a chunk: one per choice
// with content.
func (c *chunk) outputTokens() int64 {
	var n int64
	for _, choice := range c.Choices {
		if choice.Delta.Content != "" {
			n++
		}
	}
	return n
}

// chatBody returns the caller's request as it is sent to the engine: streaming,
// with usage reported, with a limited output and with a single choice.
func chatBody(job gate.Job) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(job.Call.Body, &fields); err != nil {
		return nil, errors.Wrap(err, "decode chat request")
	}
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	fields["max_tokens"] = json.RawMessage(strconv.FormatInt(job.MaxOutput, 10))
	fields["priority"] = json.RawMessage(strconv.Itoa(job.Priority))
	delete(fields, "max_completion_tokens")
	delete(fields, "n")
	raw, err := json.Marshal(fields)
	return raw, errors.Wrap(err, "encode chat request")
}

// streamID returns the engine's stream ID for a run.
func streamID(run ident.RunID) string {
	return strconv.FormatUint(uint64(run.Gate), 10) + "-" + strconv.FormatUint(run.Number, 10)
}

// streamEnd is the way in which one connection of a stream ended.
type streamEnd uint8

const (
	endComplete      streamEnd = iota // the engine ended the response
	endRefused                        // the engine did not run the request; Result says why
	endNotSent                        // no connection could be made
	endBroken                         // the connection broke or timed out, or an event was unusable
	endUnknownStream                  // the engine does not know the stream
	endEngineError                    // the engine reported a failure
	endSinkFull                       // the sink accepts no more events
)

// chatRun is one chat completion, resumed on further connections as needed.
type chatRun struct {
	client          *Client
	job             gate.Job
	sink            gate.Sink
	id              string
	nextIndex       uint64 // index of the next expected event
	numbered        bool   // an event of the stream had a number
	atStart         bool   // the next event is the first of its connection
	doneUnconfirmed bool   // an end marker arrived before the usage
	doneIndex       uint64 // nextIndex when that end marker arrived
	dialRefused     bool   // the last failed dial was refused rather than timed out
	outcome         gate.Outcome
}

func (c *Client) runChat(ctx context.Context, job gate.Job, sink gate.Sink) gate.Outcome {
	r := &chatRun{client: c, job: job, sink: sink, id: streamID(job.Run)}
	body, err := chatBody(job)
	if err != nil {
		r.outcome.Result = wire.Result{Status: http.StatusBadRequest, Message: err.Error()}
		return r.outcome
	}
	end := r.post(ctx, body)
	if end == endBroken {
		end = r.resumeUntilEnd(ctx)
	}
	r.finish(ctx, end)
	return r.outcome
}

// post sends the chat request and reads the first connection's events.
func (r *chatRun) post(ctx context.Context, body []byte) streamEnd {
	request, err := http.NewRequest(http.MethodPost, r.client.base+"/v1/chat/completions", strings.NewReader(string(body)))
	if err != nil {
		return r.fail(endNotSent, err.Error())
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Accept", eventStreamType)
	request.Header.Set("X-Request-Id", r.id)
	if r.job.Call.Adapter != "" {
		request.Header.Set("X-Adapter", string(r.job.Call.Adapter))
	}
	return r.exchange(ctx, request)
}

// exchange sends a request on a new connection and reads events from it until
// the stream ends, the connection breaks, or no byte arrives for
// Config.SilenceTimeout.
func (r *chatRun) exchange(ctx context.Context, request *http.Request) streamEnd {
	wd := startWatchdog(ctx, r.client.config.SilenceTimeout)
	defer wd.stop()
	response, err := r.client.do(request.WithContext(wd.ctx))
	if err != nil {
		if isDialError(err) {
			r.dialRefused = isConnectionRefused(err)
			return r.fail(endNotSent, "engine is not reachable")
		}
		return r.recordBroken(wd)
	}
	defer response.Body.Close()
	wd.reset()
	isInitial := request.Method == http.MethodPost
	switch {
	case response.StatusCode == http.StatusOK:
	case isInitial:
		return r.returnStatus(response)
	case response.StatusCode == http.StatusNotFound:
		return r.fail(endUnknownStream, "engine has lost the stream")
	default:
		return r.recordBroken(wd)
	}
	r.outcome.MayHaveRun = true
	r.sink.SetResult(wire.Result{Status: http.StatusOK, ContentType: eventStreamType})
	r.atStart = true
	return r.readEvents(wd, newSSEReader(wd.reader(response.Body)))
}

func (r *chatRun) readEvents(wd *watchdog, events *sseReader) streamEnd {
	for {
		e, err := events.next()
		if err != nil {
			return r.recordBroken(wd)
		}
		if string(e.data) == doneMarker {
			return r.handleDone()
		}
		if end, finished := r.handleEvent(e); finished {
			return end
		}
	}
}

// handleDone handles the end marker. The marker carries no stream ID, so it may
// belong to another stream whose events were mixed into this connection. It is
// accepted only after this stream's usage, or, in case the engine reports no
// usage, if a second connection ends at the same index.
func (r *chatRun) handleDone() streamEnd {
	if r.outcome.OutputKnown || (r.doneUnconfirmed && r.doneIndex == r.nextIndex) {
		return endComplete
	}
	r.client.counts.Inc("end_doubtful")
	r.doneUnconfirmed, r.doneIndex = true, r.nextIndex
	return endBroken
}

// handleEvent processes one event. The bool reports whether to stop reading from
// this connection.
func (r *chatRun) handleEvent(e sseEvent) (streamEnd, bool) {
	var c chunk
	if err := json.Unmarshal(e.data, &c); err != nil || !utf8.Valid(e.data) {
		r.client.counts.Inc("event_malformed")
		return endBroken, true
	}
	if c.Error != nil {
		return r.fail(endEngineError, c.Error.Message), true
	}
	if c.ID != r.id {
		r.client.counts.Inc("event_crossed")
		return 0, false
	}
	atStart := r.atStart
	r.atStart = false
	if e.hasIndex && e.index < r.nextIndex {
		r.client.counts.Inc("event_late")
		return 0, false
	}
	if e.hasIndex && e.index > r.nextIndex {
		r.client.counts.Inc("event_gap")
		return endBroken, true
	}
	// In a numbered stream an event without a number may be any other one. The first event of
	// a connection is the one that was asked for.
	if !e.hasIndex && r.numbered && !atStart {
		r.client.counts.Inc("event_unnumbered")
		return endBroken, true
	}
	r.numbered = r.numbered || e.hasIndex
	if !r.sink.AddEvent(e.data, c.outputTokens()) {
		return endSinkFull, true
	}
	r.nextIndex++
	if c.Usage != nil {
		r.outcome.Prompt, r.outcome.PromptKnown = max(c.Usage.Prompt, 0), true
		r.outcome.Output, r.outcome.OutputKnown = max(c.Usage.Completion, 0), true
	}
	return 0, false
}

// returnStatus handles a status other than 200 to the initial request: the
// engine's response is returned to the caller, and nothing is billed.
func (r *chatRun) returnStatus(response *http.Response) streamEnd {
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes)) // a partial body is used on a read error
	r.outcome.Result = wire.Result{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Message:     "engine answered status " + strconv.Itoa(response.StatusCode),
	}
	r.sink.SetResult(r.outcome.Result)
	r.sink.AddEvent(body, 0)
	return endRefused
}

// fail sets a 502 result with the message and returns end.
func (r *chatRun) fail(end streamEnd, message string) streamEnd {
	r.outcome.Result = wire.Result{Status: http.StatusBadGateway, Message: message}
	return end
}

// recordBroken counts the loss of the connection by its cause and returns
// endBroken.
func (r *chatRun) recordBroken(wd *watchdog) streamEnd {
	if wd.timedOut() {
		r.client.counts.Inc("connection_silent")
	} else {
		r.client.counts.Inc("connection_broken")
	}
	return endBroken
}

// finish fills in the outcome, and cancels the stream at the engine if it may
// still be running there.
func (r *chatRun) finish(ctx context.Context, end streamEnd) {
	switch end {
	case endComplete:
		r.outcome.Complete = true
		r.outcome.Result = wire.Result{Status: http.StatusOK, ContentType: eventStreamType}
	case endRefused:
		r.outcome.Complete = r.outcome.Result.Status < http.StatusInternalServerError && r.outcome.Result.Status != http.StatusTooManyRequests
	case endNotSent:
		r.outcome.MayHaveRun = false
	case endUnknownStream:
		r.outcome.MayHaveRun = r.nextIndex > 0
	case endBroken, endSinkFull, endEngineError:
		r.outcome.MayHaveRun = true
		r.client.cancelStream(ctx, r.id)
	}
	if r.outcome.MayHaveRun && !r.outcome.PromptKnown {
		r.countPromptTokens(ctx)
	}
}

// countPromptTokens asks the engine's tokenizer for the prompt's size, for a
// stream that ended without usage. If that fails too, the gate bills the bound.
func (r *chatRun) countPromptTokens(ctx context.Context) {
	count, err := r.client.CountPromptTokens(context.WithoutCancel(ctx), r.job.Call.Body)
	if err != nil {
		r.client.counts.Inc("prompt_uncounted")
		return
	}
	r.outcome.Prompt, r.outcome.PromptKnown = count, true
}
