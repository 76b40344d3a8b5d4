// Package wire defines the messages between routers and side processes. Control
// calls use net/rpc; runs and their answers are HTTP streams of frames.
package wire

import (
	"time"

	"github.com/camphorlever/camphorlever/internal/ident"
)

// FleetKeyHeader is the HTTP header that carries the fleet's own key on every
// internal connection.
const FleetKeyHeader = "X-Camphor-Fleet-Key"

// HTTP paths of the internal listeners.
const (
	PathRPC    = "/internal/rpc"    // net/rpc over HTTP CONNECT
	PathRun    = "/internal/run"    // POST BeginRequest, answered by frames
	PathAnswer = "/internal/answer" // POST ResumeRequest, answered by frames
)

// Heartbeats of the connections between router and side process.
const (
	HeartbeatInterval = time.Second
	// MaxMissedHeartbeats is the number of intervals without a frame after
	// which a connection counts as silent. It is then closed and not reused.
	MaxMissedHeartbeats = 3
)

// Offsets are the positions of the sender's folds. A receiver that is behind
// catches up before it acts on the message; folds never go back.
type Offsets struct {
	Settings ident.Offset `msgpack:"s"`
	Fleet    ident.Offset `msgpack:"f"`
}

// BeginRequest asks a gate to start a run, or to attach to the existing run of the
// key.
type BeginRequest struct {
	Request    ident.RequestID   `msgpack:"q"`
	Attempt    uint32            `msgpack:"n"`
	Key        ident.Key         `msgpack:"k"`
	BodyHash   ident.Key         `msgpack:"bh"` // the same key with another body is refused
	Team       ident.TeamID      `msgpack:"t"`
	Account    ident.AccountID   `msgpack:"ac"`
	Router     ident.Incarnation `msgpack:"ro"` // router that begins the run
	Holder     ident.Incarnation `msgpack:"h"`  // holder of the grant that is charged
	Gate       ident.Incarnation `msgpack:"g"`  // incarnation of the gate that is addressed
	TokenBound int64             `msgpack:"b"`  // reserved tokens: prompt bound plus MaxOutput
	MaxOutput  int64             `msgpack:"mo"`
	AtMostOnce bool              `msgpack:"o"` // claimed in the ledger before; must not run twice
	Priority   int               `msgpack:"p"`
	Timeout    time.Duration     `msgpack:"to"` // time left until the caller's deadline
	Offsets    Offsets           `msgpack:"of"`
	From       uint64            `msgpack:"f"` // offset of the first event to send
	Call       Call              `msgpack:"c"`
}

// Call is the request to the backend server.
type Call struct {
	Service     ident.ServiceID `msgpack:"s"` // empty for a model request
	Model       ident.ModelID   `msgpack:"m"`
	Adapter     ident.AdapterID `msgpack:"a"`
	Method      string          `msgpack:"me"`
	Path        string          `msgpack:"p"` // of a plain service, without the route's prefix
	ContentType string          `msgpack:"ct"`
	Body        []byte          `msgpack:"b"`
}

// ResumeRequest attaches to the answer of a key from the event offset From on.
type ResumeRequest struct {
	Request  ident.RequestID   `msgpack:"q"`
	Attempt  uint32            `msgpack:"n"`
	Key      ident.Key         `msgpack:"k"`
	BodyHash ident.Key         `msgpack:"bh"` // if set and the key has another one, the outcome is BeginConflict
	Gate     ident.Incarnation `msgpack:"g"`
	From     uint64            `msgpack:"f"`
}

// BeginOutcome is a gate's reply to a BeginRequest or ResumeRequest.
type BeginOutcome uint8

// Outcomes of a BeginRequest or ResumeRequest.
const (
	BeginStarted          BeginOutcome = 1  // the run starts
	BeginRunning          BeginOutcome = 2  // the key is running already; its answer follows from From on
	BeginDone             BeginOutcome = 3  // the key has run; the retained answer follows
	BeginNotRetained      BeginOutcome = 4  // the key has run; its answer is no longer retained
	BeginSealed           BeginOutcome = 5  // the key was sealed at this gate, or the gate sees its own, the router's or the holder's incarnation as not live; not started
	BeginLeaving          BeginOutcome = 6  // the gate accepts no new runs; not started
	BeginBehind           BeginOutcome = 7  // the gate could not catch up with the sender's offsets; not started
	BeginConflict         BeginOutcome = 8  // the key is known with another body; not started
	BeginFull             BeginOutcome = 9  // the gate has no memory or slot left; not started
	BeginUnknownKey       BeginOutcome = 10 // resume only: the key is not known here
	BeginWrongIncarnation BeginOutcome = 11 // the request was for another incarnation; not started
)

// FrameKind is the kind of a frame.
type FrameKind uint8

// Kinds of frames.
const (
	FrameBegin     FrameKind = 1 // first frame: Outcome and Run
	FrameEvent     FrameKind = 2 // one event of the answer
	FrameHeartbeat FrameKind = 3
	FrameEnd       FrameKind = 4 // the answer is complete; Usage is final
	FrameFailed    FrameKind = 5 // the backend server failed; Usage is final
)

// Frame is one element of an answer stream. Every frame carries its request and
// attempt; a router drops frames of other requests or attempts.
type Frame struct {
	Kind    FrameKind
	Request ident.RequestID
	Attempt uint32
	Outcome BeginOutcome
	Run     ident.RunID
	Offset  uint64 // of the event; consecutive, starts at 0
	Tokens  int64  // output tokens in this event
	Data    []byte // of the event: one JSON document, or part of a plain service's body
	Usage   Usage
	Result  Result
}

// Usage is what a run consumed, in tokens.
type Usage struct {
	Prompt int64 `msgpack:"p"`
	Output int64 `msgpack:"o"`
}

// Total returns the number of tokens to bill.
func (u Usage) Total() int64 {
	return u.Prompt + u.Output
}

// Result is the HTTP result of the backend server. Every FrameEnd and FrameFailed
// frame carries it, and the FrameBegin frame of an attached answer if it is known
// by then.
type Result struct {
	Status      int    `msgpack:"s"`
	ContentType string `msgpack:"ct"`
	// Message is the reason why a run failed.
	Message string `msgpack:"m"`
}
