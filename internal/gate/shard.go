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

// shard holds the keys whose first byte falls into it.
type shard struct {
	// mu makes "is the key known or sealed, may it start" and "it starts", or
	// "it is sealed", one step. A key is in at most one of the three sets.
	mu     sync.Mutex
	runs   map[ident.Key]*run     // running, unsettled or with a retained answer
	ended  endedKeys              // have run; none is ever removed
	sealed map[ident.Key]struct{} // must not start; none is ever removed
}

func (s *shard) init() {
	s.runs = make(map[ident.Key]*run)
	s.ended.init()
	s.sealed = make(map[ident.Key]struct{})
}

func shortHash(hash ident.Key) uint64 {
	return binary.LittleEndian.Uint64(hash[:])
}

// SealKey makes sure that an unknown key never starts, and returns what was
// known of the key. A run that has started goes on.
func (g *Gate) SealKey(key ident.Key) wire.KeyState {
	s := g.shardOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	state, _ := s.state(key)
	if state == wire.KeyUnknown {
		s.sealed[key] = struct{}{}
		g.counts.Inc("keys_sealed")
	}
	return state
}

// Lookup returns what is known of a key, and its run if it has one.
func (g *Gate) Lookup(key ident.Key) (wire.KeyState, ident.RunID) {
	s := g.shardOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	state, number := s.state(key)
	if number == 0 {
		return state, ident.RunID{}
	}
	return state, ident.RunID{Gate: g.Incarnation(), Number: number}
}

// state is called under the lock.
func (s *shard) state(key ident.Key) (wire.KeyState, uint64) {
	if r, ok := s.runs[key]; ok {
		if r.over() {
			return wire.KeyDone, r.id.Number
		}
		return wire.KeyRunning, r.id.Number
	}
	if ended, ok := s.ended.find(key); ok {
		return wire.KeyDone, ended.number
	}
	if _, ok := s.sealed[key]; ok {
		return wire.KeySealed, 0
	}
	return wire.KeyUnknown, 0
}

// Cancel stops the run of a key; what was generated is billed. It reports
// whether the key was running.
func (g *Gate) Cancel(key ident.Key) bool {
	s := g.shardOf(key)
	s.mu.Lock()
	r, ok := s.runs[key]
	s.mu.Unlock()
	if !ok || r.over() {
		return false
	}
	r.cancel(errCancelled)
	return true
}

// WaitSettled returns once nothing can start any more that the sealed life began
// or pays for, and every such run is over and settled. Runs in progress are
// let go on to their end.
func (g *Gate) WaitSettled(ctx context.Context, sealed ident.Incarnation) error {
	if g.config.Fleet.IncarnationState(sealed) == Live {
		return errors.Errorf("life %d is not sealed in the gate's view", sealed)
	}
	// Looking for the runs passes through the lock of every shard: a Begin
	// that has not seen the seal is over then, and its run is found.
	pending := g.unsettled(func(r *run) bool {
		return r.holder == sealed || r.router == sealed
	})
	if len(pending) > 0 {
		g.log.Info().Uint64("life", uint64(sealed)).Int("runs", len(pending)).Msg("seal waits for runs")
	}
	return waitFor(ctx, pending, 0)
}

// unsettled returns the chosen runs that are not yet settled.
func (g *Gate) unsettled(chosen func(*run) bool) []*run {
	var found []*run
	for i := range g.shards {
		s := &g.shards[i]
		s.mu.Lock()
		for _, r := range s.runs {
			if chosen(r) && !r.isSettled() {
				found = append(found, r)
			}
		}
		s.mu.Unlock()
	}
	return found
}

// waitFor waits until all runs are settled, at most for the limit if it is
// positive.
func waitFor(ctx context.Context, runs []*run, limit time.Duration) error {
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
