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
	"time"

	"github.com/camphorlever/camphorlever/platform/standin"
)

const (
	soundPart   = "5c1e07a2" // first part of all prompts of the route
	taintedPart = "dead0bad" // crashes each worker that begins to write an answer on it
	// partTokens and ownTokens are the tokens of a shared part and of the last part.
	partTokens, ownTokens = 172, 543
	// workerCount makes the one worker that is down at a time one in seven.
	workerCount = 7
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
	way     *gate               // goes dark when the worker crashes; nil if its connections break
	arrived func(prefix string) // called with the prompt of each request; may be nil

	mu      sync.Mutex // guards all below
	current *standin.BackendServer
	running map[string]bool // attempts in progress without an event
	begun   []string        // attempts that it has begun
	crashes []time.Time
	isDown  bool
}

// newFragileWorker starts a worker. With dark set, it falls silent when it crashes.
func (w *world) newFragileWorker(id string, deadly, dark bool) (*fragileWorker, error) {
	f := &fragileWorker{world: w, id: id, address: "127.0.0.1:0", deadly: deadly, running: map[string]bool{}}
	server, err := standin.NewBackendServer(id, f.address, f.answer)
	if err != nil {
		return nil, err
	}
	f.current, f.address = server, server.Address
	if dark {
		if f.way, err = newGate(f.address); err != nil {
			return nil, err
		}
	}
	w.registerAt(server, f.publicAddress(), "readers", standin.Ready)
	return f, nil
}

// publicAddress is where routers reach the worker.
func (f *fragileWorker) publicAddress() string {
	if f.way != nil {
		return f.way.address()
	}
	return f.address
}

// crash ends the worker and starts it again after restartAfter.
func (f *fragileWorker) crash(why string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isDown {
		return
	}
	f.isDown = true
	f.crashes = append(f.crashes, time.Now())
	f.world.add("worker %s crashes: %s", f.id, why)
	if f.way != nil {
		f.way.goDark()
	}
	f.current.Close()
	time.AfterFunc(restartAfter, f.restart)
}

