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

// polledGate answers load polls and can drop its replies.
type polledGate struct {
	cache          *engine.CacheView
	dropReplies    bool
	requestedSince wire.CacheMark
	fullReports    int
}

func (s *polledGate) Call(_ context.Context, _ string, args, reply any) error {
	s.requestedSince = args.(*wire.LoadArgs).Known
	changes := s.cache.ChangesSince(s.requestedSince)
	if changes.Whole {
		s.fullReports++
	}
	if s.dropReplies {
		return errors.New("reply lost")
	}
	*reply.(*wire.LoadReply) = wire.LoadReply{Gate: 1, Slots: 8, Changes: changes}
	return nil
}

func (s *polledGate) Close() error { return nil }

// After a lost reply the next poll must request changes from the old mark again,
// so that no change of the prefix cache is missed. The whole cache is reported
// only on the first poll and, until a reply arrives, after a change of the epoch.
func TestLoadPollsRequestOnlyChanges(t *testing.T) {
	gate := &polledGate{cache: engine.NewCacheView()}
	server := &placement.Server{ID: "s", Gate: 1, Models: []ident.ModelID{"maps"}}
	poller := &loadPoller{
		picker:      placement.New(placement.Config{Seed: 1}),
		gates:       newGateClients(func() wire.Offsets { return wire.Offsets{} }, func(string) rpc.Caller { return gate }),
		pollResults: counter.NewSet("polls"),
	}
	poller.picker.Update([]*placement.Server{server})
	steps := []struct {
		epoch       uint64
		dropReply   bool
		fullReports int
	}{{1, false, 1}, {1, false, 1}, {1, true, 1}, {1, false, 1}, {2, true, 2}, {2, false, 3}, {2, false, 3}}
	for i, step := range steps {
		seq := uint64(i + 1)
		gate.dropReplies = step.dropReply
		gate.cache.Apply(engine.CachePage{Epoch: step.epoch, Events: []engine.CacheEvent{{Seq: seq, Kind: "stored", Block: seq}}})
		before := poller.picker.CacheMark(1)
		poller.pollServer(t.Context(), server)
		require.Equal(t, before, gate.requestedSince, "poll %d", i)
		require.Equal(t, step.fullReports, gate.fullReports, "poll %d", i)
		after := poller.picker.CacheMark(1)
		require.Equal(t, step.dropReply, before == after, "poll %d", i)
		if !step.dropReply {
			require.Zero(t, gate.cache.ChangesSince(after).Stored.Len(), "poll %d", i)
		}
	}
}
