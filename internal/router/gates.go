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

// Limits of the control calls to gates.
const (
	sealAttempts = 3
	sealTimeout  = 2 * time.Second // of each attempt
	voidTimeout  = 3 * time.Second
	countTimeout = 500 * time.Millisecond
	loadTimeout  = 800 * time.Millisecond
)

// gates makes control calls to side processes.
type gates struct {
	offsets func() wire.Offsets
	dial    func(address string) rpc.Caller
	catchUp func(ctx context.Context, team ident.TeamID) error // with the team's ledger

	mu      sync.Mutex // guards callers
	callers map[relay.Peer]rpc.Caller
}

func newGates(offsets func() wire.Offsets, dial func(address string) rpc.Caller) *gates {
	return &gates{offsets: offsets, dial: dial, callers: map[relay.Peer]rpc.Caller{}}
}

func (g *gates) caller(t filter.Target) rpc.Caller {
	peer := relay.Peer{Gate: t.Gate, Address: t.Address}
	g.mu.Lock()
	defer g.mu.Unlock()
	c, ok := g.callers[peer]
	if !ok {
		c = g.dial(t.Address)
		g.callers[peer] = c
	}
	return c
}

// keep closes the connections to all peers but the given ones.
func (g *gates) keep(peers map[relay.Peer]bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for peer, c := range g.callers {
		if !peers[peer] {
			_ = c.Close() // the peer is gone; there is nobody to tell
			delete(g.callers, peer)
		}
	}
}

// SealKey implements stream.Gates. Sealing twice does no harm, so it is tried
// again on a new connection if no reply came.
func (g *gates) SealKey(ctx context.Context, t filter.Target, key ident.Key) (wire.SealKeyReply, error) {
	args := wire.SealKeyArgs{Offsets: g.offsets(), Gate: t.Gate, Key: key}
	var err error
	for range sealAttempts {
		var reply wire.SealKeyReply
		if err = g.call(ctx, t, sealTimeout, wire.MethodSideSealKey, &args, &reply); err == nil {
			return reply, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return wire.SealKeyReply{}, errors.Wrap(err, "seal key")
}

// WithdrawClaim implements once.Gates. The withdrawal is read here too before it counts,
// so that the old claim is not followed again.
func (g *gates) WithdrawClaim(ctx context.Context, t filter.Target, team ident.TeamID, key ident.Key) once.Withdrawal {
	args := wire.SealKeyArgs{Offsets: g.offsets(), Gate: t.Gate, Key: key, Void: team}
	var reply wire.SealKeyReply
	err := g.call(ctx, t, voidTimeout, wire.MethodSideSealKey, &args, &reply)
	unstarted := reply.Was == wire.KeyUnknown || reply.Was == wire.KeySealed
	if err != nil || reply.Gate != t.Gate || !unstarted {
		return once.Unconfirmed
	}
	ctx, cancel := context.WithTimeout(ctx, voidTimeout)
	defer cancel()
	if !reply.Voided || g.catchUp(ctx, team) != nil {
		return once.NotStarted
	}
	return once.Withdrawn
}

// Cancel implements stream.Gates.
func (g *gates) Cancel(ctx context.Context, t filter.Target, key ident.Key) error {
	args := wire.CancelArgs{Offsets: g.offsets(), Key: key}
	return g.caller(t).Call(ctx, wire.MethodSideCancel, &args, &wire.CancelReply{})
}

// Lookup implements key.Gates.
func (g *gates) Lookup(ctx context.Context, t filter.Target, key ident.Key) (wire.LookupReply, error) {
	args := wire.LookupArgs{Offsets: g.offsets(), Key: key}
	var reply wire.LookupReply
	err := g.caller(t).Call(ctx, wire.MethodSideLookup, &args, &reply)
	return reply, err
}

func (g *gates) count(ctx context.Context, t filter.Target, r *filter.Request) (int64, error) {
	args := wire.CountArgs{Offsets: g.offsets(), Model: r.Call.Model, Body: r.Call.Body}
	var reply wire.CountReply
	err := g.call(ctx, t, countTimeout, wire.MethodSideCount, &args, &reply)
	return reply.Tokens, err
}

func (g *gates) load(ctx context.Context, t filter.Target, known wire.CacheMark) (wire.LoadReply, error) {
	args := wire.LoadArgs{Offsets: g.offsets(), Known: known}
	var reply wire.LoadReply
	err := g.call(ctx, t, loadTimeout, wire.MethodSideLoad, &args, &reply)
	return reply, err
}

func (g *gates) call(ctx context.Context, t filter.Target, limit time.Duration, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return g.caller(t).Call(ctx, method, args, reply)
}

// tokenizer implements admit.Tokenizer by asking a home of the request's key.
type tokenizer struct {
	gates  *gates
	placer *placer
}

// Count returns false if none of them answers.
func (t *tokenizer) Count(ctx context.Context, r *filter.Request) (int64, bool) {
	for _, home := range t.placer.Owners(r) {
		if tokens, err := t.gates.count(ctx, home, r); err == nil && tokens > 0 {
			return tokens, true
		}
	}
	return 0, false
}

// report turns a side process's reply to a router with this mark into what
// the placement reads.
func report(known wire.CacheMark, l *wire.LoadReply) *placement.Report {
	return &placement.Report{
		Leaving: l.Leaving,
		Running: l.Running,
		Queued:  l.Queued,
		Slots:   l.Slots,
		Models:  l.Models,
		Since:   known,
		Changes: l.Changes,
	}
}
