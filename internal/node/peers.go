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
	"github.com/camphorlever/camphorlever/internal/stream"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// Timing of the catch-up from peers.
const (
	catchUpInterval = 2 * time.Second
	catchUpTimeout  = 3 * time.Second
)

// peersPerRound is how many peers are asked per stream in one round.
const peersPerRound = 2

var catchUps = counter.NewSet("peer_catch_up")

// peerSync adopts stream states of other routers while the log cannot be read,
// and keeps the rpc clients for it.
type peerSync struct {
	node   *Node
	wakeup *signal

	mu      sync.Mutex // guards clients
	clients map[string]rpc.Caller
}

func newPeerSync(n *Node) *peerSync {
	return &peerSync{node: n, wakeup: newSignal(), clients: map[string]rpc.Caller{}}
}

// run catches up from peers while any stream cannot be read from the log, until
// ctx ends.
func (p *peerSync) run(ctx context.Context) {
	for pauseFor(ctx, catchUpInterval, p.wakeup.wait()) {
		for name, f := range p.node.followers() {
			if f.SyncError() != nil {
				p.catchUp(ctx, name, f)
			}
		}
		// A short pause after each round keeps frequent wakeups by many peers
		// from causing a busy loop.
		pauseFor(ctx, catchUpInterval/8, nil)
	}
}

// catchUp fetches the state of a stream from peersPerRound random peers.
func (p *peerSync) catchUp(ctx context.Context, name logservice.Stream, f streamFollower) {
	addresses := p.addresses()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	for _, address := range addresses[:min(len(addresses), peersPerRound)] {
		p.fetchState(ctx, address, name, f)
	}
}

func (p *peerSync) fetchState(ctx context.Context, address string, name logservice.Stream, f streamFollower) {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
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
	adopted, err := f.Adopt(stream.Snapshot{
		Era:      logservice.Era(reply.Era),
		Complete: reply.Complete,
		Offset:   reply.Offset,
		State:    reply.Checkpoint,
	})
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

// addresses returns the addresses of the other routers, from the options and
// from the fleet membership.
func (p *peerSync) addresses() []string {
	own := p.node.options.Address
	addresses := slices.Clone(p.node.options.Peers)
	for _, router := range p.node.Members().Routers {
		addresses = append(addresses, router.Registration.Address)
	}
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	return slices.DeleteFunc(addresses, func(a string) bool { return a == own })
}

// client returns the cached client of a peer's service, or dials a new one.
func (p *peerSync) client(address, service string) rpc.Caller {
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

func (p *peerSync) dial(address, service string) rpc.Caller {
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

func (p *peerSync) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, c := range p.clients {
		// A close error needs no handling: the peer may have stopped already.
		_ = c.Close()
		delete(p.clients, id)
	}
}
