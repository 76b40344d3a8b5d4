package gate

import (
	"context"
	"encoding/binary"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/wire"
)

const shardCount = 64

// shard holds the keys that are assigned to it by their first byte.
type shard struct {
	// mu makes checking whether a key may start and starting or sealing it one
	// atomic step. A key is in at most one of the three sets below.
	mu     sync.Mutex
	runs   map[ident.Key]*run     // in progress, unsettled, or with a retained answer
	ended  endedKeys              // keys that have run; none is ever removed
	sealed map[ident.Key]struct{} // keys that must not start; none is ever removed
}

func (s *shard) init() {
	s.runs = make(map[ident.Key]*run)
	s.ended.init()
	s.sealed = make(map[ident.Key]struct{})
}

func shortHash(hash ident.Key) uint64 {
	return binary.LittleEndian.Uint64(hash[:])
}

// SealKey ensures that a key which has not run never starts, and returns the
// state of the key before the call. A run that has started goes on.
func (g *Gate) SealKey(key ident.Key) wire.KeyState {
	s := g.shardOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	state, _ := s.keyState(key)
	if state == wire.KeyUnknown {
		s.sealed[key] = struct{}{}
		g.counts.Inc("keys_sealed")
	}
	return state
}

// Lookup returns the state of a key, and its run if the run is still known.
func (g *Gate) Lookup(key ident.Key) (wire.KeyState, ident.RunID) {
	s := g.shardOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	state, number := s.keyState(key)
	if number == 0 {
		return state, ident.RunID{}
	}
	return state, ident.RunID{Gate: g.Incarnation(), Number: number}
}

// keyState returns the state of a key and the number of its run, zero if there
// is none or it is no longer known. It requires s.mu.
func (s *shard) keyState(key ident.Key) (wire.KeyState, uint64) {
	if r, ok := s.runs[key]; ok {
		if r.hasEnded() {
			return wire.KeyDone, r.id.Number
		}
		return wire.KeyRunning, r.id.Number
	}
	if ended, ok := s.ended.find(key); ok {
		return wire.KeyDone, ended.runNumber
	}
	if _, ok := s.sealed[key]; ok {
		return wire.KeySealed, 0
	}
	return wire.KeyUnknown, 0
}

// Cancel stops the run of a key; the tokens generated so far are billed. It
// reports whether the run was in progress.
func (g *Gate) Cancel(key ident.Key) bool {
	s := g.shardOf(key)
	s.mu.Lock()
	r, ok := s.runs[key]
	s.mu.Unlock()
	if !ok || r.hasEnded() {
		return false
	}
	r.cancel(errCancelled)
	return true
}

// WaitSettled returns once all runs that the sealed incarnation requested or
// pays for have ended and are settled, and no new ones can start. Runs in
// progress are not cancelled. It returns an error if the gate's view
// of the fleet still shows the incarnation as live, or if ctx ends.
func (g *Gate) WaitSettled(ctx context.Context, sealed ident.Incarnation) error {
	if g.config.Fleet.IncarnationState(sealed) == Live {
		return errors.Errorf("incarnation %d is still live in the gate's view of the fleet", sealed)
	}
	// Collecting the runs acquires the lock of every shard. A Begin that had
	// not observed the seal has then released it, so its run is found.
	pending := g.unsettledRuns(func(r *run) bool {
		return r.holder == sealed || r.router == sealed
	})
	if len(pending) > 0 {
		g.log.Info().Uint64("life", uint64(sealed)).Int("runs", len(pending)).Msg("seal acknowledgement waits for unsettled runs")
	}
	return waitRunsSettled(ctx, pending, 0)
}

// unsettledRuns returns the matching runs that are not settled.
func (g *Gate) unsettledRuns(match func(*run) bool) []*run {
	var found []*run
	for i := range g.shards {
		s := &g.shards[i]
		s.mu.Lock()
		for _, r := range s.runs {
			if match(r) && !r.isSettled() {
				found = append(found, r)
			}
		}
		s.mu.Unlock()
	}
	return found
}

// waitRunsSettled waits until all runs are settled. With a positive limit it
// returns nil after that time even if some are not.
func waitRunsSettled(ctx context.Context, runs []*run, limit time.Duration) error {
	var expired <-chan time.Time
	if limit > 0 {
		timer := time.NewTimer(limit)
		defer timer.Stop()
		expired = timer.C
	}
	for _, r := range runs {
		select {
		case <-r.settledDone:
		case <-expired:
			return nil
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for runs to be settled")
		}
	}
	return nil
}
