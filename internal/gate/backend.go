package gate

import (
	"context"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// Backend executes calls at the backend server.
type Backend interface {
	// Run executes one call and returns when it is over. It passes every
	// event to the sink, in order, from one goroutine, and stops the call at
	// the server when ctx ends or the sink refuses an event.
	Run(ctx context.Context, job Job, sink Sink) Outcome
}

// Job is one call to execute.
type Job struct {
	Run        ident.RunID
	Key        ident.Key
	Call       wire.Call
	MaxOutput  int64 // tokens
	Priority   int
	AtMostOnce bool // must be sent to the server at most once
}

// Sink takes the answer of a call as it arrives.
type Sink interface {
	// SetResult tells the status and content type before the first event.
	SetResult(wire.Result)
	// AddEvent takes one event with the output tokens that it carries. The sink
	// keeps data. It returns false if the run has reached its bound: the
	// event was not taken and the call must be stopped.
	AddEvent(data []byte, tokens int64) bool
}

// Outcome is how a call ended.
type Outcome struct {
	Complete   bool // the server ended the answer itself
	MayHaveRun bool // the server may have begun to execute the call
	// Prompt and Output are the server's own counts in tokens, if known.
	Prompt      int64
	PromptKnown bool
	Output      int64
	OutputKnown bool
	Result      wire.Result
}

// IncarnationState is what the fleet stream says of a life.
type IncarnationState uint8

// Standings of a life.
const (
	Unregistered IncarnationState = iota // not seen in the stream, or ended
	Live
	Sealed
)

// FleetView is the gate's view of the fleet stream. It never goes back: once a
// life is not live it is never live again.
type FleetView interface {
	IncarnationState(ident.Incarnation) IncarnationState
	Offsets() wire.Offsets
}

// Settler bills finished runs.
type Settler interface {
	// Settle takes one finished run over and returns at once. It calls
	// settled after the settlement was read back from the ledger.
	Settle(settlement ledger.Settle, settled func())
}
