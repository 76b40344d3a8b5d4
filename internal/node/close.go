package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/camphorlever/camphorlever/internal/fleet"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/record"
)

// Timing of the closer.
const (
	closeInterval = 2 * time.Second
	closeJitter   = 2 * time.Second
	closeTimeout  = 30 * time.Second
)

// closer writes a Close of every incarnation that is closed in the fleet to
// each shard of the ledger, also to shards where it had no grants: routers
// learn from the Close that a run which they began at that incarnation can no
// longer be billed. Any router may write it, and a repeat has no effect. A
// random delay makes it likely that only one of them does.
type closer struct {
	node *Node
}

func newCloser(n *Node) *closer {
	return &closer{node: n}
}

// run writes missing Closes until ctx ends.
func (c *closer) run(ctx context.Context) {
	for pauseFor(ctx, closeInterval+rand.N(closeJitter), nil) {
		for shard := range c.node.ledger.Shards() {
			c.closeShard(ctx, shard)
		}
	}
}

// closeShard writes the missing Closes of one shard.
func (c *closer) closeShard(ctx context.Context, shard int) {
	if len(c.missingCloses(shard)) == 0 || !pauseFor(ctx, rand.N(closeJitter), nil) {
		return
	}
	var records []record.Record
	for _, closeRange := range c.missingCloses(shard) {
		r, err := record.New(ledger.KindClose, closeRange)
		if err != nil {
			return
		}
		records = append(records, r)
	}
	if len(records) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	if _, err := c.node.ledger.SubmitShard(ctx, shard, records...); err == nil {
		c.node.logger.Info().Int("shard", shard).Int("records", len(records)).Msg("closed incarnations written to the ledger")
	}
}

// missingCloses returns the Close records that a shard lacks: for the recently
// closed incarnations, and for those of which the shard still has state.
func (c *closer) missingCloses(shard int) []ledger.Close {
	members := c.node.Members()
	var unclosed []ident.Incarnation
	c.node.ledger.ViewShard(shard, func(s *ledger.State) {
		for _, incarnation := range append(s.Incarnations(), members.RecentlyClosed...) {
			if members.Closed(incarnation) && !s.Closed(incarnation) {
				unclosed = append(unclosed, incarnation)
			}
		}
	})
	slices.Sort(unclosed)
	return mergeRanges(members, slices.Compact(unclosed))
}

// mergeRanges joins closed incarnations with no member between them into one
// record, so that the number of ranges that the ledger stores is bounded by the
// number of members.
func mergeRanges(members *fleet.View, closed []ident.Incarnation) []ledger.Close {
	var closes []ledger.Close
	for _, incarnation := range closed {
		first := members.ClosedRangeStart(incarnation)
		last := len(closes) - 1
		if last >= 0 && closes[last].Holder == first {
			closes[last].Through = incarnation
			continue
		}
		closes = append(closes, ledger.Close{Holder: first, Through: incarnation})
	}
	return closes
}
