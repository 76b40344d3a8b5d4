package stream

import (
	"context"
	"math/rand/v2"
	"time"
)

// Bounds of the pause between two attempts.
const (
	backoffBase = 50 * time.Millisecond
	backoffCap  = 5 * time.Second
)

// pause returns a full-jitter backoff after the given number of failures: a
// random time up to an exponentially growing bound.
func pause(failures int) time.Duration {
	bound := backoffCap
	if failures < 7 {
		bound = min(backoffCap, backoffBase<<failures)
	}
	return rand.N(bound) + time.Millisecond
}

// sleep waits for d, for wake or for the end of ctx, and reports whether ctx
// is still alive.
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
