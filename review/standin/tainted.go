package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/camphorlever/camphorlever/platform/standin"
)

const (
	soundPart   = "5c1e07a2" // first part of all prompts of the route
	taintedPart = "dead0bad" // crashes each worker that begins to write an answer on it
	// restartAfter is how long a worker is down after a crash.
	restartAfter = 3 * time.Second
	// firstEventAfter is how long a worker works on a prompt before its first event.
	firstEventAfter = 300 * time.Millisecond
)

// callerPatience is how long callers wait for a stream: eight times its gap_target_ms.
const callerPatience = 2 * time.Second

// fragileWorker is a worker that crashes and starts again under its identifier.
type fragileWorker struct {
	world   *world
	id      string
	address string
	deadly  bool                // the tainted part crashes it
	dark    bool                // it falls silent when it crashes, and its connections with it
	arrived func(prefix string) // called with the prompt of each request; may be nil

	mu      sync.Mutex // guards all below
	current *standin.BackendServer
	running map[string]bool // attempts in progress without an event
	crashes []time.Time
	down    chan struct{} // closed when the worker starts again; nil while it runs
}

func (w *world) newFragileWorker(id string, deadly bool) (*fragileWorker, error) {
	f := &fragileWorker{world: w, id: id, address: "127.0.0.1:0", deadly: deadly, running: map[string]bool{}}
	return f, f.start()
}

func (f *fragileWorker) start() error {
	server, err := standin.NewBackendServer(f.id, f.address, f.answer)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current, f.address = server, server.Address
	f.world.register(server, "readers", standin.Ready)
	return nil
}

// crash ends the worker and starts it again after restartAfter.
func (f *fragileWorker) crash(why string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down != nil {
		return // it is down already
	}
	f.world.add("worker %s crashes: %s", f.id, why)
	f.crashes = append(f.crashes, time.Now())
	f.down = make(chan struct{})
	if !f.dark {
		f.current.Close()
	}
	time.AfterFunc(restartAfter, func() {
		f.restart()
		if err := f.start(); err != nil {
			f.world.add("worker %s could not start again: %v", f.id, err)
			return
		}
		f.world.add("worker %s is back", f.id)
	})
}

// restart resets what is left of the connections to a dark worker.
func (f *fragileWorker) restart() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current.Close()
	close(f.down)
	f.down = nil
}

// awaitPower blocks while the worker is dark, and reports whether it was.
func (f *fragileWorker) awaitPower() bool {
	f.mu.Lock()
	down := f.down
	f.mu.Unlock()
	if down == nil {
		return false
	}
	<-down
	return true
}

// crashTimes returns when the worker crashed.
func (f *fragileWorker) crashTimes() []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.crashes)
}

