package side

import (
	"context"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/gate"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// PromptCounter counts prompt tokens at the engine.
type PromptCounter interface {
	Tokenize(ctx context.Context, body []byte) (int64, error)
}

// LoadSource tells what the side process knows of its backend server.
type LoadSource interface {
	Load() wire.LoadReply
}

// Leaver starts the graceful stop of this side process.
type Leaver interface {
	Leave(reason string)
}

// Methods are the control methods that routers call by net/rpc.
type Methods struct {
	Gate    *gate.Gate
	Fleet   Fleet
	Counter PromptCounter
	Loads   LoadSource
	Leaver  Leaver
}

// SealKey is wire.MethodSideSealKey. A caller that means another incarnation
// learns the own one, and nothing is sealed.
func (m *Methods) SealKey(args *wire.SealKeyArgs, reply *wire.SealKeyReply) error {
	reply.Offsets = m.Fleet.Offsets()
	reply.Gate = m.Gate.Incarnation()
	if args.Gate != reply.Gate {
		return nil
	}
	reply.Was = m.Gate.SealKey(args.Key)
	return nil
}

// Lookup is wire.MethodSideLookup.
func (m *Methods) Lookup(args *wire.LookupArgs, reply *wire.LookupReply) error {
	reply.Offsets = m.Fleet.Offsets()
	reply.Gate = m.Gate.Incarnation()
	reply.State, reply.Run = m.Gate.Lookup(args.Key)
	return nil
}

// Cancel is wire.MethodSideCancel.
func (m *Methods) Cancel(args *wire.CancelArgs, reply *wire.CancelReply) error {
	reply.Offsets = m.Fleet.Offsets()
	m.Gate.Cancel(args.Key)
	return nil
}

// Load is wire.MethodSideLoad.
func (m *Methods) Load(_ *wire.LoadArgs, reply *wire.LoadReply) error {
	*reply = m.Loads.Load()
	reply.Offsets = m.Fleet.Offsets()
	reply.Gate = m.Gate.Incarnation()
	reply.Leaving = m.Gate.Leaving()
	return nil
}

// Count is wire.MethodSideCount.
func (m *Methods) Count(args *wire.CountArgs, reply *wire.CountReply) error {
	tokens, err := m.Counter.Tokenize(context.Background(), args.Body)
	if err != nil {
		return errors.Wrap(err, "count prompt tokens")
	}
	reply.Offsets = m.Fleet.Offsets()
	reply.Tokens = tokens
	return nil
}

// Leave is wire.MethodSideLeave.
func (m *Methods) Leave(args *wire.LeaveArgs, reply *wire.LeaveReply) error {
	m.Leaver.Leave("order of operator " + string(args.Author))
	reply.Offsets = m.Fleet.Offsets()
	reply.Running = m.Gate.Running()
	return nil
}

// Ping answers a heartbeat.
func (m *Methods) Ping(_ *wire.PingArgs, reply *wire.PingReply) error {
	reply.Offsets = m.Fleet.Offsets()
	reply.Incarnation = m.Gate.Incarnation()
	return nil
}
