package placement

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/camphorlever/camphorlever/internal/measure"
	"github.com/camphorlever/camphorlever/internal/retry"
)

// Shape of the failure.
const (
	retryRate     = 200.0 // requests a second
	retryLength   = 120 * time.Second
	failureRatio  = 0.3
	retryAttempts = 4
)

// measureRetries counts the attempts per request while 30 % of them fail.
func measureRetries(_ context.Context, emit measure.Emit) error {
	r := rand.New(rand.NewPCG(traceSeed, 6))
	c := &clock{}
	budget := retry.NewBudget(c.Now)
	requests, attempts, answered := 0, 0, 0
	for c.now < retryLength {
		c.now += time.Duration(r.ExpFloat64() / retryRate * float64(time.Second))
		requests++
		budget.RecordRequest()
		for tried := 1; ; tried++ {
			attempts++
			if r.Float64() >= failureRatio {
				answered++
				break
			}
			if tried == retryAttempts || !budget.Allow() {
				break
			}
		}
	}
	emit("retry.amplification", float64(attempts)/float64(requests), "ratio")
	emit("retry.answered_ratio", float64(answered)/float64(requests), "ratio")
	return nil
}
