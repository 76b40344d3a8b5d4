package control

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/camphorlever/camphorlever/internal/budget"
	"github.com/camphorlever/camphorlever/internal/fleet"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/memlog"
	"github.com/camphorlever/camphorlever/internal/node"
	"github.com/camphorlever/camphorlever/internal/record"
	"github.com/camphorlever/camphorlever/internal/rpc"
	"github.com/camphorlever/camphorlever/internal/side"
	"github.com/camphorlever/camphorlever/internal/vmlist"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// Shape of the clusters.
const (
	ledgerShards = 4
	dataCentres  = 3
	logDelay     = 5 * time.Millisecond // of each call to the log
	startTimeout = 30 * time.Second
	topUpTokens  = 1 << 40
	horizon      = 10 * time.Minute
)

// cluster is the control part of a deployment's processes.
type cluster struct {
	log     *memlog.Log
	nodes   []*node.Node
	routers []*router
	sides   []*worker
	cancel  context.CancelFunc
	work    conc.WaitGroup
}

type router struct {
	node   *node.Node
	grants *budget.Grants
}

type worker struct {
	node    *node.Node
	settler *side.Settler
	runs    uint64
}

// silentPeer stands for the catch-up from peers, which the log makes needless
// here.
type silentPeer struct{}

func (silentPeer) Call(context.Context, string, any, any) error { return rpc.ErrNotSent }
func (silentPeer) Close() error                                 { return nil }

func startCluster(ctx context.Context, d deployment) (*cluster, error) {
	c := &cluster{log: memlog.New()}
	c.log.SetDelay(logDelay)
	vms := vmlist.NewMemory()
	for i := range d.routers + d.workers {
		role := fleet.RoleSide
		if i < d.routers {
			role = fleet.RoleRouter
		}
		name := fmt.Sprintf("%d", i)
		vms.Put(vmlist.VM{ID: ident.VMID(name), State: vmlist.Live})
		c.nodes = append(c.nodes, node.New(node.Options{
			Role:         role,
			VM:           ident.VMID(name),
			DataCentre:   dataCentre(i),
			Address:      name,
			Server:       ident.ServerID(name),
			LedgerShards: ledgerShards,
			Dial:         func(string, string) rpc.Caller { return silentPeer{} },
		}, c.log, vms, zerolog.Nop()))
	}
	if err := c.startNodes(ctx); err != nil {
		c.stop()
		return nil, err
	}
	c.startParts(d)
	return c, nil
}

func dataCentre(i int) ident.DataCentreID {
	return ident.DataCentreID(fmt.Sprintf("dc-%d", i%dataCentres))
}

func (c *cluster) startNodes(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, n := range c.nodes {
		if err := n.Start(ctx); err != nil {
			return errors.Wrap(err, "start a node")
		}
	}
	return nil
}

// startParts starts the grants of the routers and the settlers of the sides.
func (c *cluster) startParts(d deployment) {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	for i, n := range c.nodes {
		if i >= d.routers {
			w := &worker{node: n, settler: side.NewSettler(n.Ledger(), func() int { return len(n.Members().Sides) }, zerolog.Nop())}
			c.sides = append(c.sides, w)
			c.work.Go(func() { w.settler.Run(ctx) })
			continue
		}
		r := &router{node: n}
		r.grants = budget.New(budget.Config{
			Self:       n.Incarnation(),
			DataCentre: dataCentre(i),
			Ledger:     n.Ledger(),
			Fleet:      members{n},
			Peers:      lenders{c},
			Policy:     func(ident.TeamID) budget.Policy { return budget.Policy{Horizon: horizon} },
			Logger:     zerolog.Nop(),
		})
		c.routers = append(c.routers, r)
		c.work.Go(func() { r.grants.Run(ctx) })
	}
}

func (c *cluster) stop() {
	if c.cancel != nil {
		c.cancel()
	}
	for _, r := range c.routers {
		r.grants.Close()
	}
	c.work.Wait()
	for _, n := range c.nodes {
		n.Abandon()
	}
}

// topUp pays for a team.
func (c *cluster) topUp(ctx context.Context, team ident.TeamID) error {
	r, err := record.New(ledger.KindTopUp, ledger.TopUp{Team: team, ID: "1", Tokens: topUpTokens})
	if err != nil {
		return err
	}
	_, err = c.nodes[0].Ledger().Submit(ctx, team, r)
	return err
}

// members tells the grants of the other routers.
type members struct {
	node *node.Node
}

func (m members) Routers() []budget.Router {
	var routers []budget.Router
	for _, r := range m.node.Members().Routers {
		routers = append(routers, budget.Router{Incarnation: r.Incarnation, DataCentre: r.Registration.DataCentre})
	}
	return routers
}

func (m members) Sealed(i ident.Incarnation) bool { return m.node.Members().Sealed(i) }
func (m members) Closed(i ident.Incarnation) bool { return m.node.Members().Closed(i) }

// lenders calls the other routers' grants in memory.
type lenders struct {
	cluster *cluster
}

func (l lenders) of(lender ident.Incarnation) *budget.Grants {
	for _, r := range l.cluster.routers {
		if r.node.Incarnation() == lender {
			return r.grants
		}
	}
	return nil
}

func (l lenders) Borrow(_ context.Context, lender ident.Incarnation, args wire.BorrowArgs) (wire.BorrowReply, error) {
	if grants := l.of(lender); grants != nil {
		return grants.Borrow(args), nil
	}
	return wire.BorrowReply{}, rpc.ErrNotSent
}

func (l lenders) Repay(_ context.Context, lender ident.Incarnation, args wire.RepayArgs) (wire.RepayReply, error) {
	if grants := l.of(lender); grants != nil {
		grants.Repay(args)
		return wire.RepayReply{}, nil
	}
	return wire.RepayReply{}, rpc.ErrNotSent
}
