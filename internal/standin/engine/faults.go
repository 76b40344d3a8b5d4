package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"
)

// Modes of the engine.
const (
	ModeUp          = "up"
	ModeDown        = "down"         // calls get 503, streams break
	ModeSlow        = "slow"         // every token takes SlowMS more
	ModeFreeze      = "freeze"       // everything waits until the mode changes
	ModeSilent      = "silent"       // connections in use now fall silent for good
	ModeLoseReplies = "lose_replies" // calls take effect, their connections break
)

// Faults changes the faults in force; fields left out stay as they are.
type Faults struct {
	Mode          *string  `json:"mode,omitempty"`
	SlowMS        *int     `json:"slow_ms,omitempty"`
	FailRatio     *float64 `json:"fail_ratio,omitempty"`    // share of runs that fail, evenly spread
	CrossAnswers  *bool    `json:"cross_answers,omitempty"` // chunks of other streams come in between
	LateMS        *int     `json:"late_ms,omitempty"`       // before the first token
	TokenMS       *int     `json:"token_ms,omitempty"`
	PrefillUS     *int     `json:"prefill_us_per_token,omitempty"`
	LoadLagMS     *int     `json:"load_lag_ms,omitempty"`
	CacheLagMS    *int     `json:"cache_lag_ms,omitempty"`
	CacheGapRatio *float64 `json:"cache_gap_ratio,omitempty"` // share of cache events lost, evenly spread
}

// conditions are the faults in force at a moment.
type conditions struct {
	mode      string
	slow      time.Duration
	failRatio float64
	cross     bool
	late      time.Duration
	token     time.Duration
	prefill   time.Duration
	loadLag   time.Duration
	cacheLag  time.Duration
	gapRatio  float64
}

type faults struct {
	mu      sync.Mutex // guards all fields; changed is closed while holding it
	now     conditions
	changed chan struct{}
	due     float64 // failures owed by failRatio
}

func newFaults(options Options) *faults {
	now := conditions{mode: ModeUp, token: options.TokenTime, prefill: options.Prefill}
	return &faults{now: now, changed: make(chan struct{})}
}

// get returns the faults in force and the channel that is closed when they
// change.
func (f *faults) get() (conditions, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now, f.changed
}

// fails reports whether the next run is one of those that fail.
func (f *faults) fails() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.due += f.now.failRatio
	if f.due < 1 {
		return false
	}
	f.due--
	return true
}

// admit reports whether a call may go on now; if not, it has dealt with it.
func (f *faults) admit(w http.ResponseWriter, r *http.Request) bool {
	for {
		now, changed := f.get()
		switch now.mode {
		case ModeDown:
			refuse(w, http.StatusServiceUnavailable, "engine is down")
			return false
		case ModeSilent:
			<-r.Context().Done()
			return false
		case ModeFreeze:
			select {
			case <-changed:
			case <-r.Context().Done():
				return false
			}
		default:
			return true
		}
	}
}

// pause waits for a time, and for the end of a freeze.
func (f *faults) pause(ctx context.Context, d time.Duration) bool {
	if d > 0 {
		timer := time.NewTimer(d)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return false
		}
	}
	for {
		now, changed := f.get()
		if now.mode != ModeFreeze {
			return ctx.Err() == nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

func (e *Engine) setFaults(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var change Faults
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&change); err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	if change.Mode != nil && !knownMode(*change.Mode) {
		refuse(w, http.StatusBadRequest, "mode: want up, down, slow, freeze, silent or lose_replies")
		return
	}
	e.faults.apply(change)
	reply(w, change)
}

func knownMode(mode string) bool {
	switch mode {
	case ModeUp, ModeDown, ModeSlow, ModeFreeze, ModeSilent, ModeLoseReplies:
		return true
	}
	return false
}

func (f *faults) apply(change Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	set(&f.now.mode, change.Mode)
	set(&f.now.failRatio, change.FailRatio)
	set(&f.now.cross, change.CrossAnswers)
	set(&f.now.gapRatio, change.CacheGapRatio)
	setTime(&f.now.slow, change.SlowMS, time.Millisecond)
	setTime(&f.now.late, change.LateMS, time.Millisecond)
	setTime(&f.now.token, change.TokenMS, time.Millisecond)
	setTime(&f.now.prefill, change.PrefillUS, time.Microsecond)
	setTime(&f.now.loadLag, change.LoadLagMS, time.Millisecond)
	setTime(&f.now.cacheLag, change.CacheLagMS, time.Millisecond)
	close(f.changed)
	f.changed = make(chan struct{})
}

func set[T any](field *T, value *T) {
	if value != nil {
		*field = *value
	}
}

func setTime(field *time.Duration, value *int, unit time.Duration) {
	if value != nil {
		*field = time.Duration(*value) * unit
	}
}

func newReader(body []byte) io.Reader {
	return bytes.NewReader(body)
}
