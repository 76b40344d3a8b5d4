package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc/pool"

	"github.com/camphorlever/camphorlever/internal/standin/engine"
)

// Script is what is sent to one deployment.
type Script struct {
	Routers []string // base URLs of callers' listeners
	Models  []string
	Service string
	Prompts []string
	Burst   int // further requests that are sent at once
}

// Summary adds up what became of the requests.
type Summary struct {
	Ran        int `json:"ran"`        // requests with a whole, right answer, each key once
	Refused    int `json:"refused"`    // refused as expected, truthfully not run
	Unfinished int `json:"unfinished"` // neither, or with a wrong answer
}

// runner carries a script out.
type runner struct {
	script  Script
	callers []*Caller
	ctx     context.Context
	quiet   bool       // requests that went well print nothing
	mu      sync.Mutex // guards out and summary
	out     io.Writer
	summary Summary
}

// Run carries a script out with the given callers and prints a line for each
// request.
func Run(ctx context.Context, script Script, callers []*Caller, out io.Writer) Summary {
	r := &runner{script: script, callers: callers, ctx: ctx, out: out}
	for i, prompt := range script.Prompts {
		r.chat(i, prompt, i%2 == 0, false)
	}
	r.chat(1, "Draft the notice, and only once.", false, true)
	r.retry()
	r.order()
	r.refusals()
	r.burst()
	return r.summary
}

func (r *runner) router(i int) string {
	return r.script.Routers[i%len(r.script.Routers)]
}

func (r *runner) caller(i int) *Caller {
	return r.callers[i%len(r.callers)]
}

func (r *runner) chatOf(i int, prompt string, stream bool) Chat {
	model := r.script.Models[i%len(r.script.Models)]
	messages := []engine.Message{{Role: "user", Content: prompt}}
	return Chat{Model: model, Messages: messages, MaxTokens: 64, Stream: stream}
}

// chat sends one chat request and checks its answer.
func (r *runner) chat(i int, prompt string, stream, once bool) {
	kind := map[bool]string{false: "plain", true: "streamed"}[stream]
	if once {
		kind = "not to be repeated"
	}
	chat := r.chatOf(i, prompt, stream)
	call, err := chat.Call()
	if err != nil {
		r.fault(kind, err.Error())
		return
	}
	call.Key, call.Once = uuid.NewString(), once
	reply, err := r.caller(i).Send(r.ctx, r.router(i), call)
	if problem := WrongChat(chat, reply, err); problem != "" {
		r.fault(kind, problem)
		return
	}
	r.ran(kind, fmt.Sprintf("%s: %q -> %q (%d tokens)", chat.Model, prompt, shorten(reply.Text), reply.Tokens))
}

// WrongChat says what is wrong with the answer to a chat request; nothing if it
// is whole and its own.
func WrongChat(chat Chat, reply Reply, err error) string {
	switch {
	case err != nil:
		return err.Error()
	case reply.Refusal != nil:
		return "refused: " + reply.Refusal.Code + ": " + reply.Refusal.Message
	case reply.Status != http.StatusOK:
		return fmt.Sprintf("status %d: %s", reply.Status, reply.Body)
	case !reply.Whole:
		return "the answer broke off"
	case reply.Text != chat.Want():
		return fmt.Sprintf("another's answer: %q, want %q", reply.Text, chat.Want())
	}
	return ""
}

// retry sends one request to two routers with one idempotency key.
func (r *runner) retry() {
	const kind = "retried elsewhere"
	chat := r.chatOf(0, "Which row holds the Vance family?", false)
	call, err := chat.Call()
	if err != nil {
		r.fault(kind, err.Error())
		return
	}
	call.Key = uuid.NewString()
	runs := [2]string{}
	for i := range runs {
		reply, err := r.caller(0).Send(r.ctx, r.router(i), call)
		if problem := WrongChat(chat, reply, err); problem != "" {
			r.fault(kind, problem)
			return
		}
		runs[i] = reply.Run
	}
	if runs[0] != runs[1] {
		r.fault(kind, "ran twice: "+runs[0]+" and "+runs[1])
		return
	}
	r.ran(kind, "the same run "+runs[0]+" answered at two routers")
}

