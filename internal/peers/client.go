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

// Service is the name under which a router's methods are called.
const Service = "Entry"

// Times of calls between routers.
const (
	// callTimeout bounds one call: several round trips within a region.
	callTimeout = 120 * time.Millisecond
	// avoidFor is how long a peer that did not answer is not asked.
	avoidFor = time.Second
)

// Client calls the other routers. It is safe for concurrent use.
type Client struct {
	roster   *PeerSet
	fleetKey string
	events   *counter.Set

	mu     sync.Mutex // guards the map
	callee map[string]*callee
}

// callee is the way to one life of a router.
type callee struct {
	member Member
	caller rpc.Caller
	avoid  time.Time
}

// NewClient returns a client for the members of a roster.
func NewClient(roster *PeerSet, fleetKey string) *Client {
	return &Client{roster: roster, fleetKey: fleetKey, events: counter.NewSet("peers"), callee: map[string]*callee{}}
}

// Fleet implements prepaid.Peers.
func (c *Client) Fleet() prepaid.Fleet { return c.roster.Fleet() }

// Borrow implements prepaid.Peers.
func (c *Client) Borrow(ctx context.Context, args prepaid.BorrowArgs, first []string, all bool, take func(prepaid.BorrowReply) int64) (complete bool) {
	peers := c.reachable()
	complete = len(peers) == len(c.roster.Others())
	for _, peer := range inOrder(peers, first, all) {
		if args.Want <= 0 || ctx.Err() != nil {
			return false
		}
		var reply prepaid.BorrowReply
		if c.call(ctx, peer, "Lend", &args, &reply) != nil {
			complete = false
			continue
		}
		args.Free += args.Want
		args.Want = take(reply)
		args.Free -= args.Want
	}
	return complete
}

// inOrder puts the peers that are named first; without all the others are left
// out.
func inOrder(peers []*callee, first []string, all bool) []*callee {
	var named, rest []*callee
	for _, name := range first {
		for _, peer := range peers {
			if peer.member.Node == name {
				named = append(named, peer)
			}
		}
	}
	if !all {
		return named
	}
	for _, peer := range peers {
		if !slices.Contains(first, peer.member.Node) {
			rest = append(rest, peer)
		}
	}
	return append(named, rest...)
}

// Transfer implements prepaid.Peers. The totals are the same at each try, so a
// router that gets them twice takes them once; but only one router may be
// asked.
func (c *Client) Transfer(ctx context.Context, args prepaid.TransferArgs) error {
	peers := c.reachable()
	if len(peers) == 0 {
		return errors.New("no router can be reached")
	}
	for {
		var none struct{}
		err := c.call(ctx, peers[0], "Receive", &args, &none)
		if err == nil || ctx.Err() != nil {
			return err
		}
	}
}

// call makes one call; a peer that does not answer is avoided for a while.
func (c *Client) call(ctx context.Context, peer *callee, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := peer.caller.Call(ctx, Service+"."+method, args, reply)
	if err == nil {
		c.events.Inc("answered")
		return nil
	}
	c.events.Inc("failed")
	c.mu.Lock()
	peer.avoid = time.Now().Add(avoidFor)
	c.mu.Unlock()
	return errors.Wrapf(err, "call router %s", peer.member.Node)
}

// reachable lists the peers that are not avoided, sorted by name so that all
// routers ask in different orders only by whom they leave out.
func (c *Client) reachable() []*callee {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refresh()
	var list []*callee
	for _, peer := range c.callee {
		if now.After(peer.avoid) {
			list = append(list, peer)
		}
	}
	slices.SortFunc(list, func(a, b *callee) int { return a.avoid.Compare(b.avoid) })
	return list
}

// refresh follows the roster. The lock is held.
func (c *Client) refresh() {
	present := map[string]bool{}
	for _, m := range c.roster.Others() {
		present[m.Node] = true
		if known := c.callee[m.Node]; known != nil {
			if known.member.Incarnation == m.Incarnation && known.member.Address == m.Address {
				continue
			}
			_ = known.caller.Close() // that life is over
		}
		c.callee[m.Node] = &callee{member: m, caller: rpc.NewClient(rpc.Options{Address: m.Address, Service: Service, FleetKey: c.fleetKey})}
	}
	for node, peer := range c.callee {
		if !present[node] {
			_ = peer.caller.Close() // it has left
			delete(c.callee, node)
		}
	}
}
