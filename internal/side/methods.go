package side

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/gate"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/node"
	"github.com/camphorlever/camphorlever/internal/record"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// PromptCounter counts prompt tokens at the engine.
type PromptCounter interface {
	CountPromptTokens(ctx context.Context, body []byte) (int64, error)
}

// LoadSource tells what the side process knows of its backend server, and of
// its prefix cache what changed since a mark.
type LoadSource interface {
	Load(known wire.CacheMark) wire.LoadReply
}

// Leaver starts the graceful stop of this side process.
type Leaver interface {
	Leave(reason string)
}

// Methods are the control methods that routers call by net/rpc.
type Methods struct {
	node.Service // Ping and State
	gate         *gate.Gate
	fleet        Fleet
	counter      PromptCounter
	loads        LoadSource
	leaver       Leaver
	claims       TeamLedger
}

// TeamLedger writes records of one team to the ledger.
type TeamLedger interface {
	// Submit returns the fold's verdicts after the records were read back.
	Submit(ctx context.Context, team ident.TeamID, records ...record.Record) ([]ledger.Verdict, error)
}

// voidTimeout bounds the wait for the withdrawal of a claim.
const voidTimeout = 2 * time.Second

// SealKey is wire.MethodSideSealKey. A caller that means another incarnation
// learns the own one, and nothing is sealed.
func (m *Methods) SealKey(args *wire.SealKeyArgs, reply *wire.SealKeyReply) error {
	reply.Offsets = m.fleet.Offsets()
	reply.Gate = m.gate.Incarnation()
	if args.Gate != reply.Gate {
		return nil
	}
	reply.Was = m.gate.SealKey(args.Key)
	unstarted := reply.Was == wire.KeyUnknown || reply.Was == wire.KeySealed
	if args.Void != "" && unstarted {
		reply.Voided = m.void(args.Void, args.Key)
	}
	return nil
}

// void withdraws the claim of a sealed key that has not started, and reports
// whether it is known to be withdrawn.
func (m *Methods) void(team ident.TeamID, key ident.Key) bool {
	r, err := record.New(ledger.KindWithdrawClaim, ledger.WithdrawClaim{Team: team, Key: key})
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), voidTimeout)
	defer cancel()
	verdicts, err := m.claims.Submit(ctx, team, r)
	return err == nil && len(verdicts) == 1 && verdicts[0].Outcome == ledger.Accepted
}

// Lookup is wire.MethodSideLookup.
func (m *Methods) Lookup(args *wire.LookupArgs, reply *wire.LookupReply) error {
	reply.Offsets = m.fleet.Offsets()
	reply.Gate = m.gate.Incarnation()
	reply.State, reply.Run = m.gate.Lookup(args.Key)
	return nil
}

// Cancel is wire.MethodSideCancel.
func (m *Methods) Cancel(args *wire.CancelArgs, reply *wire.CancelReply) error {
	reply.Offsets = m.fleet.Offsets()
	m.gate.Cancel(args.Key)
	return nil
}

// Load is wire.MethodSideLoad.
func (m *Methods) Load(args *wire.LoadArgs, reply *wire.LoadReply) error {
	*reply = m.loads.Load(args.Known)
	reply.Offsets = m.fleet.Offsets()
	reply.Gate = m.gate.Incarnation()
	reply.Leaving = m.gate.Leaving()
	return nil
}

// Count is wire.MethodSideCount.
func (m *Methods) Count(args *wire.CountArgs, reply *wire.CountReply) error {
	tokens, err := m.counter.CountPromptTokens(context.Background(), args.Body)
	if err != nil {
		return errors.Wrap(err, "count prompt tokens")
	}
	reply.Offsets = m.fleet.Offsets()
	reply.Tokens = tokens
	return nil
}

// Leave is wire.MethodSideLeave.
func (m *Methods) Leave(args *wire.LeaveArgs, reply *wire.LeaveReply) error {
	m.leaver.Leave("order of operator " + string(args.Author))
	reply.Offsets = m.fleet.Offsets()
	reply.Running = m.gate.Running()
	return nil
}
