// Package platform is a small stand-in for the platform: log service, VM list
// and weight store in memory, with faults that can be set while it runs.
package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"
	"golang.org/x/time/rate"

	"github.com/camphorlever/camphorlever/internal/memlog"
	"github.com/camphorlever/camphorlever/internal/vmlist"
)

// maxControlBytes bounds the bodies of control calls.
const maxControlBytes = 64 << 10

// Platform serves the platform's HTTP interface. Use New.
type Platform struct {
	Log     *memlog.Log
	VMs     *vmlist.Memory
	weights *rate.Limiter
	load    time.Duration // how long one weight load takes
	silence *silence
	vmReads atomic.Int64

	copiesMu sync.Mutex // guards copies
	copies   map[string]*memlog.Copy
}

// Options sizes the stand-in.
type Options struct {
	LoadsPerMinute int           // rate limit of the weight store
	LoadTime       time.Duration // of one weight load
}

// New returns an empty platform without faults.
func New(options Options) *Platform {
	perSecond := rate.Limit(float64(options.LoadsPerMinute) / 60)
	return &Platform{
		Log:     memlog.New(),
		VMs:     vmlist.NewMemory(),
		weights: rate.NewLimiter(perSecond, max(1, options.LoadsPerMinute)),
		load:    options.LoadTime,
		silence: newSilence(),
		copies:  map[string]*memlog.Copy{},
	}
}

// Handler serves the platform. Control calls are answered also while the
// platform is silent.
func (p *Platform) Handler() http.Handler {
	router := httprouter.New()
	router.POST("/log/*stream", p.silence.guard(p.withEra(p.append)))
	router.GET("/log/*stream", p.silence.guard(p.withEra(p.read)))
	router.GET("/vms", p.silence.guard(p.listVMs))
	router.PUT("/vms/:id", p.putVM)
	router.DELETE("/vms/:id", p.deleteVM)
	router.POST("/weights/:model", p.silence.guard(p.loadWeights))
	router.POST("/faults", p.setFaults)
	router.PUT("/copies/:name", p.copyLog)
	router.POST("/copies/:name/restore", p.restoreLog)
	router.GET("/stats", p.stats)
	router.GET("/stats/vms", p.vmStats)
	return router
}

func (p *Platform) stats(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	reply(w, p.Log.Stats())
}

// reply writes a JSON document with status 200.
func reply(w http.ResponseWriter, document any) {
	w.Header().Set("Content-Type", "application/json")
	// The caller may be gone; there is nobody else to tell.
	_ = json.NewEncoder(w).Encode(document)
}

// decode reads a control call's JSON body, strictly; it answers 400 itself.
func decode(w http.ResponseWriter, r *http.Request, document any) bool {
	dec := json.NewDecoder(io.LimitReader(r.Body, maxControlBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(document); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
