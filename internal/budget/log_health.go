package budget

import (
	"sync"
	"time"
)

// Parameters of the log's health.
const (
	// successValidity is how long one successful append counts as evidence that
	// the log can be reached.
	successValidity = 3 * time.Second
	// probeDelay is the time after a failure during which nothing is returned.
	probeDelay = 30 * time.Second
	// probeDivisor limits a return that probes the log to one part in this
	// many.
	probeDivisor = 100
)

// logHealth records whether the log answered lately. Tokens returned while the
// log does not answer can be used by no router until it answers.
type logHealth struct {
	mu          sync.Mutex // guards both times
	lastSuccess time.Time
	lastFailure time.Time
}

// recordAppend records the outcome of an append.
func (h *logHealth) recordAppend(now time.Time, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if ok {
		h.lastSuccess = now
		return
	}
	h.lastFailure = now
}

// returnable returns how many of the excess tokens may be returned now.
func (h *logHealth) returnable(tokens int64, now time.Time) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.lastSuccess.After(h.lastFailure) && now.Sub(h.lastSuccess) < successValidity:
		return tokens
	case !h.lastFailure.IsZero() && !h.lastSuccess.After(h.lastFailure) && now.Sub(h.lastFailure) < probeDelay:
		return 0
	default:
		return max(tokens/probeDivisor, 1)
	}
}
