package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/camphorlever/camphorlever/platform/standin"
)

// leavingWorker is a worker of orders that says in its answers when it leaves.
type leavingWorker struct {
	*standin.BackendServer
	leaving  atomic.Bool
	mu       sync.Mutex // guards arrivals
	arrivals []time.Time
}

func (w *world) newLeavingWorker(id string) (*leavingWorker, error) {
	l := &leavingWorker{}
	server, err := standin.NewBackendServer(id, "127.0.0.1:0", func(conn net.Conn, r *http.Request, _ int) {
		attempt := r.Header.Get("X-Camphorlever-Attempt-Id")
		w.add("worker %s runs %s", id, attempt)
		l.mu.Lock()
		l.arrivals = append(l.arrivals, time.Now())
		l.mu.Unlock()
		work := 300 * time.Millisecond
		if strings.HasPrefix(attempt, "long") {
			work = 2 * time.Second
		}
		time.Sleep(work)
		answer := standin.CompleteResponse(attempt, http.StatusOK, "done")
		if l.leaving.Load() {
			answer = standin.Leaving(answer)
		}
		_, _ = io.WriteString(conn, answer) // an error shows at the caller
	})
	l.BackendServer = server
	return l, err
}

// order sends an order and returns whether it was answered by a worker, and whether the
// answer said that the worker leaves.
func (r *router) order(attempt string) (answered, leaving bool) {
	c, err := r.dial()
	if err != nil {
		r.world.add("%s: %v", attempt, err)
		return false, false
	}
	defer c.conn.Close()
	fmt.Fprintf(c.conn, "POST /o/1 HTTP/1.1\r\nHost: %s\r\nX-Camphorlever-Attempt-Id: %s\r\nX-Camphorlever-Deadline-Ms: 5000\r\nAuthorization: Token k\r\nContent-Length: 2\r\n\r\nab",
		standin.Host, attempt)
	_ = c.conn.SetReadDeadline(time.Now().Add(6 * time.Second))
	reply, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		r.world.add("%s: no answer: %v", attempt, err)
		return false, false
	}
	leaving = standin.SaysLeaving(reply.Header)
	r.world.add("%s: status %d, leaving %t", attempt, reply.StatusCode, leaving)
	return reply.StatusCode == http.StatusOK, leaving
}

// lateEntry has a worker leave without reporting draining, while a write that it made just
// before is done late.
func lateEntry(w *world) (bool, error) {
	var workers []*leavingWorker
	for i := range 2 {
		l, err := w.newLeavingWorker(fmt.Sprint("i-", i+1))
		if err != nil {
			return false, err
		}
		workers = append(workers, l)
		w.register(l.BackendServer, "orders", standin.Ready)
	}
	w.publish(strings.Replace(orderSettings(), `"timeout_ms":1000`, `"timeout_ms":5000`, 1))
	r, err := w.startRouter(w.store.Address())
	if err != nil {
		return false, err
	}
	if err := r.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	passedOn := make(chan bool, 1)
	go func() {
		_, leaving := r.order("long")
		passedOn <- leaving
	}()
	time.Sleep(300 * time.Millisecond)
	var leaver *leavingWorker
	for _, l := range workers {
		if len(l.Requests()) > 0 {
			leaver = l
		}
	}
	if leaver == nil {
		return false, fmt.Errorf("the long order has reached no worker")
	}
	if !w.trouble {
		w.register(leaver.BackendServer, "orders", standin.Ready) // done in time
	}
	leaver.leaving.Store(true)
	w.store.AppendKeyed("keyed.servers", leaver.ID, "")
	w.add("worker %s leaves, its entry is removed", leaver.ID)
	if !<-passedOn {
		return false, fmt.Errorf("the answer to the long order did not say that the worker leaves")
	}
	saidAt := time.Now()
	time.Sleep(2200 * time.Millisecond)
	if w.trouble {
		w.register(leaver.BackendServer, "orders", standin.Ready)
		w.add("the write that %s made before it left is done", leaver.ID)
	}
	time.Sleep(time.Second)
	var all sync.WaitGroup
	var lost atomic.Int64
	for i := range 20 {
		all.Go(func() {
			if answered, _ := r.order(fmt.Sprint("order-", i)); !answered {
				lost.Add(1)
			}
		})
		time.Sleep(20 * time.Millisecond)
		if i == 10 {
			w.add("worker %s exits", leaver.ID)
			leaver.Close()
		}
	}
	all.Wait()
	leaver.mu.Lock()
	defer leaver.mu.Unlock()
	late := 0
	for _, at := range leaver.arrivals {
		if at.After(saidAt.Add(drainTimeout)) {
			late++
		}
	}
	w.add("%d orders reached %s later than drain_timeout_ms after the router had passed on that it leaves; %d of 20 orders lost", late, leaver.ID, lost.Load())
	return late > 0, nil
}

// drainTimeout is drain_timeout_ms of the routers' settings.
const drainTimeout = 2 * time.Second
