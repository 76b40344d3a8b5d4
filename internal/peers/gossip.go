package peers

import (
	"context"
	"math/rand/v2"
	"sync/atomic"

	"github.com/sourcegraph/conc"

	"github.com/camphorlever/camphorlever/internal/quarantine"
)

// gossipFanout is how many routers each router tells what is new to it. In a fleet of
// hundreds, nearly all learn it within four rounds of calls.
const gossipFanout = 8

// EvidenceArgs is evidence against prompt parts that another router sends.
type EvidenceArgs struct {
	Evidence []quarantine.Evidence
}

// Gossip implements quarantine.Gossiper. Routers that cannot be reached are not told;
// they learn from others, or from the log what matters longer.
func (c *Client) Gossip(ctx context.Context, evidence []quarantine.Evidence) bool {
	var calls conc.WaitGroup
	var told atomic.Bool
	for _, peer := range c.randomPeers(gossipFanout) {
		calls.Go(func() {
			if c.call(ctx, peer, "Report", &EvidenceArgs{Evidence: evidence}, &struct{}{}) == nil { // failures are counted by call
				told.Store(true)
			}
		})
	}
	calls.Wait()
	return told.Load()
}

// randomPeers returns up to n routers, without those that are avoided.
func (c *Client) randomPeers(n int) []*peerConn {
	order := c.callOrder(nil, true)
	rand.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	peers := make([]*peerConn, 0, n)
	for _, peer := range order {
		if peer != nil && len(peers) < n {
			peers = append(peers, peer)
		}
	}
	return peers
}
