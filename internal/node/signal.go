package node

import (
	"context"
	"sync"
	"time"
)

// signal notifies any number of waiters of a change. Several changes may be
// coalesced into one notification.
type signal struct {
	mu sync.Mutex // guards ch
	ch chan struct{}
}

func newSignal() *signal {
	return &signal{ch: make(chan struct{})}
}

func (s *signal) raise() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.ch)
	s.ch = make(chan struct{})
}

// wait returns a channel that is closed at the next raise.
func (s *signal) wait() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ch
}

// pauseFor waits for d, for wake or for the end of ctx, and reports whether ctx
// has not ended. A nil wake never ends the wait.
func pauseFor(ctx context.Context, d time.Duration, wake <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wake:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}
