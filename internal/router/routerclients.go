package router

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/fleet"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/rpc"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// routerClients calls the other routers. It keeps one RPC client per address.
type routerClients struct {
	members func() *fleet.View
	offsets func() wire.Offsets
	dial    func(address string) rpc.Caller

	mu      sync.Mutex // guards clients
	clients map[string]rpc.Caller
}

// Borrow implements budget.Peers. rpc.ErrNotSent means that the lender is not
// registered or was not reached.
func (p *routerClients) Borrow(ctx context.Context, lender ident.Incarnation, args wire.BorrowArgs) (wire.BorrowReply, error) {
	args.Offsets = p.offsets()
	var reply wire.BorrowReply
	err := p.call(ctx, lender, wire.MethodRouterBorrow, &args, &reply)
	return reply, err
}

// Repay implements budget.Peers. The errors are those of Borrow.
func (p *routerClients) Repay(ctx context.Context, lender ident.Incarnation, args wire.RepayArgs) (wire.RepayReply, error) {
	args.Offsets = p.offsets()
	var reply wire.RepayReply
	err := p.call(ctx, lender, wire.MethodRouterRepay, &args, &reply)
	return reply, err
}

func (p *routerClients) call(ctx context.Context, router ident.Incarnation, method string, args, reply any) error {
	m, ok := p.members().Member(router)
	if !ok {
		return errors.Wrapf(rpc.ErrNotSent, "router %d is not registered", router)
	}
	return p.client(m.Registration.Address).Call(ctx, method, args, reply)
}

// client returns the RPC client for an address and creates it if necessary.
func (p *routerClients) client(address string) rpc.Caller {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.clients[address]
	if !ok {
		c = p.dial(address)
		p.clients[address] = c
	}
	return c
}

// closeRemoved closes the clients of routers that have left the fleet.
func (p *routerClients) closeRemoved() {
	live := map[string]bool{}
	for _, m := range p.members().Routers {
		live[m.Registration.Address] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, c := range p.clients {
		if !live[address] {
			_ = c.Close() // the peer has left the fleet, so an error has no effect
			delete(p.clients, address)
		}
	}
}
