package router

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/filter/once"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/placement"
	"github.com/camphorlever/camphorlever/internal/relay"
	"github.com/camphorlever/camphorlever/internal/rpc"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// Limits of the control calls to gates; the timeouts apply to each call.
const (
	sealAttempts    = 3
	sealTimeout     = 2 * time.Second // per attempt
	withdrawTimeout = 3 * time.Second // of the call, and again of the catch-up after it
	countTimeout    = 500 * time.Millisecond
	loadTimeout     = 800 * time.Millisecond
)

// gateClients makes control calls to side processes. It keeps one RPC client per
// incarnation and address.
type gateClients struct {
	offsets func() wire.Offsets
	dial    func(address string) rpc.Caller
	catchUp func(ctx context.Context, team ident.TeamID) error // reads the team's ledger up to its present end

	mu      sync.Mutex // guards clients
	clients map[relay.Peer]rpc.Caller
}

func newGateClients(offsets func() wire.Offsets, dial func(address string) rpc.Caller) *gateClients {
	return &gateClients{offsets: offsets, dial: dial, clients: map[relay.Peer]rpc.Caller{}}
}

// client returns the RPC client of a gate and creates it if necessary.
func (g *gateClients) client(t filter.Target) rpc.Caller {
	peer := relay.Peer{Gate: t.Gate, Address: t.Address}
	g.mu.Lock()
	defer g.mu.Unlock()
	c, ok := g.clients[peer]
	if !ok {
		c = g.dial(t.Address)
		g.clients[peer] = c
	}
	return c
}

// retainPeers closes the clients of all peers that are not in the set.
func (g *gateClients) retainPeers(peers map[relay.Peer]bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for peer, c := range g.clients {
		if !peers[peer] {
			_ = c.Close() // the peer has left the fleet, so an error has no effect
			delete(g.clients, peer)
		}
	}
}

// SealKey implements stream.Gates. Sealing is idempotent, so a call without a
// reply is repeated on a new connection.
func (g *gateClients) SealKey(ctx context.Context, t filter.Target, key ident.Key) (wire.SealKeyReply, error) {
	args := wire.SealKeyArgs{Offsets: g.offsets(), Gate: t.Gate, Key: key}
	var err error
	for range sealAttempts {
		var reply wire.SealKeyReply
		if err = g.callWithTimeout(ctx, t, sealTimeout, wire.MethodSideSealKey, &args, &reply); err == nil {
			return reply, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return wire.SealKeyReply{}, errors.Wrap(err, "seal key")
}

// WithdrawClaim implements once.Gates. It reports a withdrawal only after this
// router has read it from the ledger too: otherwise a retry would see the old
// claim and go to the same gate again.
func (g *gateClients) WithdrawClaim(ctx context.Context, t filter.Target, team ident.TeamID, key ident.Key) once.Withdrawal {
	args := wire.SealKeyArgs{Offsets: g.offsets(), Gate: t.Gate, Key: key, Void: team}
	var reply wire.SealKeyReply
	err := g.callWithTimeout(ctx, t, withdrawTimeout, wire.MethodSideSealKey, &args, &reply)
	notStarted := reply.Was == wire.KeyUnknown || reply.Was == wire.KeySealed
	if err != nil || reply.Gate != t.Gate || !notStarted {
		return once.Unconfirmed
	}
	ctx, cancel := context.WithTimeout(ctx, withdrawTimeout)
	defer cancel()
	if !reply.Voided || g.catchUp(ctx, team) != nil {
		return once.NotStarted
	}
	return once.Withdrawn
}

// Cancel implements stream.Gates.
func (g *gateClients) Cancel(ctx context.Context, t filter.Target, key ident.Key) error {
	args := wire.CancelArgs{Offsets: g.offsets(), Key: key}
	return g.client(t).Call(ctx, wire.MethodSideCancel, &args, &wire.CancelReply{})
}

// Lookup implements key.Gates.
func (g *gateClients) Lookup(ctx context.Context, t filter.Target, key ident.Key) (wire.LookupReply, error) {
	args := wire.LookupArgs{Offsets: g.offsets(), Key: key}
	var reply wire.LookupReply
	err := g.client(t).Call(ctx, wire.MethodSideLookup, &args, &reply)
	return reply, err
}

// countTokens asks a gate for the exact number of prompt tokens.
func (g *gateClients) countTokens(ctx context.Context, t filter.Target, r *filter.Request) (int64, error) {
	args := wire.CountArgs{Offsets: g.offsets(), Model: r.Call.Model, Body: r.Call.Body}
	var reply wire.CountReply
	err := g.callWithTimeout(ctx, t, countTimeout, wire.MethodSideCount, &args, &reply)
	return reply.Tokens, err
}

// loadReport asks a gate for its load and for the changes of its prefix cache
// since a mark.
func (g *gateClients) loadReport(ctx context.Context, t filter.Target, since wire.CacheMark) (wire.LoadReply, error) {
	args := wire.LoadArgs{Offsets: g.offsets(), Known: since}
	var reply wire.LoadReply
	err := g.callWithTimeout(ctx, t, loadTimeout, wire.MethodSideLoad, &args, &reply)
	return reply, err
}

func (g *gateClients) callWithTimeout(ctx context.Context, t filter.Target, timeout time.Duration, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return g.client(t).Call(ctx, method, args, reply)
}

// tokenizer implements admit.Tokenizer by asking the owner gates of the
// request's key in turn.
type tokenizer struct {
	gates  *gateClients
	placer *placer
}

// Count implements admit.Tokenizer. It returns false if no owner gate returns a
// count.
func (t *tokenizer) Count(ctx context.Context, r *filter.Request) (int64, bool) {
	for _, owner := range t.placer.Owners(r) {
		if tokens, err := t.gates.countTokens(ctx, owner, r); err == nil && tokens > 0 {
			return tokens, true
		}
	}
	return 0, false
}

// placementReport converts the reply to a load poll. since is the cache mark
// that the poll sent.
func placementReport(since wire.CacheMark, reply *wire.LoadReply) *placement.Report {
	return &placement.Report{
		Leaving: reply.Leaving,
		Running: reply.Running,
		Queued:  reply.Queued,
		Slots:   reply.Slots,
		Models:  reply.Models,
		Since:   since,
		Changes: reply.Changes,
	}
}
