package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/camphorlever/camphorlever/platform/standin"
)

func init() { cases["drill"] = drill }

const (
	drillPrepaid = 300_000
	drillPrompt  = 900 // tokens
	drillEvents  = 25  // of 4 tokens
	drillLead    = 10 * time.Second
	drillAt      = 7500 * time.Millisecond // after the start of traffic
	drillCopyAge = 8 * time.Second
	drillOutage  = 1500 * time.Millisecond
	drillEnd     = 65 * time.Second // of traffic
)

// drill: the store is away for a moment and comes back from a copy that is some seconds old,
// and all routers are killed at that moment. It reports whether a tenant got more tokens than
// are prepaid.
func drill(w *world) bool {
	w.publish(standin.Settings{Version: 3, Services: []string{"readers"}, TokensPerEvent: 4,
		Routes:   []standin.Route{{Prefix: "survey", Kind: standin.Streaming, Service: "readers", Timeout: 5 * time.Second}},
		Accounts: []standin.Account{{Name: "tenant", APIKey: "key", PrepaidTokens: drillPrepaid}},
	}.JSON())
	var prompts, delivered atomic.Int64 // tokens that the tenant got
	for i := range 3 {
		name := fmt.Sprintf("i-%d", i+1)
		s := w.server(name, "readers", i+1, func(c net.Conn, r *http.Request, _ int) {
			f := standin.ParseForwardedRequest(r)
			w.note("%s runs %s", name, f.AttemptID)
			prompts.Add(drillPrompt)
			_, _ = io.WriteString(c, standin.StreamResponseHead(f.AttemptID))
			for id := 1; id <= drillEvents; id++ {
				time.Sleep(2 * time.Millisecond)
				_, _ = io.WriteString(c, standin.Chunk(standin.FormatEvent(id, f.AttemptID)))
			}
			_, _ = io.WriteString(c, standin.FinalChunk)
		})
		defer s.Close()
	}
	for i := range 4 {
		w.addRouter(fmt.Sprintf("front-%d", i+1))
	}
	w.awaitReady()
	time.Sleep(drillLead)
	stop, counts := w.drillTraffic(&delivered)
	began := time.Now()
	if w.trouble {
		time.Sleep(drillAt)
		w.printf("tenant has got %d of %d tokens", prompts.Load()+delivered.Load(), drillPrepaid)
		w.drillTrouble()
	}
	time.Sleep(drillEnd - time.Since(began))
	stop()
	counts.Range(func(what, n any) bool { w.printf("%d requests: %s", n.(*atomic.Int64).Load(), what); return true })
	got := prompts.Load() + delivered.Load()
	w.printf("tenant has got %d tokens, %d are prepaid", got, drillPrepaid)
	return got > drillPrepaid
}

// drillTrouble kills all routers, has the store come back from an older copy, and starts the
// routers again. What the operator and the workers had written is written again.
func (w *world) drillTrouble() {
	for _, r := range w.routers {
		r.signal(syscall.SIGKILL)
	}
	lost := w.store.Restore(w.store.CopyOfAge(drillCopyAge), drillOutage)
	w.printf("all routers are killed, the store is away for %v and comes back from a copy that is %v old", drillOutage, drillCopyAge)
	time.Sleep(drillOutage)
	w.store.WriteAgain(lost)
	for _, r := range w.routers {
		<-r.over
		r.start()
	}
	w.awaitReady()
}

// drillTraffic starts clients that send 16 requests a second together, and adds the tokens of
// the events that they got. stop ends them.
func (w *world) drillTraffic(delivered *atomic.Int64) (stop func(), counts *sync.Map) {
	counts = &sync.Map{}
	var clients sync.WaitGroup
	var next atomic.Int64
	ended := make(chan struct{})
	w.printf("traffic starts")
	for k := range 8 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for i := k; ; i++ {
				select {
				case <-ended:
					return
				case <-time.After(500 * time.Millisecond):
				}
				n := next.Add(1)
				a := w.send(w.routers[i%len(w.routers)], call{attempt: fmt.Sprintf("%016x", n), path: "/survey/1", prompt: drillPrompt, output: 4 * drillEvents,
					parts: fmt.Sprintf("%x:600,%x:300", n%50+1, n+1000), deadline: 5 * time.Second})
				if a.status == http.StatusOK {
					delivered.Add(4 * int64(strings.Count(a.body, "id: ")))
				}
				what := fmt.Sprintf("status %d", a.status)
				if a.status == 0 {
					what = "no answer"
				}
				n0, _ := counts.LoadOrStore(what, new(atomic.Int64))
				n0.(*atomic.Int64).Add(1)
			}
		}()
	}
	return func() { close(ended); clients.Wait() }, counts
}
