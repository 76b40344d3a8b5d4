package router

import (
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/budget"
	"github.com/camphorlever/camphorlever/internal/node"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// errNotServing is the reply to loans before the router is registered.
var errNotServing = errors.New("router does not serve yet")

// Service holds the net/rpc methods of a router.
type Service struct {
	node.Service
	offsets func() wire.Offsets
	grants  *atomic.Pointer[budget.Grants]
}

// Borrow is wire.MethodRouterBorrow.
func (s *Service) Borrow(args *wire.BorrowArgs, reply *wire.BorrowReply) error {
	grants := s.grants.Load()
	if grants == nil {
		return errNotServing
	}
	*reply = grants.Borrow(*args)
	reply.Offsets = s.offsets()
	return nil
}

// Repay is wire.MethodRouterRepay.
func (s *Service) Repay(args *wire.RepayArgs, reply *wire.RepayReply) error {
	grants := s.grants.Load()
	if grants == nil {
		return errNotServing
	}
	grants.Repay(*args)
	reply.Offsets = s.offsets()
	return nil
}
