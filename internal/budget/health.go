package budget

import (
	"sync"
	"time"
)

// Times of the log's health.
const (
	// provenFor is how long one answered append shows that the log can be
	// reached.
	provenFor = 3 * time.Second
	// probeRest is how long after a failure no tokens are risked.
	probeRest = 30 * time.Second
	// probeParts is the share of a return that is risked to find out.
	probeParts = 100
)

// health remembers whether the log answered lately. Tokens that are returned
// while it does not are in nobody's hands until it does.
type health struct {
	mu       sync.Mutex // guards both times
	answered time.Time
	failed   time.Time
}

// note takes over the outcome of an append.
func (l *health) note(now time.Time, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ok {
		l.answered = now
		return
	}
	l.failed = now
}

// cap returns how many of the tokens that are in excess may be returned now.
func (l *health) cap(tokens int64, now time.Time) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.answered.After(l.failed) && now.Sub(l.answered) < provenFor:
		return tokens
	case !l.failed.IsZero() && !l.answered.After(l.failed) && now.Sub(l.failed) < probeRest:
		return 0
	default:
		return max(tokens/probeParts, 1)
	}
}
