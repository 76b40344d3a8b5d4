package router

import (
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/budget"
	"github.com/camphorlever/camphorlever/internal/node"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// errNotServing is the error of Borrow and Repay before the router is
// registered, and the reason why it is not ready until then.
var errNotServing = errors.New("router does not serve yet")

// Service contains the net/rpc methods of a router.
type Service struct {
	node.Service
	offsets func() wire.Offsets
	grants  *atomic.Pointer[budget.Grants]
}

// Borrow implements wire.MethodRouterBorrow.
func (s *Service) Borrow(args *wire.BorrowArgs, reply *wire.BorrowReply) error {
	grants := s.grants.Load()
	if grants == nil {
		return errNotServing
	}
	*reply = grants.Borrow(*args)
	reply.Offsets = s.offsets()
	return nil
}

// Repay implements wire.MethodRouterRepay.
func (s *Service) Repay(args *wire.RepayArgs, reply *wire.RepayReply) error {
	grants := s.grants.Load()
	if grants == nil {
		return errNotServing
	}
	grants.Repay(*args)
	reply.Offsets = s.offsets()
	return nil
}