// order sends a call of a plain service twice with one key; it must run once.
func (r *runner) order() {
	const kind = "service call"
	call := Call{Method: http.MethodPost, Path: "/services/" + r.script.Service + "/orders", Key: uuid.NewString(), Body: []byte(`{"copies":2}`)}
	var answers [2][]byte
	for i := range answers {
		reply, err := r.caller(0).Send(r.ctx, r.router(i), call)
		if err != nil || reply.Status != http.StatusOK {
			r.fault(kind, fmt.Sprintf("status %d, %s, %v", reply.Status, reply.Body, err))
			return
		}
		answers[i] = reply.Body
	}
	var done engine.Done
	if json.Unmarshal(answers[0], &done) != nil || !done.OK || !bytes.Equal(answers[0], answers[1]) {
		r.fault(kind, fmt.Sprintf("answers %q and %q", answers[0], answers[1]))
		return
	}
	r.ran(kind, fmt.Sprintf("%s, twice with one key: %s", call.Path, bytes.TrimSpace(answers[0])))
}

// refusals sends what must be refused, and be not run.
func (r *runner) refusals() {
	model := r.script.Models[0]
	chat := func(format string, args ...any) Call {
		return Call{Method: http.MethodPost, Path: "/v1/chat/completions", Body: fmt.Appendf(nil, format, args...)}
	}
	stranger := NewCaller("nobody's key")
	for i, c := range []struct {
		kind   string
		code   string
		caller *Caller
		call   Call
	}{
		{"malformed", "bad_request", r.caller(0), chat(`{"model":`)},
		{"unknown model", "unknown_model", r.caller(0), chat(`{"model":"none","messages":[{"role":"user","content":"x"}]}`)},
		{"absurd output", "output_too_large", r.caller(0), chat(`{"model":%q,"messages":[{"role":"user","content":"x"}],"max_tokens":2000000000}`, model)},
		{"unknown key", "unauthorized", stranger, chat(`{"model":%q,"messages":[{"role":"user","content":"x"}]}`, model)},
	} {
		reply, err := c.caller.Send(r.ctx, r.router(i), c.call)
		if err != nil || reply.Refusal == nil || reply.Refusal.Code != c.code || reply.Refusal.Ran != "not_run" {
			r.fault(c.kind, fmt.Sprintf("status %d, %s, %v", reply.Status, reply.Body, err))
			continue
		}
		r.refused(c.kind, fmt.Sprintf("%d %s: %s", reply.Status, reply.Refusal.Code, reply.Refusal.Message))
	}
}

// burst sends requests at once, all with answers of their own, and prints one
// line for them.
func (r *runner) burst() {
	before := r.summary.Ran
	r.quiet = true
	workers := pool.New().WithMaxGoroutines(max(1, min(r.script.Burst, 16)))
	for i := range r.script.Burst {
		workers.Go(func() { r.chat(i, fmt.Sprintf("Question %d of many", i), i%3 != 0, false) })
	}
	workers.Wait()
	fmt.Fprintf(r.out, "  %-18s %d of %d answers whole and their own\n", "at once", r.summary.Ran-before, r.script.Burst)
}

func (r *runner) ran(kind, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.summary.Ran++
	if r.quiet {
		return
	}
	fmt.Fprintf(r.out, "  %-18s %s\n", kind, text)
}

func (r *runner) refused(kind, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.summary.Refused++
	fmt.Fprintf(r.out, "  %-18s %s\n", kind, text)
}

func (r *runner) fault(kind, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.summary.Unfinished++
	fmt.Fprintf(r.out, "  %-18s FAILED %s\n", kind, text)
}

// shownRunes is how much of an answer is printed.
const shownRunes = 40

func shorten(text string) string {
	runes := []rune(text)
	if len(runes) <= shownRunes {
		return text
	}
	return string(runes[:shownRunes]) + "..."
}
