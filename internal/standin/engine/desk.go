package engine

import (
	"io"
	"maps"
	"net/http"
	"sync"
)

// Done is the plain service's answer.
type Done struct {
	OK   bool   `json:"ok"`
	Path string `json:"path"`
	N    int    `json:"n"` // of all calls that ran
}

// desk counts the calls that the plain service ran.
type desk struct {
	mu    sync.Mutex // guards the fields below; total is the sum of runs
	runs  map[string]int
	total int
}

func newDesk() *desk {
	return &desk{runs: map[string]int{}}
}

// run counts one call and returns its number.
func (d *desk) run(key string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.runs[key]++
	d.total++
	return d.total
}

func (d *desk) counts() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.runs)
}

// serveDesk runs one call of the plain service.
func (e *Engine) serveDesk(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxBodyBytes)); err != nil {
		return
	}
	if !e.faults.admit(w, r) {
		return
	}
	now, _ := e.faults.get()
	pause := now.late
	if now.mode == ModeSlow {
		pause += now.slow
	}
	n := e.desk.run(r.Header.Get("Idempotency-Key"))
	if !e.faults.pause(r.Context(), pause) || !e.hold(r) {
		return
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if e.faults.fails() {
		refuse(w, http.StatusInternalServerError, "service failed")
		return
	}
	reply(w, Done{OK: true, Path: r.URL.Path, N: n})
}
