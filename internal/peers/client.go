package peers

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/prepaid"
	"github.com/camphorlever/camphorlever/internal/rpc"
)

// Service is the net/rpc name of the service that routers call on each other.
const Service = "Entry"

// Timing of calls between routers.
const (
	// callTimeout bounds one call. It allows for several round trips within a
	// region.
	callTimeout = 120 * time.Millisecond
	// avoidPeriod is how long a peer is not called after a failed call.
	avoidPeriod = time.Second
)

// Client calls the other routers. It is safe for concurrent use.
type Client struct {
	peerSet  *PeerSet
	fleetKey string
	events   *counter.Set

	mu    sync.Mutex // guards conns and the avoidUntil of each
	conns map[string]*peerConn
}

// peerConn is the connection to one incarnation of a router.
type peerConn struct {
	member     Member
	client     rpc.Caller
	avoidUntil time.Time
}

// NewClient returns a client for the members of a peer set.
func NewClient(peerSet *PeerSet, fleetKey string) *Client {
	return &Client{peerSet: peerSet, fleetKey: fleetKey, events: counter.NewSet("peers"), conns: map[string]*peerConn{}}
}

// Fleet implements prepaid.Peers.
func (c *Client) Fleet() prepaid.Fleet { return c.peerSet.Fleet() }

// Borrow implements prepaid.Peers.
func (c *Client) Borrow(ctx context.Context, args prepaid.BorrowArgs, preferred []string, includeOthers bool, receive func(prepaid.BorrowReply) int64) (complete bool) {
	peers := c.reachable()
	complete = len(peers) == len(c.peerSet.Others())
	for _, peer := range borrowOrder(peers, preferred, includeOthers) {
		if args.Want <= 0 || ctx.Err() != nil {
			return false
		}
		var reply prepaid.BorrowReply
		if c.call(ctx, peer, "Lend", &args, &reply) != nil {
			complete = false
			continue
		}
		args.Free += args.Want
		args.Want = receive(reply)
		args.Free -= args.Want
	}
	return complete
}

// borrowOrder returns the preferred peers in their order, followed by the other
// peers if includeOthers is set.
func borrowOrder(peers []*peerConn, preferred []string, includeOthers bool) []*peerConn {
	var named, rest []*peerConn
	for _, name := range preferred {
		for _, peer := range peers {
			if peer.member.Node == name {
				named = append(named, peer)
			}
		}
	}
	if !includeOthers {
		return named
	}
	for _, peer := range peers {
		if !slices.Contains(preferred, peer.member.Node) {
			rest = append(rest, peer)
		}
	}
	return append(named, rest...)
}

// Transfer implements prepaid.Peers. It repeats the call to one peer until that
// answers or ctx ends. The totals are the same in each attempt, so the peer
// counts them once even if it receives them twice; another peer would count
// them again, so none is tried.
func (c *Client) Transfer(ctx context.Context, args prepaid.TransferArgs) error {
	peers := c.reachable()
	if len(peers) == 0 {
		return errors.New("no other router is reachable")
	}
	for {
		var reply struct{}
		err := c.call(ctx, peers[0], "Receive", &args, &reply)
		if err == nil || ctx.Err() != nil {
			return err
		}
	}
}

// call makes one call. A peer whose call fails is avoided for avoidPeriod.
func (c *Client) call(ctx context.Context, peer *peerConn, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := peer.client.Call(ctx, Service+"."+method, args, reply)
	if err == nil {
		c.events.Inc("answered")
		return nil
	}
	c.events.Inc("failed")
	c.mu.Lock()
	peer.avoidUntil = time.Now().Add(avoidPeriod)
	c.mu.Unlock()
	return errors.Wrapf(err, "call router %s", peer.member.Node)
}

// reachable returns the peers that are not avoided, ordered by the end of their
// last avoidance: those that never failed come first.
func (c *Client) reachable() []*peerConn {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateConns()
	var available []*peerConn
	for _, peer := range c.conns {
		if now.After(peer.avoidUntil) {
			available = append(available, peer)
		}
	}
	slices.SortFunc(available, func(a, b *peerConn) int { return a.avoidUntil.Compare(b.avoidUntil) })
	return available
}

// updateConns brings the connections in line with the peer set. The caller
// holds the lock.
func (c *Client) updateConns() {
	present := map[string]bool{}
	for _, m := range c.peerSet.Others() {
		present[m.Node] = true
		if conn := c.conns[m.Node]; conn != nil {
			if conn.member.Incarnation == m.Incarnation && conn.member.Address == m.Address {
				continue
			}
			_ = conn.client.Close() // the previous incarnation has ended
		}
		c.conns[m.Node] = &peerConn{member: m, client: rpc.NewClient(rpc.Options{Address: m.Address, Service: Service, FleetKey: c.fleetKey})}
	}
	for node, peer := range c.conns {
		if !present[node] {
			_ = peer.client.Close() // the router has left
			delete(c.conns, node)
		}
	}
}
