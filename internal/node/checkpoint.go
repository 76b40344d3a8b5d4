package node

import (
	"context"

	"github.com/camphorlever/camphorlever/internal/fleet"
	"github.com/camphorlever/camphorlever/internal/stream"
)

// runCheckpointers starts a checkpointer for every stream. Only routers write
// checkpoints: a fleet without routers writes no other records either.
func (n *Node) runCheckpointers(ctx context.Context) {
	if n.options.Role != fleet.RoleRouter {
		return
	}
	n.work.Go(func() { stream.NewCheckpointer(n.settings, n.settingsWriter).Run(ctx) })
	n.work.Go(func() { stream.NewCheckpointer(n.fleet, n.fleetWriter).Run(ctx) })
	for _, shard := range n.ledger.shards {
		n.work.Go(func() { stream.NewCheckpointer(shard.follower, shard.writer).Run(ctx) })
	}
}
