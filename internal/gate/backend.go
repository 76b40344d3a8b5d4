package gate

import (
	"context"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// Backend executes calls at the backend server.
type Backend interface {
	// Run executes one call and returns when it has ended. It passes every
	// event to the sink, in order, from one goroutine. It stops the call at
	// the server when ctx ends or the sink rejects an event.
	Run(ctx context.Context, job Job, sink Sink) Outcome
}

// Job is one call to execute.
type Job struct {
	Run        ident.RunID
	Key        ident.Key
	Call       wire.Call
	MaxOutput  int64 // tokens
	Priority   int
	AtMostOnce bool // the call must be sent to the server at most once
}

// Sink receives the answer of a call as it arrives.
type Sink interface {
	// SetResult reports the status and the content type before the first
	// event.
	SetResult(wire.Result)
	// AddEvent appends one event with the number of output tokens in it. The
	// sink keeps data, so the caller must not change it afterwards. It returns
	// false, without storing the event, if the event would exceed the run's
	// bound; the call must then be stopped.
	AddEvent(data []byte, tokens int64) bool
}

// Outcome describes how a call ended.
type Outcome struct {
	Complete   bool // the server ended the answer itself
	MayHaveRun bool // the server may have begun to execute the call
	// Prompt and Output are the token counts that the server reports. Each is
	// valid only if the field after it is set.
	Prompt      int64
	PromptKnown bool
	Output      int64
	OutputKnown bool
	Result      wire.Result
}

// IncarnationState is the state of an incarnation in the fleet stream.
type IncarnationState uint8

// States of an incarnation.
const (
	Unregistered IncarnationState = iota // not seen in the stream, or ended
	Live
	Sealed
)

// FleetView is the gate's view of the fleet stream. It only moves forward: an
// incarnation that is no longer live never becomes live again.
type FleetView interface {
	// IncarnationState returns the state of an incarnation as far as the
	// stream has been read.
	IncarnationState(ident.Incarnation) IncarnationState
	// Offsets returns how far the streams of settings and fleet have been
	// read.
	Offsets() wire.Offsets
}

// Settler writes the settlements of finished runs to the ledger.
type Settler interface {
	// Settle queues the settlement of one finished run and returns at once. It
	// calls settled after the settlement was read back from the ledger.
	Settle(settlement ledger.Settle, settled func())
}
