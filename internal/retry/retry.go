// Package retry decides whether a request may be tried again: a retry budget
// that is a share of recent requests, full-jitter backoff, and the caller's
// deadline.
package retry

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Defaults of a Budget.
const (
	// DefaultRatio is how many retries are allowed per request of late.
	DefaultRatio = 0.15
	// DefaultWindow is the span that counts as of late.
	DefaultWindow = 10 * time.Second
	// DefaultMinRetries is the number of retries per window that are allowed however few
	// requests there are.
	DefaultMinRetries = 3
)

// Limits are what a Budget allows within a window that slides.
type Limits struct {
	Ratio      float64       // retries per request
	MinRetries int64         // retries that are allowed however few requests there are
	Window     time.Duration // span of requests and retries that count
}

// slots divides the window; the oldest slot is dropped as time goes on.
const slots = 10

// Budget bounds the retries of a router. It is safe for concurrent use.
type Budget struct {
	mu       sync.Mutex // guards the ring: sums cover exactly the window that ends at slot
	requests [slots]int64
	retries  [slots]int64
	slot     int64 // number of the newest slot since the zero time
	now      func() time.Time
	limits   Limits
}

// NewBudget returns a budget without history. The clock may be nil for the
// real one.
func NewBudget(now func() time.Time) *Budget {
	return NewBudgetWithLimits(Limits{Ratio: DefaultRatio, MinRetries: DefaultMinRetries, Window: DefaultWindow}, now)
}

// NewBudgetWithLimits returns a budget with limits of its own.
func NewBudgetWithLimits(limits Limits, now func() time.Time) *Budget {
	if now == nil {
		now = time.Now
	}
	return &Budget{now: now, limits: limits}
}

// RecordRequest counts a request that came in.
func (b *Budget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	b.requests[b.slot%slots]++
}

// Allow takes one retry out of the budget; false means that it is spent.
func (b *Budget) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	var requests, retries int64
	for i := range slots {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	if retries >= b.limits.MinRetries && float64(retries+1) > b.limits.Ratio*float64(requests) {
		return false
	}
	b.retries[b.slot%slots]++
	return true
}

func (b *Budget) advance() {
	current := b.now().UnixNano() / int64(b.limits.Window/slots)
	if current-b.slot >= slots {
		b.requests, b.retries = [slots]int64{}, [slots]int64{}
		b.slot = current
		return
	}
	for b.slot < current {
		b.slot++
		b.requests[b.slot%slots] = 0
		b.retries[b.slot%slots] = 0
	}
}

// Backoff yields the pauses between the attempts of one request.
type Backoff struct {
	exponential *backoff.ExponentialBackOff
}

// Limits of a pause.
const (
	firstPause   = 40 * time.Millisecond
	longestPause = 2 * time.Second
)

// NewBackoff returns full-jitter backoff: each pause is drawn evenly between
// zero and a limit that grows.
func NewBackoff() *Backoff {
	e := backoff.NewExponentialBackOff()
	// The library draws from interval ± interval, so half the limit is given.
	e.InitialInterval = firstPause / 2
	e.MaxInterval = longestPause / 2
	e.RandomizationFactor = 1
	e.Multiplier = 2
	return &Backoff{exponential: e}
}

// Wait pauses before the next attempt. It returns false at once if the
// context's deadline would pass meanwhile, and false when the context ends.
func (b *Backoff) Wait(ctx context.Context) bool {
	pause := b.exponential.NextBackOff()
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= pause {
		return false
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}
