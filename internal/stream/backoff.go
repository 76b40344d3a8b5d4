package stream

import (
	"context"
	"math/rand/v2"
	"time"
)

// Limits of the delay between two attempts.
const (
	backoffBase = 50 * time.Millisecond
	backoffCap  = 5 * time.Second
)

// retryDelay returns a full-jitter backoff delay after the given number of
// failures: a random duration up to an exponentially growing limit.
func retryDelay(failures int) time.Duration {
	limit := backoffCap
	if failures < 7 {
		limit = min(backoffCap, backoffBase<<failures)
	}
	return rand.N(limit) + time.Millisecond
}

// sleep waits for d, for wake or for the end of ctx, and reports whether ctx
// has not ended.
func sleep(ctx context.Context, d time.Duration, wake <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wake:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}
