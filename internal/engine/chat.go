package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/gate"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/wire"
)

const (
	eventStream = "text/event-stream"
	doneMarker  = "[DONE]"
)

// chunk is the part of a chat.completion.chunk that the side process reads.
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

// tokens counts the output tokens of a chunk: one per choice with content.
func (c *chunk) tokens() int64 {
	var n int64
	for _, choice := range c.Choices {
		if choice.Delta.Content != "" {
			n++
		}
	}
	return n
}

// chatBody returns the caller's request as it is sent to the engine: always
// streaming, with usage, and with the output bounded.
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

// streamID names a run at the engine.
func streamID(run ident.RunID) string {
	return strconv.FormatUint(uint64(run.Gate), 10) + "-" + strconv.FormatUint(run.Number, 10)
}

// streamEnd is how one connection of a stream ended.
type streamEnd uint8

const (
	endComplete streamEnd = iota // the engine ended the answer
	endRefused                   // the engine did not run it, Result says why
	endNotSent                   // the engine was not reached
	endBroken                    // the connection broke or went silent
	endLost                      // the engine does not know the stream
	endFailed                    // the engine reported a failure
	endStopped                   // the sink refused an event
)

// chatRun is one chat completion over as many connections as it takes.
type chatRun struct {
	client  *Client
	job     gate.Job
	sink    gate.Sink
	id      string
	next    uint64 // index of the next event
	ended   bool   // an end marker came without usage
	endedAt uint64 // index of the next event then
	notOpen bool   // the last dial was refused
	outcome gate.Outcome
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
	r.conclude(ctx, end)
	return r.outcome
}

// post starts the stream.
func (r *chatRun) post(ctx context.Context, body []byte) streamEnd {
	request, err := http.NewRequest(http.MethodPost, r.client.base+"/v1/chat/completions", strings.NewReader(string(body)))
	if err != nil {
		return r.failed(endNotSent, err.Error())
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Accept", eventStream)
	request.Header.Set("X-Request-Id", r.id)
	if r.job.Call.Adapter != "" {
		request.Header.Set("X-Adapter", string(r.job.Call.Adapter))
	}
	return r.exchange(ctx, request)
}

// exchange sends a request on a new connection and reads events from it until
// it ends, breaks or is silent for too long.
func (r *chatRun) exchange(ctx context.Context, request *http.Request) streamEnd {
	watch := watchSilence(ctx, r.client.config.SilenceTimeout)
	defer watch.stop()
	response, err := r.client.http.Do(request.WithContext(watch.ctx))
	if err != nil {
		if notSent(err) {
			r.notOpen = refused(err)
			return r.failed(endNotSent, "engine is not reachable")
		}
		return r.broken(watch)
	}
	defer response.Body.Close()
	watch.sign()
	first := request.Method == http.MethodPost
	switch {
	case response.StatusCode == http.StatusOK:
	case first:
		return r.refused(response)
	case response.StatusCode == http.StatusNotFound:
		return r.failed(endLost, "engine has lost the stream")
	default:
		return r.broken(watch)
	}
	r.outcome.MayHaveRun = true
	r.sink.SetResult(wire.Result{Status: http.StatusOK, ContentType: eventStream})
	return r.readEvents(watch, newSSEReader(watch.reader(response.Body)))
}

func (r *chatRun) readEvents(watch *silenceWatch, events *sseReader) streamEnd {
	for {
		e, err := events.next()
		if err != nil {
			return r.broken(watch)
		}
		if string(e.data) == doneMarker {
			return r.done()
		}
		if end, over := r.take(e); over {
			return end
		}
	}
}

// done handles the end marker. It names no stream, so that a crossed one is
// told only by what came before: the own usage, or the same end on a second
// connection if the engine reports no usage.
func (r *chatRun) done() streamEnd {
	if r.outcome.OutputKnown || (r.ended && r.endedAt == r.next) {
		return endComplete
	}
	r.client.counts.Inc("end_doubtful")
	r.ended, r.endedAt = true, r.next
	return endBroken
}

// take handles one event and reports whether the connection's part is over.
func (r *chatRun) take(e sseEvent) (streamEnd, bool) {
	var c chunk
	if err := json.Unmarshal(e.data, &c); err != nil {
		r.client.counts.Inc("event_malformed")
		return endBroken, true
	}
	if c.Error != nil {
		return r.failed(endFailed, c.Error.Message), true
	}
	if c.ID != r.id {
		r.client.counts.Inc("event_crossed")
		return 0, false
	}
	if e.indexed && e.index < r.next {
		r.client.counts.Inc("event_late")
		return 0, false
	}
	if e.indexed && e.index > r.next {
		r.client.counts.Inc("event_gap")
		return endBroken, true
	}
	if !r.sink.AddEvent(e.data, c.tokens()) {
		return endStopped, true
	}
	r.next++
	if c.Usage != nil {
		r.outcome.Prompt, r.outcome.PromptKnown = max(c.Usage.Prompt, 0), true
		r.outcome.Output, r.outcome.OutputKnown = max(c.Usage.Completion, 0), true
	}
	return 0, false
}

// refused handles a status other than 200 to the first request. The engine's
// words are the answer, and nothing is billed.
func (r *chatRun) refused(response *http.Response) streamEnd {
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes)) // what there is
	r.outcome.Result = wire.Result{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Message:     "engine answered status " + strconv.Itoa(response.StatusCode),
	}
	r.sink.SetResult(r.outcome.Result)
	r.sink.AddEvent(body, 0)
	return endRefused
}

func (r *chatRun) failed(end streamEnd, message string) streamEnd {
	r.outcome.Result = wire.Result{Status: http.StatusBadGateway, Message: message}
	return end
}

func (r *chatRun) broken(watch *silenceWatch) streamEnd {
	if watch.silent() {
		r.client.counts.Inc("connection_silent")
	} else {
		r.client.counts.Inc("connection_broken")
	}
	return endBroken
}

// conclude fills the outcome in and stops the stream at the engine if it may
// still run there.
func (r *chatRun) conclude(ctx context.Context, end streamEnd) {
	switch end {
	case endComplete:
		r.outcome.Complete = true
		r.outcome.Result = wire.Result{Status: http.StatusOK, ContentType: eventStream}
	case endRefused:
		r.outcome.Complete = r.outcome.Result.Status < http.StatusInternalServerError && r.outcome.Result.Status != http.StatusTooManyRequests
	case endNotSent:
		r.outcome.MayHaveRun = false
	case endLost:
		r.outcome.MayHaveRun = r.next > 0
	case endBroken, endStopped, endFailed:
		r.outcome.MayHaveRun = true
		r.client.cancelStream(ctx, r.id)
	}
	if r.outcome.MayHaveRun && !r.outcome.PromptKnown {
		r.countPrompt(ctx)
	}
}

// countPrompt asks the engine for the prompt's size when the stream ended
// without telling it. If that fails too the gate bills the bound.
func (r *chatRun) countPrompt(ctx context.Context) {
	count, err := r.client.CountPromptTokens(context.WithoutCancel(ctx), r.job.Call.Body)
	if err != nil {
		r.client.counts.Inc("prompt_uncounted")
		return
	}
	r.outcome.Prompt, r.outcome.PromptKnown = count, true
}
