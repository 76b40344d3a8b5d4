package peers

import (
	"context"
	netrpc "net/rpc"
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

	mu    sync.Mutex // guards conns, and avoidUntil and unanswered of each
	conns map[string]*peerConn
}

// peerConn is the connection to one incarnation of a router.
type peerConn struct {
	member     Member
	client     rpc.Caller
	avoidUntil time.Time
	unanswered map[string]struct{} // accounts of loans whose replies may have been lost
}

// NewClient returns a client for the members of a peer set.
func NewClient(peerSet *PeerSet, fleetKey string) *Client {
	return &Client{peerSet: peerSet, fleetKey: fleetKey, events: counter.NewSet("peers"), conns: map[string]*peerConn{}}
}

// Fleet implements prepaid.Peers.
func (c *Client) Fleet() prepaid.Fleet { return c.peerSet.Fleet() }

// Unreachable implements prepaid.Peers.
func (c *Client) Unreachable(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateConns()
	peer := c.conns[name]
	return peer == nil || peer.unlessAvoided(time.Now()) == nil
}

// Borrow implements prepaid.Peers.
func (c *Client) Borrow(ctx context.Context, args prepaid.BorrowArgs, first []string, others bool, receive func(prepaid.BorrowReply) int64) (complete bool) {
	complete = true
	for _, peer := range c.callOrder(first, others) {
		if args.Want <= 0 || ctx.Err() != nil {
			return false
		}
		var reply prepaid.BorrowReply
		if peer == nil || c.lend(ctx, peer, &args, &reply) != nil {
			complete = false
			continue
		}
		args.Free += args.Want
		more := receive(reply)
		args.Need -= args.Want - more
		args.Want = more
		args.Free -= more
	}
	return complete
}

// lend asks a peer for a loan, and keeps in mind whether its reply may have been lost.
func (c *Client) lend(ctx context.Context, peer *peerConn, args *prepaid.BorrowArgs, reply *prepaid.BorrowReply) error {
	err := c.call(ctx, peer, "Lend", args, reply)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err == nil:
		delete(peer.unanswered, args.Account)
	case !errors.Is(err, rpc.ErrNotSent):
		peer.unanswered[args.Account] = struct{}{}
	}
	return err
}

// Reclaim implements prepaid.Peers.
func (c *Client) Reclaim(ctx context.Context, borrower string, receive func(account string, reply prepaid.BorrowReply)) {
	for _, loan := range c.unansweredLoans() {
		if ctx.Err() != nil {
			return
		}
		var reply prepaid.BorrowReply
		if c.lend(ctx, loan.peer, &prepaid.BorrowArgs{Borrower: borrower, Account: loan.account}, &reply) == nil {
			receive(loan.account, reply)
		}
	}
}

// unansweredLoan is a call for a loan whose reply may have been lost.
type unansweredLoan struct {
	peer    *peerConn
	account string
}

// unansweredLoans returns those of the peers that are not avoided.
func (c *Client) unansweredLoans() []unansweredLoan {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var loans []unansweredLoan
	for _, peer := range c.conns {
		if peer.unlessAvoided(now) == nil {
			continue
		}
		for account := range peer.unanswered {
			loans = append(loans, unansweredLoan{peer: peer, account: account})
		}
	}
	return loans
}

// maxOthers bounds how many routers that were not named are asked in turn. Each
// holds little, and a request can't wait for hundreds of calls.
const maxOthers = 16

// callOrder returns the named peers in their order, followed by up to maxOthers of
// the others if those are included. A peer that is avoided is nil.
func (c *Client) callOrder(first []string, others bool) []*peerConn {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateConns()
	order := make([]*peerConn, 0, len(first)+maxOthers)
	for _, name := range first {
		if peer := c.conns[name]; peer != nil {
			order = append(order, peer.unlessAvoided(now))
		}
	}
	if !others {
		return order
	}
	var rest []*peerConn
	for name, peer := range c.conns {
		if !slices.Contains(first, name) {
			rest = append(rest, peer)
		}
	}
	// Those that never failed, or not for the longest time, come first. The order
	// among equals is random.
	slices.SortStableFunc(rest, func(a, b *peerConn) int { return a.avoidUntil.Compare(b.avoidUntil) })
	for _, peer := range rest[:min(len(rest), maxOthers)] {
		order = append(order, peer.unlessAvoided(now))
	}
	return order
}

// unlessAvoided returns nil for a peer that is avoided. The caller holds the
// client's lock.
func (p *peerConn) unlessAvoided(now time.Time) *peerConn {
	if now.Before(p.avoidUntil) {
		return nil
	}
	return p
}

// Transfer implements prepaid.Peers. It repeats the call to one peer until that
// answers or ctx ends. The totals are the same in each attempt, so the peer
// counts them once even if it receives them twice; another peer would count
// them again, so none is tried.
func (c *Client) Transfer(ctx context.Context, first []string, others bool, args func(receiver string) prepaid.TransferArgs) (sent bool, err error) {
	order := slices.DeleteFunc(c.callOrder(first, others), func(peer *peerConn) bool { return peer == nil })
	if len(order) == 0 {
		return false, nil
	}
	totals := args(order[0].member.Incarnation)
	for {
		var reply struct{}
		err := c.call(ctx, order[0], "Receive", &totals, &reply)
		var refused netrpc.ServerError
		if err == nil || ctx.Err() != nil || errors.As(err, &refused) {
			return true, err
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
		c.conns[m.Node] = &peerConn{member: m, unanswered: map[string]struct{}{}, client: rpc.NewClient(rpc.Options{Address: m.Address, FleetKey: c.fleetKey})}
	}
	for node, peer := range c.conns {
		if !present[node] {
			_ = peer.client.Close() // the router has left
			delete(c.conns, node)
		}
	}
}
