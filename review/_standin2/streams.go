package main

import (
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/camphorlever/camphorlever/platform/standin"
)

func init() {
	cases["extra"] = func(w *world) bool { return w.streams(extraBytes) }
	cases["endless"] = func(w *world) bool { return w.streams(endlessBytes) }
}

const (
	streamEvents   = 6
	streamRequests = 300
	spoilEach      = 20 // one answer in so many of the faulty worker
	endlessAfter   = 3  // events
)

// faults says how worker i-1 differs from worker i-2.
type faults struct {
	unframed bool // its answers have neither a length nor chunks and end with their connection
	// spoil writes to one answer in spoilEach, after event id.
	spoil func(w *world, c net.Conn, attempt string, id int, n int64) (ended bool)
}

// extraBytes: a second answer follows a complete one.
var extraBytes = faults{unframed: true, spoil: func(w *world, c net.Conn, attempt string, id int, _ int64) bool {
	if id == streamEvents {
		w.printf("i-1 sends a second answer after its complete answer to %s", attempt)
		event := standin.FormatEvent(id, attempt)
		second := standin.ResponseHead("ffffffffffffffff", 200, "Content-Type: text/event-stream\r\n\r\n") + standin.FormatEvent(1, "ffffffffffffffff")
		_, _ = io.WriteString(c, event+second)
		return true
	}
	return false
}}

// endlessBytes: bytes that are no answer follow the first events, in chunks and without end,
// until the caller closes.
var endlessBytes = faults{spoil: func(w *world, c net.Conn, attempt string, id int, n int64) bool {
	if id != endlessAfter+1 {
		return false
	}
	w.printf("i-1 sends bytes without end after event %d of its answer to %s", endlessAfter, attempt)
	random, block, sent := rand.New(rand.NewSource(n)), make([]byte, 4096), 0
	for ; ; sent += len(block) {
		random.Read(block)
		if _, err := io.WriteString(c, standin.Chunk(string(block))); err != nil {
			w.note("the caller of i-1 closed after %d such bytes", sent)
			return true
		}
	}
}}

// streams sends requests for streams that may be resumed to a service of two workers, of which
// one spoils some of its answers. It reports whether a client got an answer that looks
// complete and is not the events of its stream in their order.
func (w *world) streams(f faults) bool {
	w.publish(standin.Settings{Version: 3, Services: []string{"readers"}, TokensPerEvent: 4,
		Routes:   []standin.Route{{Prefix: "question", Kind: standin.Streaming, Service: "readers", Timeout: 3 * time.Second, Resumable: true}},
		Accounts: []standin.Account{{Name: "tenant", APIKey: "key", PrepaidTokens: 100_000_000}},
	}.JSON())
	var answers, spoiled atomic.Int64
	faulty := w.server("i-1", "readers", 1, func(c net.Conn, r *http.Request, _ int) {
		spoil := w.trouble && answers.Add(1)%spoilEach == 0
		w.stream(c, r, "i-1", f.unframed, func(attempt string, id int) bool {
			if !spoil {
				return false
			}
			ended := f.spoil(w, c, attempt, id, spoiled.Load()+1)
			if ended {
				spoiled.Add(1)
			}
			return ended
		})
	})
	defer faulty.Close()
	sound := w.server("i-2", "readers", 2, func(c net.Conn, r *http.Request, _ int) {
		w.stream(c, r, "i-2", false, func(string, int) bool { return false })
	})
	defer sound.Close()
	front := w.addRouter("front-1")
	w.awaitReady()
	wrong := 0
	for n := 1; n <= streamRequests; n++ {
		attempt, due := fmt.Sprintf("%016x", n), ""
		for id := 1; id <= streamEvents; id++ {
			due += standin.FormatEvent(id, attempt)
		}
		a := w.send(front, call{attempt: attempt, path: "/question/1", prompt: 100, output: 88, parts: fmt.Sprintf("%x:60,%x:40", n%50+1, n+1000), deadline: 3 * time.Second})
		if a.status == http.StatusOK && a.err == nil && a.body != due {
			wrong++
			w.printf("%s got a complete answer that is not its stream's: %d bytes, %d were due: %.600q", attempt, len(a.body), len(due), a.body)
		}
	}
	w.printf("%d requests, %d answers of i-1 were spoiled, %d clients got a wrong answer that looks complete", streamRequests, spoiled.Load(), wrong)
	return wrong > 0
}

// stream answers one request with the events after the one that it names. spoil may end the
// answer in place of an event.
func (w *world) stream(c net.Conn, r *http.Request, name string, unframed bool, spoil func(attempt string, id int) bool) {
	f := standin.ParseForwardedRequest(r)
	w.note("%s runs %s from event %d on", name, f.AttemptID, f.LastEventID+1)
	if unframed {
		defer c.Close()
		_, _ = io.WriteString(c, standin.ResponseHead(f.AttemptID, 200, "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"))
	} else {
		_, _ = io.WriteString(c, standin.StreamResponseHead(f.AttemptID))
	}
	for id := f.LastEventID + 1; id <= streamEvents; id++ {
		time.Sleep(10 * time.Millisecond)
		event := standin.FormatEvent(id, f.AttemptID)
		switch {
		case spoil(f.AttemptID, id):
			_ = c.Close()
			return
		case unframed:
			_, _ = io.WriteString(c, event)
		default:
			_, _ = io.WriteString(c, standin.Chunk(event))
		}
	}
	if !unframed {
		_, _ = io.WriteString(c, standin.FinalChunk)
	}
}
