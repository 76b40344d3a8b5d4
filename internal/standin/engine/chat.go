package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"

	"github.com/camphorlever/camphorlever/internal/prefix"
)

const (
	defaultMaxTokens = 256
	// keptStreams bounds the finished streams kept for resumption.
	keptStreams = 4096
)

// chatRequest is the part of a chat request that the engine reads.
type chatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
	Priority  int       `json:"priority"`
	adapter   string
}

// tokenCount is the reply of the tokenizer.
type tokenCount struct {
	Count int64 `json:"count"`
}

func (e *Engine) tokenize(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var request chatRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	reply(w, tokenCount{Count: CountTokens(request.Messages)})
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var request chatRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	request.adapter = r.Header.Get("X-Adapter")
	if !e.orders.holds(request.Model, request.adapter) {
		refuse(w, http.StatusNotFound, "model or adapter is not loaded")
		return
	}
	if request.MaxTokens <= 0 {
		request.MaxTokens = defaultMaxTokens
	}
	id := r.Header.Get("X-Request-Id")
	if id == "" {
		id = uuid.NewString()
	}
	s := e.start(id, request)
	if request.Stream {
		e.serveStream(w, r, s, 0)
		return
	}
	e.serveWhole(w, r, s, request)
}

// start begins generating in the background. The stream goes on when its
// caller's connection breaks, until it is cancelled.
func (e *Engine) start(id string, request chatRequest) *stream {
	ctx, cancel := context.WithCancel(context.Background())
	s := newStream(id, cancel)
	e.mu.Lock()
	e.streams[id] = s
	e.runs[id]++
	e.forgetLocked()
	e.mu.Unlock()
	fails := e.faults.fails()
	e.group.Go(func() { e.generate(ctx, s, request, fails) })
	return s
}

// forgetLocked drops finished streams when too many are kept.
func (e *Engine) forgetLocked() {
	if len(e.streams) <= keptStreams {
		return
	}
	for id, s := range e.streams {
		if s.finished() {
			delete(e.streams, id)
		}
	}
}

// generate fills a stream: it waits for a slot, prefills, and adds a token at
// a time.
func (e *Engine) generate(ctx context.Context, s *stream, request chatRequest, fails bool) {
	defer s.finish()
	if !e.slots.acquire(ctx, request.Priority) {
		return
	}
	defer e.slots.release()
	prompt := CountTokens(request.Messages)
	if !e.prefill(ctx, request, prompt) {
		return
	}
	tokens := Answer(request.Model, request.adapter, request.Messages, request.MaxTokens)
	for i, token := range tokens {
		now, _ := e.faults.get()
		pause := now.token
		if now.mode == ModeSlow {
			pause += now.slow
		}
		if !e.faults.pause(ctx, pause) {
			return
		}
		if fails && i == len(tokens)/2 {
			s.add(mustJSON(errorReply{Error: errorBody{Message: "engine failed"}}))
			return
		}
		s.add(s.chunk(request.Model, choice{Delta: delta{Content: token}}))
	}
	s.add(s.last(request.Model, finishReason(len(tokens), request.MaxTokens), usageOf(prompt, len(tokens))))
}

// prefill takes the time of the prompt tokens that are not cached.
func (e *Engine) prefill(ctx context.Context, request chatRequest, prompt int64) bool {
	cached := e.cache.use(prefix.BlockHashes([]byte(contents(request.Messages))))
	fresh := max(0, prompt-int64(cached*prefix.BlockBytes/bytesPerToken))
	now, _ := e.faults.get()
	return e.faults.pause(ctx, now.late+time.Duration(fresh)*now.prefill)
}

func finishReason(tokens, limit int) string {
	if tokens == limit {
		return "length"
	}
	return "stop"
}

// completion is the answer to a request that did not ask for a stream.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage"`
}

func (e *Engine) serveWhole(w http.ResponseWriter, r *http.Request, s *stream, request chatRequest) {
	select {
	case <-s.done:
	case <-r.Context().Done():
		return
	}
	var text strings.Builder
	answer := completion{ID: s.id, Object: "chat.completion", Model: request.Model}
	for _, event := range s.from(0) {
		var c chunk
		if err := json.Unmarshal(event, &c); err != nil || len(c.Choices) == 0 {
			refuse(w, http.StatusInternalServerError, "engine failed")
			return
		}
		text.WriteString(c.Choices[0].Delta.Content)
		answer.Usage = c.Usage
	}
	if answer.Usage == nil {
		refuse(w, http.StatusInternalServerError, "engine failed")
		return
	}
	answer.Choices = []choice{{Message: &Message{Role: "assistant", Content: text.String()}}}
	reply(w, answer)
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || from < 0 {
		refuse(w, http.StatusBadRequest, "from: want a whole number")
		return
	}
	s, ok := e.stream(params)
	if !ok {
		refuse(w, http.StatusNotFound, "stream is not known")
		return
	}
	e.serveStream(w, r, s, from)
}

func (e *Engine) cancel(w http.ResponseWriter, _ *http.Request, params httprouter.Params) {
	s, ok := e.stream(params)
	if !ok {
		refuse(w, http.StatusNotFound, "stream is not known")
		return
	}
	s.cancel()
	reply(w, struct{}{})
}

func (e *Engine) stream(params httprouter.Params) (*stream, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[params.ByName("id")]
	return s, ok
}

// serveStream writes the events of a stream from an index on, as they come.
func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request, s *stream, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	_ = flusher.Flush() // a caller that is gone shows in the writes below
	for {
		events, grown, done := s.wait(from)
		for _, event := range events {
			if !e.hold(r) {
				return
			}
			e.cross(w, s)
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", from, event)
			from++
		}
		if done && len(events) == 0 {
			break
		}
		if flusher.Flush() != nil {
			return
		}
		select {
		case <-grown:
		case <-r.Context().Done():
			return
		}
	}
	if !s.whole() || !e.hold(r) {
		return
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

// hold applies the faults that stop a stream in its course.
func (e *Engine) hold(r *http.Request) bool {
	now, _ := e.faults.get()
	switch now.mode {
	case ModeDown, ModeLoseReplies:
		panic(http.ErrAbortHandler) // net/http's way to drop a connection
	case ModeSilent:
		<-r.Context().Done()
		return false
	}
	return e.faults.pause(r.Context(), 0)
}

// cross writes an event of another stream if answers are to cross.
func (e *Engine) cross(w http.ResponseWriter, s *stream) {
	if now, _ := e.faults.get(); !now.cross {
		return
	}
	other := &stream{id: "other-" + s.id}
	fmt.Fprintf(w, "data: %s\n\n", other.chunk("", choice{Delta: delta{Content: "someone else's "}}))
}
