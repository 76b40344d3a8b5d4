package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/camphorlever/camphorlever/platform/standin"
)

// generationSettings returns the operators' settings with two routes of generations.
func generationSettings(resumable bool) string {
	route := func(name string) string {
		return fmt.Sprintf(`{"name":"r-%s","host":%q,"path_prefix":"/%s/","route_kind":"streaming","service":"readers","timeout_ms":15000,`+
			`"target_latency_ms":300,"priority":2,"max_attempts":2,"session_affinity":true,"stream_resumption":%t,"gap_target_ms":250}`, name, standin.Host, name, resumable)
	}
	return `{"version":1,"routes":[` + route("survey") + "," + route("notes") + `],` +
		`"services":[{"name":"readers","health_path":"/healthz","connection_limit":620,"inference_engine":{"capacity_slots":128,"kv_cache_tokens":605083,"stride":4,"models":[{"name":"m"}]}}],` +
		`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},` +
		`"tenants":[{"name":"a","api_keys":["k"],"prepaid_tokens":8772356}]}`
}

// tokensPerEvent is the stride in generationSettings.
const tokensPerEvent = 4

// generate answers a generation with as many events as the request allows, one each pause.
func generate(w *world, pause time.Duration) standin.RequestHandler {
	return func(conn net.Conn, r *http.Request, _ int) {
		attempt := r.Header.Get("X-Camphorlever-Attempt-Id")
		_, output, _ := strings.Cut(r.Header.Get("X-Camphorlever-Token-Usage"), ",")
		most, _ := strconv.Atoi(output) // a missing header gives an empty answer
		events := most / tokensPerEvent
		w.add("server runs %s, %d events", attempt, events)
		w.ran.Store(attempt, true)
		if _, err := io.WriteString(conn, standin.StreamResponseHead(attempt)); err != nil {
			return
		}
		for id := 1; id <= events; id++ {
			time.Sleep(pause)
			if _, err := io.WriteString(conn, standin.Chunk(standin.FormatEvent(id, "text"))); err != nil {
				w.add("server was at event %d of %s when its connection broke", id, attempt)
				return
			}
		}
		_, _ = io.WriteString(conn, standin.FinalChunk)
		w.add("server has finished %s", attempt)
	}
}

// generation sends a generation and reads the answer. It reports whether that was complete.
func (c *caller) generation(w *world, attempt, route string, output int) bool {
	w.add("caller sends %s, at most %d tokens", attempt, output)
	fmt.Fprintf(c.conn, "POST /%s/1 HTTP/1.1\r\nHost: %s\r\nX-Camphorlever-Attempt-Id: %s\r\nX-Camphorlever-Deadline-Ms: 15000\r\nAuthorization: Token k\r\n"+
		"X-Camphorlever-Model: m\r\nX-Camphorlever-Token-Usage: 715,%d\r\nX-Camphorlever-Prompt-Prefix: 5c1e07a2:172,%x:543\r\nContent-Length: 2\r\n\r\nab",
		route, standin.Host, attempt, output, attempt)
	_ = c.conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	reply, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		w.add("%s: the connection ended without an answer: %v", attempt, err)
		return false
	}
	raw, err := io.ReadAll(reply.Body)
	w.add("%s: status %d, %d events, close %t, error %v", attempt, reply.StatusCode, standin.CountEvents(string(raw)), reply.Close, err)
	return err == nil
}

// stopLongAfterShort stops a router that has served short generations of a route, and sends
// it long ones over connections that callers kept.
func stopLongAfterShort(w *world) (bool, error) {
	const (
		callers     = 4
		eventPause  = 80 * time.Millisecond
		shortOutput = 8   // tokens: 2 events
		longOutput  = 400 // tokens: 100 events
		sentAfter   = 3300 * time.Millisecond
	)
	server, err := standin.NewBackendServer("i-1", "127.0.0.1:0", generate(w, eventPause))
	if err != nil {
		return false, err
	}
	w.register(server, "readers", standin.Ready)
	w.publish(generationSettings(false))
	r, err := w.startRouter(w.store.Address())
	if err != nil {
		return false, err
	}
	if err := r.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(settleWindow + 500*time.Millisecond) // calm, so that the router is in touch
	var kept []*caller
	for i := range callers {
		c, err := r.dial()
		if err != nil {
			return false, err
		}
		kept = append(kept, c)
		if !c.generation(w, fmt.Sprint("short", i), "notes", shortOutput) {
			return false, errors.New("a short generation failed before the disruption")
		}
	}
	busy, err := r.dial()
	if err != nil {
		return false, err
	}
	var all sync.WaitGroup
	all.Go(func() { busy.generation(w, "in-progress", "survey", 280) })
	time.Sleep(200 * time.Millisecond)
	if w.trouble {
		r.signal(syscall.SIGTERM)
	}
	stopped := time.Now()
	time.Sleep(sentAfter)
	lost := make([]bool, callers)
	for i, c := range kept {
		all.Go(func() {
			attempt, sent := fmt.Sprint("long", i), time.Now()
			complete := c.generation(w, attempt, "notes", longOutput)
			_, passedOn := w.ran.Load(attempt)
			planned := w.trouble && time.Since(stopped) < gracePeriod+time.Second
			lost[i] = !complete && planned && (passedOn || time.Since(sent) > lossSlack)
		})
	}
	all.Wait()
	n := 0
	for _, l := range lost {
		if l {
			n++
		}
	}
	w.add("%d generations were passed on and cut off within 1 s after grace_period_s", n)
	return n > 0, nil
}

// Bounds of the routers' settings: grace_period_s and loss_slack_ms.
const (
	gracePeriod = 8 * time.Second
	lossSlack   = 200 * time.Millisecond
)
