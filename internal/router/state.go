package router

import (
	"sync/atomic"

	"github.com/camphorlever/camphorlever/internal/refusal"
)

// state records whether the router serves requests. The zero value means that
// it does not.
type state struct {
	started   atomic.Bool
	unready   atomic.Bool  // the load balancer must send no more requests
	stopping  atomic.Bool  // new requests are refused
	active    atomic.Int64 // requests in progress
	nodeReady func() error // returns why the node is not ready, nil if it is
}

// Refusal implements serving.State.
func (s *state) Refusal() *refusal.Refusal {
	if s.stopping.Load() {
		return refusal.New(refusal.Stopping, refusal.NotRun, "The router is being stopped.")
	}
	if err := s.checkServing(); err != nil {
		return refusal.New(refusal.NotReady, refusal.NotRun, "The router is not ready: "+err.Error()+".")
	}
	return nil
}

// Ready returns nil while the load balancer may send requests, and otherwise the
// reason why not. The admin interface returns the text.
func (s *state) Ready() error {
	if s.unready.Load() {
		return errStopping
	}
	return s.checkServing()
}

func (s *state) checkServing() error {
	if !s.started.Load() {
		return errNotServing
	}
	return s.nodeReady()
}
