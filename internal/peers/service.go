package peers

import (
	"github.com/camphorlever/camphorlever/internal/prepaid"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// Lender gives tokens to other routers and takes them.
type Lender interface {
	Lend(args prepaid.BorrowArgs) prepaid.BorrowReply
	Receive(args prepaid.TransferArgs)
}

// Methods are what other routers call, by net/rpc.
type Methods struct {
	lender Lender
}

// NewMethods returns the methods of a router.
func NewMethods(lender Lender) *Methods {
	return &Methods{lender: lender}
}

// Lend hands tokens of an account over. They leave this router's hand before
// the reply is sent; the next reply makes up for one that is lost.
func (m *Methods) Lend(args *prepaid.BorrowArgs, reply *prepaid.BorrowReply) error {
	*reply = m.lender.Lend(*args)
	return nil
}

// Receive takes over the tokens of a router that stops.
func (m *Methods) Receive(args *prepaid.TransferArgs, _ *struct{}) error {
	m.lender.Receive(*args)
	return nil
}

// Ping answers the heartbeat of a connection.
func (*Methods) Ping(*wire.PingArgs, *wire.PingReply) error {
	return nil
}
