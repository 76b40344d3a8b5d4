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

// Tokenizer counts the prompt tokens of a request body.
type Tokenizer interface {
	CountPromptTokens(ctx context.Context, body []byte) (int64, error)
}

// LoadSource reports the last known load of the backend server, and the changes
// to its prefix cache since the mark that the caller knows.
type LoadSource interface {
	Load(known wire.CacheMark) wire.LoadReply
}

// Leaver starts the graceful stop of this side process.
type Leaver interface {
	Leave(reason string)
}

// Methods implements the control methods that routers call by net/rpc.
type Methods struct {
	node.Service // provides Ping and State
	gate         *gate.Gate
	fleet        Fleet
	tokenizer    Tokenizer
	loadSource   LoadSource
	leaver       Leaver
	ledger       TeamLedger
}

// TeamLedger writes records of one team to the ledger.
type TeamLedger interface {
	// Submit appends the records and returns the fold's verdicts on them once
	// they have been read back from the log.
	Submit(ctx context.Context, team ident.TeamID, records ...record.Record) ([]ledger.Verdict, error)
}

// withdrawTimeout bounds the wait for the withdrawal of a claim.
const withdrawTimeout = 2 * time.Second

// SealKey implements wire.MethodSideSealKey. If the caller names another
// incarnation, the reply carries this gate's incarnation and nothing is sealed.
func (m *Methods) SealKey(args *wire.SealKeyArgs, reply *wire.SealKeyReply) error {
	reply.Offsets = m.fleet.Offsets()
	reply.Gate = m.gate.Incarnation()
	if args.Gate != reply.Gate {
		return nil
	}
	reply.Was = m.gate.SealKey(args.Key)
	notStarted := reply.Was == wire.KeyUnknown || reply.Was == wire.KeySealed
	if args.Void != "" && notStarted {
		reply.Voided = m.withdrawClaim(args.Void, args.Key)
	}
	return nil
}

// withdrawClaim withdraws the claim on a sealed key that has not started. It
// reports whether the fold accepted the withdrawal; false also means that the
// outcome is unknown.
func (m *Methods) withdrawClaim(team ident.TeamID, key ident.Key) bool {
	r, err := record.New(ledger.KindWithdrawClaim, ledger.WithdrawClaim{Team: team, Key: key})
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
	defer cancel()
	verdicts, err := m.ledger.Submit(ctx, team, r)
	return err == nil && len(verdicts) == 1 && verdicts[0].Outcome == ledger.Accepted
}

// Lookup implements wire.MethodSideLookup.
func (m *Methods) Lookup(args *wire.LookupArgs, reply *wire.LookupReply) error {
	reply.Offsets = m.fleet.Offsets()
	reply.Gate = m.gate.Incarnation()
	reply.State, reply.Run = m.gate.Lookup(args.Key)
	return nil
}

// Cancel implements wire.MethodSideCancel.
func (m *Methods) Cancel(args *wire.CancelArgs, reply *wire.CancelReply) error {
	reply.Offsets = m.fleet.Offsets()
	m.gate.Cancel(args.Key)
	return nil
}

// Load implements wire.MethodSideLoad.
func (m *Methods) Load(args *wire.LoadArgs, reply *wire.LoadReply) error {
	*reply = m.loadSource.Load(args.Known)
	reply.Offsets = m.fleet.Offsets()
	reply.Gate = m.gate.Incarnation()
	reply.Leaving = m.gate.Leaving()
	return nil
}

// Count implements wire.MethodSideCount.
func (m *Methods) Count(args *wire.CountArgs, reply *wire.CountReply) error {
	tokens, err := m.tokenizer.CountPromptTokens(context.Background(), args.Body)
	if err != nil {
		return errors.Wrap(err, "count prompt tokens")
	}
	reply.Offsets = m.fleet.Offsets()
	reply.Tokens = tokens
	return nil
}

// Leave implements wire.MethodSideLeave.
func (m *Methods) Leave(args *wire.LeaveArgs, reply *wire.LeaveReply) error {
	m.leaver.Leave("order of operator " + string(args.Author))
	reply.Offsets = m.fleet.Offsets()
	reply.Running = m.gate.Running()
	return nil
}
