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

// Service holds the net/rpc methods that every process has. Routers and side
// processes embed it in the receivers that they register as ServiceRouter and
// ServiceSide.
type Service struct {
	node *Node
}

// Service returns the methods that every process has.
func (n *Node) Service() Service {
	return Service{node: n}
}

// Ping answers a heartbeat.
func (s Service) Ping(args *wire.PingArgs, reply *wire.PingReply) error {
	s.node.hint(args.Offsets)
	reply.Offsets = s.node.Offsets()
	reply.Incarnation = s.node.Incarnation()
	return nil
}

// State answers with a checkpoint of the own fold of a stream if it is newer
// than the peer's.
func (s Service) State(args *wire.StateArgs, reply *wire.StateReply) error {
	reply.Offsets = s.node.Offsets()
	reply.Offset = ident.NoOffset
	source := s.node.source(logservice.Stream(args.Stream))
	if source == nil || source.Offset() <= args.After {
		return nil
	}
	offset, raw, err := source.Snapshot()
	if err != nil {
		return err
	}
	reply.Offset = offset
	reply.Checkpoint = raw
	return nil
}

// hint makes a reader that pauses hurry when a peer is ahead.
func (n *Node) hint(offsets wire.Offsets) {
	own := n.Offsets()
	if offsets.Settings > own.Settings || offsets.Fleet > own.Fleet {
		n.peers.hurry.raise()
	}
}

// follower is what catching up from peers needs of a stream.Follower.
type follower interface {
	Offset() ident.Offset
	SyncError() error
	Snapshot() (ident.Offset, []byte, error)
	Adopt(snapshot []byte) (bool, error)
}

var (
	_ follower = (*stream.Follower[*settings.State, settings.Verdict])(nil)
	_ follower = (*stream.Follower[*fleet.State, fleet.Verdict])(nil)
	_ follower = (*ledgerFollower)(nil)
)

// source returns the follower of a stream, nil if the node follows none.
func (n *Node) source(name logservice.Stream) follower {
	for stream, f := range n.followers() {
		if stream == name {
			return f
		}
	}
	return nil
}

// followers visits every stream that the node follows.
func (n *Node) followers() map[logservice.Stream]follower {
	all := map[logservice.Stream]follower{settings.Stream: n.settings, fleet.Stream: n.fleet}
	for i, shard := range n.ledger.shards {
		all[ledger.StreamOf(i)] = shard.follower
	}
	return all
}
