package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
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

// settingsText is a version of the operators' settings.
func settingsText(version int, prepaid [accountCount]int64, keys [accountCount]int) string {
	route := func(path, kind, service string, timeout time.Duration, more string) string {
		return fmt.Sprintf(`{"name":"r-%s","host":"maps.example","path_prefix":"/%s/","route_kind":%q,"service":%q,"timeout_ms":%d,`+
			`"target_latency_ms":100,"priority":1,"max_attempts":2,"gap_target_ms":100%s}`, path, path, kind, service, timeout.Milliseconds(), more)
	}
	routes := []string{
		route("once", "non_idempotent", "svc", wholeTimeout, ""), route("safe", "idempotent", "svc", wholeTimeout, ""),
		route("stream", "streaming", "svc", streamTimeout, ""), route("resume", "streaming", "svc", streamTimeout, `,"stream_resumption":true`),
		route("other", "idempotent", "other", wholeTimeout, ""),
	}
	var tenants []string
	for i, a := range accounts {
		tenants = append(tenants, fmt.Sprintf(`{"name":%q,"api_keys":[%q],"prepaid_tokens":%d}`, a.name, keyOf(i, keys[i]), prepaid[i]))
	}
	service := `{"name":%q,"connection_limit":200,"inference_engine":{"capacity_slots":4,"stride":%d}}`
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[`+service+`,`+service+`],`+
		`"limits":{"max_body_bytes":1000,"max_header_bytes":16384},"tenants":[%s]}`,
		version, strings.Join(routes, ","), "svc", tokensPerEvent, "other", tokensPerEvent, strings.Join(tenants, ","))
}

func keyOf(account, generation int) string { return fmt.Sprintf("key-%d-%d", account, generation) }

// request is what a caller asked and what came of it.
type request struct {
	attempt    string
	kind       string
	path       string
	events     int
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
	}
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
	method := http.MethodPost
	if q.kind == "safe" || q.kind == "other" {
		method = http.MethodGet
	}
	call, err := http.NewRequestWithContext(ctx, method, "http://"+w.routers[q.router].ip+":8227"+q.path, nil)
	if err != nil {
		w.notes.broken("request %s: %v", q.attempt, err)
		return
	}
	call.Host = "maps.example"
	call.GetBody = nil // nothing is sent again by itself
	call.Header.Set("X-Camphorlever-Attempt-Id", q.attempt)
	call.Header.Set("Authorization", "Token "+keyOf(q.account, q.generation))
	if q.events > 0 {
		call.Header.Set("X-Camphorlever-Model", "m")
		call.Header.Set("X-Camphorlever-Token-Usage", fmt.Sprintf("%d,%d", promptTokens, q.events*tokensPerEvent))
		call.Header.Set("X-Camphorlever-Prompt-Prefix", "aa:60,"+q.attempt[:1]+"b:40")
	}
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
