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

// routers calls the other routers.
type routers struct {
	members func() *fleet.View
	offsets func() wire.Offsets
	dial    func(address string) rpc.Caller

	mu      sync.Mutex // guards callers
	callers map[string]rpc.Caller
}

// Borrow implements budget.Peers.
func (p *routers) Borrow(ctx context.Context, lender ident.Incarnation, args wire.BorrowArgs) (wire.BorrowReply, error) {
	args.Offsets = p.offsets()
	var reply wire.BorrowReply
	err := p.call(ctx, lender, wire.MethodRouterBorrow, &args, &reply)
	return reply, err
}

// Repay implements budget.Peers.
func (p *routers) Repay(ctx context.Context, lender ident.Incarnation, args wire.RepayArgs) (wire.RepayReply, error) {
	args.Offsets = p.offsets()
	var reply wire.RepayReply
	err := p.call(ctx, lender, wire.MethodRouterRepay, &args, &reply)
	return reply, err
}

func (p *routers) call(ctx context.Context, router ident.Incarnation, method string, args, reply any) error {
	m, ok := p.members().Member(router)
	if !ok {
		return errors.Wrapf(rpc.ErrNotSent, "router %d is not registered", router)
	}
	return p.caller(m.Registration.Address).Call(ctx, method, args, reply)
}

func (p *routers) caller(address string) rpc.Caller {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.callers[address]
	if !ok {
		c = p.dial(address)
		p.callers[address] = c
	}
	return c
}

// keep closes the connections to routers that are gone.
func (p *routers) keep() {
	live := map[string]bool{}
	for _, m := range p.members().Routers {
		live[m.Registration.Address] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, c := range p.callers {
		if !live[address] {
			_ = c.Close() // the peer is gone; there is nobody to tell
			delete(p.callers, address)
		}
	}
}
