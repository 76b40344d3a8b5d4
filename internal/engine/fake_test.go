package engine

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"

	"github.com/rs/zerolog"

	"github.com/camphorlever/camphorlever/internal/gate"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/pipetest"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// fakeEngine calls handle for each request with the request's index, in the
// order of arrival.
type fakeEngine struct {
	mu       sync.Mutex
	requests []string // method and path
	handle   func(n int, w http.ResponseWriter, r *http.Request)
	listener *pipetest.Listener
}

func (f *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Body != nil {
		io.Copy(io.Discard, r.Body)
	}
	f.mu.Lock()
	n := len(f.requests)
	f.requests = append(f.requests, r.Method+" "+r.URL.RequestURI())
	f.mu.Unlock()
	f.handle(n, w, r)
}

func (f *fakeEngine) requestLines() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.requests...)
}

// newFakeEngine starts an engine and returns it with a client and a function that
// stops it, which must be called before the synctest bubble ends.
func newFakeEngine(t *testing.T, handle func(n int, w http.ResponseWriter, r *http.Request)) (*fakeEngine, *Client, func()) {
	t.Helper()
	f := &fakeEngine{handle: handle}
	f.listener = pipetest.New()
	server := &http.Server{Handler: f}
	go server.Serve(f.listener)
	client := New(Config{URL: "http://engine", Logger: zerolog.Nop(), Transport: f.listener.Transport()})
	return f, client, func() { server.Close() }
}

// writeTokens writes the events from to to-1 of the stream with the given ID.
func writeTokens(w http.ResponseWriter, id string, from, to int) {
	w.Header().Set("Content-Type", eventStreamType)
	for i := from; i < to; i++ {
		fmt.Fprintf(w, "data: {\"id\":%q,\"choices\":[{\"delta\":{\"content\":\"w%d\"}}]}\n\n", id, i)
	}
	w.(http.Flusher).Flush()
}

// writeEnd writes the usage and the end marker.
func writeEnd(w http.ResponseWriter, id string, prompt, output int) {
	fmt.Fprintf(w, "data: {\"id\":%q,\"choices\":[],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d}}\n\n", id, prompt, output)
	fmt.Fprint(w, "data: [DONE]\n\n")
}

// recordingSink is a sink that records what it gets. With a limit it refuses
// events that would exceed that number of tokens.
type recordingSink struct {
	events []string
	tokens int64
	limit  int64
	result wire.Result
}

func (r *recordingSink) SetResult(result wire.Result) { r.result = result }

func (r *recordingSink) AddEvent(data []byte, tokens int64) bool {
	if r.limit > 0 && r.tokens+tokens > r.limit {
		return false
	}
	r.events = append(r.events, string(data))
	r.tokens += tokens
	return true
}

const chatID = "7-1"

func chatJob() gate.Job {
	return gate.Job{
		Run:       ident.RunID{Gate: 7, Number: 1},
		MaxOutput: 50,
		Call:      wire.Call{Model: "m", Body: []byte(`{"model":"m","messages":[{"role":"user","content":"hi"}]}`)},
	}
}
