package peers

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/camphorlever/camphorlever/internal/prepaid"
)

// LedgerKeeper has a copy of the ledger.
type LedgerKeeper interface {
	LedgerCopy(args prepaid.CopyArgs) (prepaid.CopyReply, error)
	Witness(args prepaid.WitnessArgs) (prepaid.WitnessReply, error)
}

var errNoLedger = errors.New("router has no ledger")

// ServeLedger has the methods share a copy of the ledger. It must be called before the
// methods are served.
func (m *Methods) ServeLedger(ledger LedgerKeeper) { m.ledger = ledger }

// LedgerCopy returns this router's copy of the entries of a shard.
func (m *Methods) LedgerCopy(args *prepaid.CopyArgs, reply *prepaid.CopyReply) error {
	return contained(func() (err error) {
		if m.ledger == nil {
			return errNoLedger
		}
		*reply, err = m.ledger.LedgerCopy(*args)
		return err
	})
}

// Witness records entries that the calling router has written.
func (m *Methods) Witness(args *prepaid.WitnessArgs, reply *prepaid.WitnessReply) error {
	return contained(func() (err error) {
		if m.ledger == nil {
			return errNoLedger
		}
		*reply, err = m.ledger.Witness(*args)
		return err
	})
}

// copyTimeout bounds one request for a copy of the ledger, which may be some hundred
// kilobytes on a slow link.
const copyTimeout = 600 * time.Millisecond

// Copies implements prepaid.Peers. It also asks routers that did not answer other calls
// recently, since tokens may only be drawn once all have answered.
func (c *Client) Copies(ctx context.Context, names []string, args prepaid.CopyArgs, receive func(name string, reply prepaid.CopyReply)) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	var calls conc.WaitGroup
	var mu sync.Mutex // serializes the calls of receive
	for _, peer := range c.named(names) {
		calls.Go(func() {
			var reply prepaid.CopyReply
			if err := peer.client.Call(ctx, Service+".LedgerCopy", &args, &reply); err != nil {
				c.events.Inc("copy_failed")
				return
			}
			mu.Lock()
			defer mu.Unlock()
			receive(peer.member.Node, reply)
		})
	}
	calls.Wait()
}

// Witness implements prepaid.Peers. It also calls routers that did not answer recently. The
// calls that are still in progress when it returns go on.
func (c *Client) Witness(ctx context.Context, names []string, args prepaid.WitnessArgs) (prepaid.WitnessReply, bool) {
	ctx = context.WithoutCancel(ctx) // each call has a timeout of its own
	order := c.named(names)
	replies := make(chan *prepaid.WitnessReply, len(order)) // nil after a failed call
	for _, peer := range order {
		go func() {
			reply := &prepaid.WitnessReply{}
			if c.call(ctx, peer, "Witness", &args, reply) != nil {
				reply = nil
			}
			replies <- reply
		}()
	}
	for range order {
		if reply := <-replies; reply != nil {
			return *reply, true
		}
	}
	return prepaid.WitnessReply{}, false
}

// named returns the routers with the given names, as far as they are known.
func (c *Client) named(names []string) []*peerConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateConns()
	found := make([]*peerConn, 0, len(names))
	for _, name := range names {
		if peer := c.conns[name]; peer != nil {
			found = append(found, peer)
		}
	}
	return found
}
