package node

import (
	"context"

	"github.com/camphorlever/camphorlever/internal/fleet"
	"github.com/camphorlever/camphorlever/internal/stream"
)

// runCheckpointers starts a checkpointer for every stream. Routers write them;
// a fleet without routers writes nothing else either.
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
