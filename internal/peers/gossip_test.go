package peers

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/quarantine"
)

// evidenceCounter counts the calls that bring it evidence.
type evidenceCounter struct {
	calls atomic.Int64
	panic bool
}

func (c *evidenceCounter) Merge(evidence ...quarantine.Evidence) {
	if c.panic {
		panic("unexpected evidence")
	}
	if len(evidence) == 1 && evidence[0].Part == "p" && len(evidence[0].Crashes) == 1 {
		c.calls.Add(1)
	}
}

// TestGossipReachesRoutersBesideOnesThatFail has one router that does not answer and one
// that panics.
func TestGossipReachesRoutersBesideOnesThatFail(t *testing.T) {
	good := &evidenceCounter{}
	members := []Member{{Node: "gone", Address: "127.0.0.1:1"}}
	for i, sink := range []*evidenceCounter{good, good, {panic: true}, good} {
		members = append(members, Member{Node: fmt.Sprint(i), Address: serveMethods(t, NewMethods(&fakeLender{}, nil, sink))})
	}
	c := NewClient(peerSetOf(t, members...), "key")
	begun := time.Now()
	require.True(t, c.Gossip(context.Background(), []quarantine.Evidence{{Part: "p", Crashes: []quarantine.Crash{{Server: "s1", Depth: 1}}}}))
	require.EqualValues(t, 3, good.calls.Load())
	require.Less(t, time.Since(begun), 5*callTimeout)
}

// TestGossipCallsFewOfManyRouters bounds the calls of one router in a large fleet.
func TestGossipCallsFewOfManyRouters(t *testing.T) {
	sink := &evidenceCounter{}
	address := serveMethods(t, NewMethods(&fakeLender{}, nil, sink))
	var members []Member
	for i := range 100 {
		members = append(members, Member{Node: fmt.Sprint(i), Address: address})
	}
	c := NewClient(peerSetOf(t, members...), "key")
	c.Gossip(context.Background(), []quarantine.Evidence{{Part: "p", Crashes: []quarantine.Crash{{Server: "s1", Depth: 1}}}})
	require.EqualValues(t, gossipFanout, sink.calls.Load())
}

// TestGossipThatReachesNobodyIsReported guards against evidence that is taken for sent while
// no other router is known, or none answers.
func TestGossipThatReachesNobodyIsReported(t *testing.T) {
	failing := Member{Node: "panics", Address: serveMethods(t, NewMethods(&fakeLender{}, nil, &evidenceCounter{panic: true}))}
	for name, members := range map[string][]Member{"no other router": nil, "none answers": {{Node: "gone", Address: "127.0.0.1:1"}, failing}} {
		t.Run(name, func(t *testing.T) {
			c := NewClient(peerSetOf(t, members...), "key")
			require.False(t, c.Gossip(context.Background(), []quarantine.Evidence{{Part: "p"}}))
		})
	}
}
