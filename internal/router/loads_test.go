package router

import (
	"context"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/engine"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/placement"
	"github.com/camphorlever/camphorlever/internal/rpc"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// polledSide answers load polls; some of the replies get lost.
type polledSide struct {
	cache  *engine.CacheView
	lose   bool
	asked  wire.CacheMark
	wholes int
}

func (s *polledSide) Call(_ context.Context, _ string, args, reply any) error {
	s.asked = args.(*wire.LoadArgs).Known
	changes := s.cache.ChangesSince(s.asked)
	if changes.Whole {
		s.wholes++
	}
	if s.lose {
		return errors.New("reply lost")
	}
	*reply.(*wire.LoadReply) = wire.LoadReply{Gate: 1, Slots: 8, Changes: changes}
	return nil
}

func (s *polledSide) Close() error { return nil }

func TestLoadPollsAskForChangesOnly(t *testing.T) {
	side := &polledSide{cache: engine.NewCacheView()}
	server := &placement.Server{ID: "s", Gate: 1, Models: []ident.ModelID{"maps"}}
	l := &loads{
		picker: placement.New(placement.Config{Seed: 1}),
		gates:  newGates(func() wire.Offsets { return wire.Offsets{} }, func(string) rpc.Caller { return side }),
		polls:  counter.NewSet("polls"),
	}
	l.picker.Update([]*placement.Server{server})
	steps := []struct {
		epoch  uint64
		lose   bool
		wholes int
	}{{1, false, 1}, {1, false, 1}, {1, true, 1}, {1, false, 1}, {2, true, 2}, {2, false, 3}, {2, false, 3}}
	for i, step := range steps {
		seq := uint64(i + 1)
		side.lose = step.lose
		side.cache.Apply(engine.CachePage{Epoch: step.epoch, Events: []engine.CacheEvent{{Seq: seq, Kind: "stored", Block: seq}}})
		before := l.picker.CacheMark(1)
		l.poll(t.Context(), server)
		require.Equal(t, before, side.asked, "poll %d", i)
		require.Equal(t, step.wholes, side.wholes, "poll %d", i)
		after := l.picker.CacheMark(1)
		require.Equal(t, step.lose, before == after, "poll %d", i)
		if !step.lose {
			require.Zero(t, side.cache.ChangesSince(after).Stored.Len(), "poll %d", i)
		}
	}
}
