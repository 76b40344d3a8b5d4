package node

import (
	"github.com/camphorlever/camphorlever/internal/fleet"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/logservice"
	"github.com/camphorlever/camphorlever/internal/settings"
	"github.com/camphorlever/camphorlever/internal/stream"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// Service holds the net/rpc methods that every process serves. Routers and side
// processes embed it in the receivers that they register as ServiceRouter and
// ServiceSide.
type Service struct {
	node *Node
}

// Service returns the net/rpc methods that every process serves.
func (n *Node) Service() Service {
	return Service{node: n}
}

// Ping answers a heartbeat with this process's offsets and incarnation.
func (s Service) Ping(args *wire.PingArgs, reply *wire.PingReply) error {
	s.node.observePeerOffsets(args.Offsets)
	reply.Offsets = s.node.Offsets()
	reply.Incarnation = s.node.Incarnation()
	return nil
}

// State returns a snapshot of this process's fold of a stream if it is newer
// than the offset that the caller has.
func (s Service) State(args *wire.StateArgs, reply *wire.StateReply) error {
	reply.Offsets = s.node.Offsets()
	reply.Offset = ident.NoOffset
	source := s.node.followerOf(logservice.Stream(args.Stream))
	if source == nil || source.Offset() <= args.After {
		return nil
	}
	snapshot, err := source.Snapshot()
	if err != nil {
		return err
	}
	reply.Offset, reply.Checkpoint = snapshot.Offset, snapshot.State
	reply.Era, reply.Complete = uint64(snapshot.Era), snapshot.Complete
	return nil
}

// observePeerOffsets wakes the catch-up from peers when a peer has newer
// settings or fleet state.
func (n *Node) observePeerOffsets(offsets wire.Offsets) {
	own := n.Offsets()
	if offsets.Settings > own.Settings || offsets.Fleet > own.Fleet {
		n.peers.wakeup.raise()
	}
}

// streamFollower is the part of stream.Follower that catching up from peers
// uses.
type streamFollower interface {
	Offset() ident.Offset
	SyncError() error
	Snapshot() (stream.Snapshot, error)
	Adopt(snapshot stream.Snapshot) (bool, error)
}

var (
	_ streamFollower = (*stream.Follower[*settings.State, settings.Verdict])(nil)
	_ streamFollower = (*stream.Follower[*fleet.State, fleet.Verdict])(nil)
	_ streamFollower = (*ledgerFollower)(nil)
)

// followerOf returns the follower of a stream, nil if the node follows none.
func (n *Node) followerOf(name logservice.Stream) streamFollower {
	for stream, f := range n.followers() {
		if stream == name {
			return f
		}
	}
	return nil
}

// followers returns the followers of all streams that the node follows.
func (n *Node) followers() map[logservice.Stream]streamFollower {
	all := map[logservice.Stream]streamFollower{settings.Stream: n.settings, fleet.Stream: n.fleet}
	for i, shard := range n.ledger.shards {
		all[ledger.StreamOf(i)] = shard.follower
	}
	return all
}