// crashTimesOf returns when workers crashed, in order.
func crashTimesOf(workers []*fragileWorker) []time.Time {
	var times []time.Time
	for _, f := range workers {
		times = append(times, f.crashTimes()...)
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// begun reports whether the worker has begun an attempt and written no event of it.
func (f *fragileWorker) begun(attempt string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.running[attempt]
}

func (f *fragileWorker) setRunning(attempt string, running bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[attempt] = running
}

func (f *fragileWorker) answer(conn net.Conn, r *http.Request, _ int) {
	attempt := r.Header.Get("X-Camphorlever-Attempt-Id")
	if f.awaitPower() {
		return // the request went to a dark worker, which has not read it
	}
	f.world.add("worker %s runs %s", f.id, attempt)
	if f.arrived != nil {
		f.arrived(r.Header.Get("X-Camphorlever-Prompt-Prefix"))
	}
	f.setRunning(attempt, true)
	defer f.setRunning(attempt, false)
	time.Sleep(firstEventAfter)
	if f.deadly && strings.Contains(r.Header.Get("X-Camphorlever-Prompt-Prefix"), taintedPart) {
		f.beginAnswer(conn, attempt)
		f.crash("it began to write an answer to " + attempt)
		f.awaitPower()
		return
	}
	if f.awaitPower() {
		return
	}
	if _, err := io.WriteString(conn, standin.StreamResponseHead(attempt)); err != nil {
		return
	}
	for id := 1; id <= 5; id++ {
		if f.awaitPower() {
			return
		}
		if _, err := io.WriteString(conn, standin.Chunk(standin.FormatEvent(id, "text"))); err != nil {
			return
		}
		f.setRunning(attempt, false)
		time.Sleep(20 * time.Millisecond)
	}
	_, _ = io.WriteString(conn, standin.FinalChunk)
}

// beginAnswer writes the first EVENTS events of an answer, none by default; with UNFRAMED set
// the answer has neither a length nor chunks.
func (f *fragileWorker) beginAnswer(conn net.Conn, attempt string) {
	events, err := strconv.Atoi(os.Getenv("EVENTS"))
	if err != nil || events <= 0 {
		return
	}
	head, frame := standin.StreamResponseHead(attempt), standin.Chunk
	if os.Getenv("UNFRAMED") != "" {
		head = standin.ResponseHead(attempt, http.StatusOK, "Content-Type: text/event-stream\r\n\r\n")
		frame = func(event string) string { return event }
	}
	for id := 1; id <= events; id++ {
		head += frame(standin.FormatEvent(id, "text"))
	}
	_, _ = io.WriteString(conn, head) // the worker crashes in either case
	time.Sleep(10 * time.Millisecond)
}

// prompt sends a generation on a new connection and returns its status, 0 if there was no
// complete answer.
func (r *router) prompt(attempt string, shared ...string) int {
	c, err := r.dial()
	if err != nil {
		r.world.add("%s: %v", attempt, err)
		return 0
	}
	defer c.conn.Close()
	parts := ""
	for _, part := range shared {
		parts += part + ":172,"
	}
	fmt.Fprintf(c.conn, "POST /notes/1 HTTP/1.1\r\nHost: %s\r\nX-Camphorlever-Attempt-Id: %s\r\nX-Camphorlever-Deadline-Ms: 5000\r\nAuthorization: Token k\r\n"+
		"X-Camphorlever-Model: m\r\nX-Camphorlever-Token-Usage: 715,80\r\nX-Camphorlever-Prompt-Prefix: %s%x:543\r\nContent-Length: 2\r\n\r\nab",
		standin.Host, attempt, parts, attempt)
	_ = c.conn.SetReadDeadline(time.Now().Add(callerPatience))
	reply, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		r.world.add("%s: the connection ended without an answer: %v", attempt, err)
		return 0
	}
	raw, err := io.ReadAll(reply.Body)
	if err != nil {
		r.world.add("%s: status %d, cut off: %v", attempt, reply.StatusCode, err)
		return 0
	}
	text := ""
	if reply.StatusCode >= 300 {
		text = fmt.Sprintf(", Retry-After %q: %.80q", reply.Header.Get("Retry-After"), raw)
	}
	r.world.add("%s: status %d, %d events%s", attempt, reply.StatusCode, standin.CountEvents(string(raw)), text)
	return reply.StatusCode
}

// sound sends sound generations at a rate and returns how many were begun at the first
// attempt, which all that were served are.
func (r *router) sound(name string, count int, gap time.Duration) int {
	var served atomic.Int64
	var all sync.WaitGroup
	for i := range count {
		all.Go(func() {
			if r.prompt(fmt.Sprintf("%s-%d", name, i), soundPart) == http.StatusOK {
				served.Add(1)
			}
		})
		time.Sleep(gap)
	}
	all.Wait()
	return int(served.Load())
}

// soundPartWithheld has one worker crash for a reason of its own, and later two for a
// tainted part. Sound prompts have their first part in common with the tainted ones. With
// OWN_CRASH=0 the first crash is left out.
func soundPartWithheld(w *world) (bool, error) {
	const lull = 2500 * time.Millisecond // without requests of the route
	var workers []*fragileWorker
	for i := range 4 {
		f, err := w.newFragileWorker(fmt.Sprint("i-", i+1), w.trouble)
		if err != nil {
			return false, err
		}
		workers = append(workers, f)
	}
	w.publish(generationSettings(false))
	r, err := w.startRouter(w.store.Address())
	if err != nil {
		return false, err
	}
	if err := r.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	before := r.sound("before", 24, 250*time.Millisecond)
	w.add("%d of 24 sound requests were served before the disruption", before)
	if before < 24 {
		return false, errors.New("sound requests failed before the disruption")
	}

	time.Sleep(lull)
	var all sync.WaitGroup
	all.Go(func() { r.prompt("in-flight", soundPart) })
	time.Sleep(firstEventAfter / 2)
	if w.trouble && os.Getenv("OWN_CRASH") != "0" {
		for _, f := range workers {
			if f.begun("in-flight") {
				f.crash("a reason of its own")
			}
		}
	}
	all.Wait()
	if crashed := len(crashTimesOf(workers)); w.trouble && os.Getenv("OWN_CRASH") != "0" && crashed != 1 {
		return false, fmt.Errorf("%d workers crashed for a reason of their own, 1 should have", crashed)
	}
	time.Sleep(restartAfter + time.Second)
	between := r.sound("between", 8, 250*time.Millisecond)
	w.add("%d of 8 sound requests were served after the first crash", between)

	time.Sleep(lull)
	for i := range 2 {
		r.prompt(fmt.Sprint("tainted-", i), soundPart, taintedPart)
		time.Sleep(300 * time.Millisecond)
	}
	w.add("the last crash is over; the count begins after two times settle_window_ms")
	time.Sleep(6 * time.Second)
	stop, tainted := make(chan struct{}), sync.WaitGroup{}
	tainted.Go(func() {
		for i := 2; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Second):
				r.prompt(fmt.Sprint("tainted-", i), soundPart, taintedPart)
			}
		}
	})
	after := r.sound("after", 24, 400*time.Millisecond)
	close(stop)
	tainted.Wait()
	w.add("%d of 24 sound requests were served from 6 s after the last crash", after)
	return after*2 < before, nil
}
