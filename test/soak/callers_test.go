package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/camphorlever/camphorlever/platform/standin"
)

// accountCount is how many client accounts call.
const accountCount = 3

// accounts: one that never runs out, one that does within a run, and one that
// has hardly any tokens.
var accounts = [accountCount]struct {
	name    string
	prepaid int64
}{{"rich", 10_000_000}, {"spender", 60_000}, {"poor", 3_000}}

// Time that routes give a request. The bounds of the promises count from it.
const (
	wholeTimeout  = 1200 * time.Millisecond
	streamTimeout = 3 * time.Second
)

const callerCount = 18

// uploadBytes is the length of a long body.
const uploadBytes = 1 << 20

// settingsOf is a version of the operators' settings.
func settingsOf(version int, prepaid [accountCount]int64, keys [accountCount]int) standin.Settings {
	s := standin.Settings{
		Version: version, Services: []string{"svc", "other"}, TokensPerEvent: tokensPerEvent, MaxBodyBytes: uploadBytes,
		Routes: []standin.Route{
			{Prefix: "once", Kind: standin.NonIdempotent, Service: "svc", Timeout: wholeTimeout},
			{Prefix: "safe", Kind: standin.Idempotent, Service: "svc", Timeout: wholeTimeout},
			{Prefix: "stream", Kind: standin.Streaming, Service: "svc", Timeout: streamTimeout},
			{Prefix: "resume", Kind: standin.Streaming, Service: "svc", Timeout: streamTimeout, Resumable: true},
			{Prefix: "other", Kind: standin.Idempotent, Service: "other", Timeout: wholeTimeout},
		},
	}
	for i, a := range accounts {
		s.Accounts = append(s.Accounts, standin.Account{Name: a.name, APIKey: keyOf(i, keys[i]), PrepaidTokens: prepaid[i]})
	}
	return s
}

func keyOf(account, generation int) string { return fmt.Sprintf("key-%d-%d", account, generation) }

// request is what a caller asked and what came of it.
type request struct {
	attempt    string
	kind       string
	path       string
	events     int
	deadly     bool // the prompt has the deadly part
	upload     bool // the body is long
	account    int
	generation int // of the key
	router     int
	sent       time.Time
	ended      time.Time

	unsent bool // no connection came about
	gone   bool // the caller left early
	status int
	header http.Header
	body   string
	cut    error // the answer did not come whole
}

// repeats reports whether the request may run more than once.
func (q *request) repeats() bool { return q.kind == "safe" || q.kind == "resume" || q.kind == "other" }

func (q *request) timeout() time.Duration {
	if q.events > 0 {
		return streamTimeout
	}
	return wholeTimeout
}

// callers make requests until the load is over, each with connections of its
// own that it keeps using until the process is gone.
func (w *world) callers(ctx context.Context, seed uint64, impatient *atomic.Bool) {
	for i := range callerCount {
		w.work.Go(func() {
			r := rand.New(rand.NewPCG(seed, uint64(i)))
			transport := &http.Transport{DisableCompression: true}
			defer transport.CloseIdleConnections()
			for n := 0; ctx.Err() == nil; n++ {
				q := w.choose(r, fmt.Sprintf("%d-%d-%d", seed, i, n))
				w.send(transport, q, impatient.Load() && r.IntN(3) == 0)
				if q.unsent {
					time.Sleep(50 * time.Millisecond)
				}
				time.Sleep(time.Duration(10+r.IntN(60)) * time.Millisecond)
			}
		})
	}
}

func (w *world) choose(r *rand.Rand, attempt string) *request {
	q := &request{attempt: attempt, router: r.IntN(routerCount), account: r.IntN(accountCount)}
	q.kind = []string{"once", "once", "safe", "safe", "other", "stream", "stream", "stream", "resume", "resume"}[r.IntN(10)]
	q.path = "/" + q.kind + "/" + attempt
	if q.kind == "stream" || q.kind == "resume" {
		q.events = 2 + r.IntN(60)
		q.path = fmt.Sprintf("/%s/%d/%s", q.kind, q.events, attempt)
		q.deadly = w.deadly.Load() && r.IntN(6) == 0
	}
	q.upload = w.uploads.Load() && r.IntN(4) == 0
	w.mu.Lock()
	defer w.mu.Unlock()
	q.generation = w.keys[q.account]
	if q.generation > 0 && r.IntN(6) == 0 {
		q.generation-- // a caller that has not heard of its new key
	}
	return q
}

// send makes a request and notes what came of it.
func (w *world) send(transport http.RoundTripper, q *request, leaves bool) {
	ctx, cancel := context.WithTimeout(context.Background(), q.timeout()+5*time.Second)
	defer cancel()
	if leaves {
		time.AfterFunc(20*time.Millisecond, cancel)
		q.gone = true
	}
	call, err := w.callOf(q).HTTPRequest()
	if err != nil {
		w.notes.broken("%v", err)
		return
	}
	call = call.WithContext(ctx)
	q.sent = time.Now()
	reply, err := transport.RoundTrip(call)
	if err == nil {
		var raw []byte
		raw, err = io.ReadAll(reply.Body)
		_ = reply.Body.Close() // read to its end, or broken
		q.status, q.header, q.body = reply.StatusCode, reply.Header, string(raw)
	}
	q.ended, q.cut = time.Now(), err
	q.unsent = err != nil && q.status == 0 && strings.Contains(err.Error(), "connect")
	w.notes.ended(q)
}

// callOf is a request as it goes to its router.
func (w *world) callOf(q *request) standin.Call {
	c := standin.Call{
		Method: http.MethodPost, RouterAddress: w.routers[q.router].vm.CallersAddress(), Host: standin.Host, Path: q.path,
		AttemptID: q.attempt, APIKey: keyOf(q.account, q.generation),
	}
	if q.kind == "safe" || q.kind == "other" {
		c.Method = http.MethodGet
	}
	if q.upload {
		c.Body = strings.Repeat("u", uploadBytes)
	}
	if q.events > 0 {
		c.MaxOutputTokens = int64(q.events) * tokensPerEvent
		c.Prompt = []standin.PromptPart{{ID: "aa", Tokens: sharedTokens}, {ID: q.attempt[:1] + "b", Tokens: promptTokens - sharedTokens}}
		if q.deadly {
			c.Prompt = slices.Insert(c.Prompt, 1, standin.PromptPart{ID: deadlyPart})
		}
	}
	return c
}
