package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/camphorlever/camphorlever/platform/standin"
)

func init() { cases["foreign"] = foreign }

const foreignRequests = 200

// foreign: another writer writes an entry that lacks a field, under the id and with the address
// of a worker, but for another service. It reports whether a worker ran a request of a service
// that it isn't of.
func foreign(w *world) bool {
	w.publish(standin.Settings{Version: 3, Services: []string{"order-desk", "readers"}, TokensPerEvent: 4,
		Routes: []standin.Route{
			{Prefix: "order", Kind: standin.NonIdempotent, Service: "order-desk", Timeout: time.Second},
			{Prefix: "question", Kind: standin.Idempotent, Service: "readers", Timeout: time.Second},
		},
		Accounts: []standin.Account{{Name: "tenant", APIKey: "key", PrepaidTokens: 100_000_000}},
	}.JSON())
	var wrong atomic.Int64
	worker := func(name, service, path string) standin.RequestHandler {
		return func(c net.Conn, r *http.Request, _ int) {
			f := standin.ParseForwardedRequest(r)
			if f.ExpectedServer != name {
				_, _ = io.WriteString(c, standin.MisdirectedResponse(name))
				return
			}
			w.note("%s of %s runs %s, %s", name, service, f.AttemptID, r.URL.Path)
			if !strings.HasPrefix(r.URL.Path, path) {
				wrong.Add(1)
			}
			_, _ = io.WriteString(c, standin.CompleteResponse(f.AttemptID, 200, name))
		}
	}
	desk := w.server("i-1", "order-desk", 1, worker("i-1", "order-desk", "/order/"))
	defer desk.Close()
	reader := w.server("i-2", "readers", 1, worker("i-2", "readers", "/question/"))
	defer reader.Close()
	front := w.addRouter("front-1")
	w.awaitReady()
	for n := 1; n <= foreignRequests; n++ {
		if n == foreignRequests/4 && w.trouble {
			entry := strings.Replace(reader.Entry(reader.Address, "order-desk", standin.Ready, 2), `"version":"v1",`, "", 1)
			w.printf("another writer writes servers/i-2: %s", entry)
			w.store.AppendKeyed("keyed.servers", "i-2", entry)
		}
		path := "/order/1"
		if n%4 == 0 {
			path = "/question/1"
		}
		w.send(front, call{attempt: fmt.Sprintf("%016x", n), path: path, deadline: time.Second})
		time.Sleep(20 * time.Millisecond)
	}
	w.printf("%d requests, %d were run by a worker of another service", foreignRequests, wrong.Load())
	return wrong.Load() > 0
}
