package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/camphorlever/camphorlever/platform/standin"
)

// preemptedStreams has one of three sound servers pause its streams for 0.9 s, as it does
// when it preempts them, and counts those that the router cuts off.
func preemptedStreams(w *world) (bool, error) {
	const streams, events, pause = 60, 60, 900 * time.Millisecond
	var paused [3]atomic.Bool
	for i := range 3 {
		server, err := standin.NewBackendServer(fmt.Sprint("i-", i+1), "127.0.0.1:0", func(conn net.Conn, r *http.Request, _ int) {
			f := standin.ParseForwardedRequest(r)
			_, _ = io.WriteString(conn, standin.StreamResponseHead(f.AttemptID))
			for id := f.LastEventID + 1; id <= events; id++ {
				time.Sleep(50 * time.Millisecond)
				for paused[i].Load() {
					time.Sleep(10 * time.Millisecond)
				}
				if _, err := io.WriteString(conn, standin.Chunk(standin.FormatEvent(id, "text"))); err != nil {
					return
				}
			}
			_, _ = io.WriteString(conn, standin.FinalChunk)
		})
		if err != nil {
			return false, err
		}
		w.register(server, "readers", standin.Ready)
	}
	w.publish(generationSettings(true))
	r, err := w.startRouter(w.store.Address())
	if err != nil {
		return false, err
	}
	if err := r.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	var all sync.WaitGroup
	var cut atomic.Int64
	for i := range streams {
		c, err := r.dial()
		if err != nil {
			return false, err
		}
		all.Go(func() {
			if !c.generation(w, fmt.Sprint("g", i), "notes", 400) {
				cut.Add(1)
			}
		})
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(time.Second)
	if w.trouble {
		paused[0].Store(true)
		time.Sleep(pause)
		paused[0].Store(false)
	}
	all.Wait()
	w.add("%d of %d streams were cut off", cut.Load(), streams)
	return cut.Load() > 3, nil
}
