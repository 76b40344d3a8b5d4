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

// Pace of the closer.
const (
	closeInterval = 2 * time.Second
	closeJitter   = 2 * time.Second
	closeTimeout  = 30 * time.Second
)

// closer writes a Close of every life that has ended to each shard of the
// ledger, also where it held nothing: routers learn from it that a run which
// they began there can no longer be billed. Any router may write it, and a repeat has no effect;
// the random pause lets usually one of them do it.
type closer struct {
	node *Node
}

func newCloser(n *Node) *closer {
	return &closer{node: n}
}

// run closes until ctx ends.
func (c *closer) run(ctx context.Context) {
	for pauseFor(ctx, closeInterval+rand.N(closeJitter), nil) {
		for shard := range c.node.ledger.Shards() {
			c.shard(ctx, shard)
		}
	}
}

// shard closes what has ended in one shard.
func (c *closer) shard(ctx context.Context, shard int) {
	if len(c.due(shard)) == 0 || !pauseFor(ctx, rand.N(closeJitter), nil) {
		return
	}
	var records []record.Record
	for _, span := range c.due(shard) {
		r, err := record.New(ledger.KindClose, span)
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
		c.node.logger.Info().Int("shard", shard).Int("records", len(records)).Msg("ended lives closed")
	}
}

// due returns the Close records that a shard lacks: of the lives that ended
// last, and of those of which the shard remembers something.
func (c *closer) due(shard int) []ledger.Close {
	members := c.node.Members()
	var ended []ident.Incarnation
	c.node.ledger.ViewShard(shard, func(s *ledger.State) {
		for _, incarnation := range append(s.Incarnations(), members.RecentlyClosed...) {
			if members.Closed(incarnation) && !s.Closed(incarnation) {
				ended = append(ended, incarnation)
			}
		}
	})
	slices.Sort(ended)
	return spans(members, slices.Compact(ended))
}

// spans joins ended lives with no member between them into one record, so that
// the ranges which the ledger remembers are bounded by the number of members.
func spans(members *fleet.View, ended []ident.Incarnation) []ledger.Close {
	var closes []ledger.Close
	for _, incarnation := range ended {
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
