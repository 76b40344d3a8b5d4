// Package retry limits retries of requests: by a retry budget that is a share
// of recent requests, by backoff with full jitter, and by the caller's
// deadline.
package retry

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Default limits of a Budget.
const (
	// DefaultRatio is the number of retries allowed per recent request.
	DefaultRatio = 0.15
	// DefaultWindow is the period whose requests and retries count.
	DefaultWindow = 10 * time.Second
	// DefaultMinRetries is the number of retries allowed per window regardless
	// of the number of requests.
	DefaultMinRetries = 3
)

// Limits configures a Budget. The limits apply to a sliding window.
type Limits struct {
	Ratio      float64       // retries allowed per request
	MinRetries int64         // retries allowed regardless of the number of requests
	Window     time.Duration // period whose requests and retries count
}

// slotCount is the number of slots that the window is divided into. The oldest
// slot is dropped as time passes.
const slotCount = 10

// Budget limits the retries of a router. It is safe for concurrent use.
type Budget struct {
	mu       sync.Mutex // guards all below; the sums of the ring buffers cover exactly the window that ends at slot
	requests [slotCount]int64
	retries  [slotCount]int64
	slot     int64 // index of the newest slot, counted from the Unix epoch
	now      func() time.Time
	limits   Limits
}

// NewBudget returns a budget with the default limits and no history. A nil
// clock means time.Now.
func NewBudget(now func() time.Time) *Budget {
	return NewBudgetWithLimits(Limits{Ratio: DefaultRatio, MinRetries: DefaultMinRetries, Window: DefaultWindow}, now)
}

// NewBudgetWithLimits returns a budget with the given limits and no history. A
// nil clock means time.Now.
func NewBudgetWithLimits(limits Limits, now func() time.Time) *Budget {
	if now == nil {
		now = time.Now
	}
	return &Budget{now: now, limits: limits}
}

// RecordRequest counts an incoming request.
func (b *Budget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	b.requests[b.slot%slotCount]++
}

// SetMinRetries changes the number of retries allowed regardless of the number of
// requests.
func (b *Budget) SetMinRetries(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits.MinRetries = n
}

// Allow consumes one retry from the budget. It returns false if the budget is
// exhausted.
func (b *Budget) Allow() bool {
	_, ok := b.Reserve()
	return ok
}

// Reservation is a retry consumed from a budget that may turn out not to be made.
type Reservation struct {
	budget *Budget
	slot   int64 // in which it was consumed
}

// Cancel returns the retry to the budget.
func (r Reservation) Cancel() {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	if b.slot-r.slot < slotCount {
		b.retries[r.slot%slotCount]--
	}
}

// Reserve is Allow for a retry that may be cancelled.
func (b *Budget) Reserve() (Reservation, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	var requests, retries int64
	for i := range slotCount {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	if retries >= b.limits.MinRetries && float64(retries+1) > b.limits.Ratio*float64(requests) {
		return Reservation{}, false
	}
	b.retries[b.slot%slotCount]++
	return Reservation{budget: b, slot: b.slot}, true
}

// advance drops the slots that have left the window. The caller holds the lock.
func (b *Budget) advance() {
	currentSlot := b.now().UnixNano() / int64(b.limits.Window/slotCount)
	if currentSlot-b.slot >= slotCount {
		b.requests, b.retries = [slotCount]int64{}, [slotCount]int64{}
		b.slot = currentSlot
		return
	}
	for b.slot < currentSlot {
		b.slot++
		b.requests[b.slot%slotCount] = 0
		b.retries[b.slot%slotCount] = 0
	}
}

// Backoff computes the delays between the attempts of one request.
type Backoff struct {
	exponential *backoff.ExponentialBackOff
}

// Bounds of the delay limit, which doubles from minDelayLimit up to
// maxDelayLimit.
const (
	minDelayLimit = 40 * time.Millisecond
	maxDelayLimit = 2 * time.Second
)

// NewBackoff returns a backoff with full jitter: each delay is uniformly
// distributed between zero and a limit that grows exponentially.
func NewBackoff() *Backoff {
	e := backoff.NewExponentialBackOff()
	// The library picks from interval ± interval, so the interval is half the
	// limit.
	e.InitialInterval = minDelayLimit / 2
	e.MaxInterval = maxDelayLimit / 2
	e.RandomizationFactor = 1
	e.Multiplier = 2
	return &Backoff{exponential: e}
}

// Wait sleeps before the next attempt. It returns false immediately if the
// context's deadline would pass during the delay, and false when the context
// ends.
func (b *Backoff) Wait(ctx context.Context) bool {
	delay := b.exponential.NextBackOff()
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= delay {
		return false
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}
