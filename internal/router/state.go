package router

import (
	"sync/atomic"

	"github.com/camphorlever/camphorlever/internal/refusal"
)

// state tells whether the router serves. The zero value does not.
type state struct {
	started  atomic.Bool
	unready  atomic.Bool  // the balancer is to send nothing more
	stopping atomic.Bool  // new requests are refused
	active   atomic.Int64 // requests in progress
	ready    func() error // of the node
}

// Refusal implements serving.State.
func (s *state) Refusal() *refusal.Refusal {
	if s.stopping.Load() {
		return refusal.New(refusal.Stopping, refusal.NotRun, "The router is being stopped.")
	}
	if err := s.serving(); err != nil {
		return refusal.New(refusal.NotReady, refusal.NotRun, "The router is not ready: "+err.Error()+".")
	}
	return nil
}

// Ready returns nil when the balancer may send requests.
func (s *state) Ready() error {
	if s.unready.Load() {
		return errStopping
	}
	return s.serving()
}

func (s *state) serving() error {
	if !s.started.Load() {
		return errNotServing
	}
	return s.ready()
}