func (f *fragileWorker) restart() {
	server, err := standin.NewBackendServer(f.id, f.address, f.answer)
	if err != nil {
		f.world.add("worker %s could not start again: %v", f.id, err)
		return
	}
	if f.way != nil {
		f.way.goLight()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current, f.isDown = server, false
	f.world.registerAt(server, f.publicAddress(), "readers", standin.Ready)
	f.world.add("worker %s is back", f.id)
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

// isRunning reports whether the worker has begun an attempt and written no event of it.
func (f *fragileWorker) isRunning(attempt string) bool {
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
	f.world.add("worker %s runs %s", f.id, attempt)
	f.mu.Lock()
	f.begun = append(f.begun, attempt)
	f.mu.Unlock()
	if f.arrived != nil {
		f.arrived(r.Header.Get("X-Camphorlever-Prompt-Prefix"))
	}
	f.setRunning(attempt, true)
	defer f.setRunning(attempt, false)
	time.Sleep(firstEventAfter)
	if f.deadly && strings.Contains(r.Header.Get("X-Camphorlever-Prompt-Prefix"), taintedPart) {
		f.beginAnswer(conn, attempt)
		f.crash("it began to write an answer to " + attempt)
		return
	}
	if _, err := io.WriteString(conn, standin.StreamResponseHead(attempt)); err != nil {
		return
	}
	for id := 1; id <= 5; id++ {
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
	parts, tokens := "", ownTokens
	for _, part := range shared {
		parts += fmt.Sprintf("%s:%d,", part, partTokens)
		tokens += partTokens
	}
	fmt.Fprintf(c.conn, "POST /notes/1 HTTP/1.1\r\nHost: %s\r\nX-Camphorlever-Attempt-Id: %s\r\nX-Camphorlever-Deadline-Ms: 5000\r\nAuthorization: Token k\r\n"+
		"X-Camphorlever-Model: m\r\nX-Camphorlever-Token-Usage: %d,80\r\nX-Camphorlever-Prompt-Prefix: %s%x:%d\r\nContent-Length: 2\r\n\r\nab",
		standin.Host, attempt, tokens, parts, attempt, ownTokens)
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

// sound sends sound generations at a rate and returns when each was sent, by its attempt.
func (r *router) sound(name string, count int, gap time.Duration) map[string]time.Time {
	sent := map[string]time.Time{}
	var all sync.WaitGroup
	for i := range count {
		attempt := fmt.Sprintf("%s-%d", name, i)
		sent[attempt] = time.Now()
		all.Go(func() { r.prompt(attempt, soundPart) })
		time.Sleep(gap)
	}
	all.Wait()
	return sent
}

// begunSince returns how many attempts were sent later than a time, and how many of these a
// worker has begun.
func begunSince(workers []*fragileWorker, sent map[string]time.Time, since time.Time) (begun, all int) {
	for attempt, at := range sent {
		if !at.After(since) {
			continue
		}
		all++
		if slices.ContainsFunc(workers, func(f *fragileWorker) bool { return f.hasBegun(attempt) }) {
			begun++
		}
	}
	return begun, all
}

func (f *fragileWorker) hasBegun(attempt string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Contains(f.begun, attempt)
}

// soundPartWithheld has one worker crash for a reason of its own, and later two for a
// tainted part. Sound prompts have their first part in common with the tainted ones. With
// OWN_CRASH=0 the first crash is left out.
func soundPartWithheld(w *world) (bool, error) {
	const (
		lull     = 2500 * time.Millisecond // without requests of the route
		requests = 24                      // sound ones before and after; the rule asks for 20
	)
	var workers []*fragileWorker
	for i := range workerCount {
		f, err := w.newFragileWorker(fmt.Sprint("i-", i+1), w.trouble, false)
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
	time.Sleep(settleWindow + 500*time.Millisecond)
	before, _ := begunSince(workers, r.sound("before", requests, 250*time.Millisecond), time.Time{})
	w.add("%d of %d sound requests were begun before the disruption", before, requests)
	if before < requests {
		return false, errors.New("sound requests failed before the disruption")
	}

	time.Sleep(lull)
	var all sync.WaitGroup
	all.Go(func() { r.prompt("in-flight", soundPart) })
	time.Sleep(firstEventAfter / 2)
	ownCrash := w.trouble && os.Getenv("OWN_CRASH") != "0"
	if ownCrash {
		for _, f := range workers {
			if f.isRunning("in-flight") {
				f.crash("a reason of its own")
			}
		}
	}
	all.Wait()
	if crashed := len(crashTimesOf(workers)); ownCrash && crashed != 1 {
		return false, fmt.Errorf("%d workers crashed for a reason of their own, 1 should have", crashed)
	}
	time.Sleep(restartAfter + time.Second)
	between, _ := begunSince(workers, r.sound("between", 8, 250*time.Millisecond), time.Time{})
	w.add("%d of 8 sound requests were begun after the first crash", between)

	time.Sleep(lull)
	for i := range 2 {
		r.prompt(fmt.Sprint("tainted-", i), soundPart, taintedPart)
		time.Sleep(300 * time.Millisecond)
	}
	time.Sleep(2 * settleWindow)
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
	sent := r.sound("after", requests, 400*time.Millisecond)
	close(stop)
	tainted.Wait()
	since := time.Time{}
	if crashes := crashTimesOf(workers); len(crashes) > 0 {
		since = crashes[min(len(crashes), 5)-1].Add(2 * settleWindow)
	}
	after, counted := begunSince(workers, sent, since)
	w.add("%d of %d sound requests that were sent later than 2 x settle_window_ms after the last crash were begun", after, counted)
	return counted >= 20 && after*2*requests < before*counted, nil
}
