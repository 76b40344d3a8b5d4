// Package load sends requests to routers as callers do and checks each answer
// against what the stand-in backend servers must have said.
package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/standin/engine"
)

// callTimeout bounds one request of a caller.
const callTimeout = 60 * time.Second

// Chat is one chat request.
type Chat struct {
	Model     string
	Adapter   string
	Messages  []engine.Message
	MaxTokens int
	Stream    bool
}

// Call is one HTTP request of a caller.
type Call struct {
	Method  string
	Path    string
	Key     string // idempotency key, may be empty
	Once    bool   // not to be repeated
	Adapter string
	Body    []byte
}

// Reply is what a caller got.
type Reply struct {
	Status   int
	Body     []byte
	Run      string // X-Camphor-Run
	Replayed bool
	Refusal  *Refusal // also one that ended a stream
	Text     string   // of a chat answer
	Whole    bool     // the answer came to its end
	Tokens   int64    // total usage of a chat answer
}

// Refusal is the JSON of a refusal.
type Refusal struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Ran     string `json:"ran"`
}

// Caller sends requests with one client account's key.
type Caller struct {
	Secret string
	client *http.Client
}

// NewCaller returns a caller. Each request dials anew.
func NewCaller(secret string) *Caller {
	transport := &http.Transport{DisableKeepAlives: true}
	return &Caller{Secret: secret, client: &http.Client{Transport: transport, Timeout: callTimeout}}
}

// chatBody is the JSON of a chat request.
type chatBody struct {
	Model     string           `json:"model"`
	Messages  []engine.Message `json:"messages"`
	MaxTokens int              `json:"max_tokens"`
	Stream    bool             `json:"stream"`
}

// Call returns the HTTP request of a chat request.
func (c Chat) Call() (Call, error) {
	body, err := json.Marshal(chatBody{Model: c.Model, Messages: c.Messages, MaxTokens: c.MaxTokens, Stream: c.Stream})
	return Call{Method: http.MethodPost, Path: "/v1/chat/completions", Adapter: c.Adapter, Body: body}, err
}

// Want returns the answer that the request must get.
func (c Chat) Want() string {
	return strings.Join(engine.Answer(c.Model, c.Adapter, c.Messages, c.MaxTokens), "")
}

// Send makes a request to a router and reads its answer. It fails only if no
// answer began or a plain answer broke off.
func (c *Caller) Send(ctx context.Context, router string, call Call) (Reply, error) {
	request, err := http.NewRequestWithContext(ctx, call.Method, router+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return Reply{}, errors.Wrap(err, "request")
	}
	c.headers(request.Header, call)
	response, err := c.client.Do(request)
	if err != nil {
		return Reply{}, errors.Wrap(err, "no answer")
	}
	defer response.Body.Close()
	reply := Reply{
		Status:   response.StatusCode,
		Run:      response.Header.Get("X-Camphor-Run"),
		Replayed: response.Header.Get("X-Camphor-Replayed") != "",
	}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		reply.readStream(response.Body)
		return reply, nil
	}
	if reply.Body, err = io.ReadAll(response.Body); err != nil {
		return reply, errors.Wrap(err, "answer broke off")
	}
	reply.Whole = true
	reply.readDocument()
	return reply, nil
}

func (c *Caller) headers(header http.Header, call Call) {
	header.Set("Content-Type", "application/json")
	header.Set("Authorization", "Bearer "+c.Secret)
	if call.Key != "" {
		header.Set("Idempotency-Key", call.Key)
	}
	if call.Once {
		header.Set("X-Camphor-Once", "true")
	}
	if call.Adapter != "" {
		header.Set("X-Adapter", call.Adapter)
	}
}

// event is a chunk of a stream, a whole answer, or a refusal.
type event struct {
	Choices []struct {
		Delta   engine.Message `json:"delta"`
		Message engine.Message `json:"message"`
	} `json:"choices"`
	Usage *struct {
		Total int64 `json:"total_tokens"`
	} `json:"usage"`
	Error *Refusal `json:"error"`
}

func (r *Reply) take(e event) {
	for _, choice := range e.Choices {
		r.Text += choice.Delta.Content + choice.Message.Content
	}
	if e.Usage != nil {
		r.Tokens = e.Usage.Total
	}
	if e.Error != nil {
		r.Refusal = e.Error
	}
}

func (r *Reply) readDocument() {
	var e event
	if json.Unmarshal(r.Body, &e) == nil {
		r.take(e)
	}
}

// readStream reads server-sent events up to the end of the answer.
func (r *Reply) readStream(body io.Reader) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.Whole = true
			return
		}
		var e event
		if json.Unmarshal([]byte(data), &e) == nil {
			r.take(e)
		}
	}
}
