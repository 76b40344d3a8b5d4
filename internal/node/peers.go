package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/logservice"
	"github.com/camphorlever/camphorlever/internal/rpc"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// Times of the catch-up from peers.
const (
	peerInterval = 2 * time.Second
	peerTimeout  = 3 * time.Second
)

// peersAsked is how many peers are asked in one round.
const peersAsked = 2

var catchUps = counter.NewSet("peer_catch_up")

// peers keeps rpc clients of routers and takes their states while the log
// cannot be read.
type peers struct {
	node  *Node
	hurry *signal

	mu      sync.Mutex // guards clients
	clients map[string]rpc.Caller
}

func newPeers(n *Node) *peers {
	return &peers{node: n, hurry: newSignal(), clients: map[string]rpc.Caller{}}
}

// run asks peers while any stream cannot be followed, until ctx ends.
func (p *peers) run(ctx context.Context) {
	for pauseFor(ctx, peerInterval, p.hurry.wait()) {
		for name, f := range p.node.followers() {
			if f.SyncError() != nil {
				p.catchUp(ctx, name, f)
			}
		}
		// A hurried round is followed by a short rest, so that hints from
		// many peers do not make it spin.
		pauseFor(ctx, peerInterval/8, nil)
	}
}

// catchUp takes the state of a stream from a few random peers.
func (p *peers) catchUp(ctx context.Context, name logservice.Stream, f follower) {
	addresses := p.addresses()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	for _, address := range addresses[:min(len(addresses), peersAsked)] {
		p.ask(ctx, address, name, f)
	}
}

func (p *peers) ask(ctx context.Context, address string, name logservice.Stream, f follower) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	args := wire.StateArgs{Offsets: p.node.Offsets(), Stream: string(name), After: f.Offset()}
	var reply wire.StateReply
	if err := p.client(address, ServiceRouter).Call(ctx, wire.MethodRouterState, &args, &reply); err != nil {
		catchUps.Inc("failed")
		return
	}
	if reply.Offset == ident.NoOffset || len(reply.Checkpoint) == 0 {
		catchUps.Inc("nothing_newer")
		return
	}
	adopted, err := f.Adopt(reply.Checkpoint)
	switch {
	case err != nil:
		catchUps.Inc("not_understood")
	case adopted:
		catchUps.Inc("adopted")
		p.node.publish()
	default:
		catchUps.Inc("nothing_newer")
	}
}

// addresses lists the routers known from the settings file and the fleet.
func (p *peers) addresses() []string {
	own := p.node.options.Address
	addresses := slices.Clone(p.node.options.Peers)
	for _, router := range p.node.Members().Routers {
		addresses = append(addresses, router.Registration.Address)
	}
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	return slices.DeleteFunc(addresses, func(a string) bool { return a == own })
}

// client returns the client of a peer's service.
func (p *peers) client(address, service string) rpc.Caller {
	p.mu.Lock()
	defer p.mu.Unlock()
	id := service + "@" + address
	if c, ok := p.clients[id]; ok {
		return c
	}
	c := p.dial(address, service)
	p.clients[id] = c
	return c
}

func (p *peers) dial(address, service string) rpc.Caller {
	if dial := p.node.options.Dial; dial != nil {
		return dial(address, service)
	}
	return rpc.NewClient(rpc.Options{
		Address:  address,
		FleetKey: p.node.options.FleetKey,
		Service:  service,
		Offsets:  p.node.Offsets,
	})
}

func (p *peers) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, c := range p.clients {
		// The peer may be gone already; there is nothing left to do then.
		_ = c.Close()
		delete(p.clients, id)
	}
}
