// Package wire holds the messages between routers and side processes. Control
// calls go through net/rpc; runs and their answers are HTTP streams of frames.
package wire

import (
	"time"

	"github.com/camphorlever/camphorlever/internal/ident"
)

// FleetKeyHeader carries the fleet's own key on every internal connection.
const FleetKeyHeader = "X-Camphor-Fleet-Key"

// Paths of the internal listeners.
const (
	PathRPC    = "/internal/rpc"    // net/rpc over HTTP CONNECT
	PathRun    = "/internal/run"    // POST BeginRequest, answered by frames
	PathAnswer = "/internal/answer" // POST ResumeRequest, answered by frames
)

// Intervals of the streams between router and side process.
const (
	HeartbeatInterval = time.Second
	// MaxMissedHeartbeats is how many intervals without a frame make a
	// connection silent. A silent connection is closed and never reused.
	MaxMissedHeartbeats = 3
)

// Offsets are the positions of the sender's folds. Whoever is behind catches
// up before it acts, and nobody goes back.
type Offsets struct {
	Settings ident.Offset `msgpack:"s"`
	Fleet    ident.Offset `msgpack:"f"`
}

// BeginRequest asks a gate to start a run, or to attach to the run of the key.
type BeginRequest struct {
	Request    ident.RequestID   `msgpack:"q"`
	Attempt    uint32            `msgpack:"n"`
	Key        ident.Key         `msgpack:"k"`
	BodyHash   ident.Key         `msgpack:"bh"` // same key with another body is refused
	Team       ident.TeamID      `msgpack:"t"`
	Account    ident.AccountID   `msgpack:"ac"`
	Router     ident.Incarnation `msgpack:"ro"` // who begins
	Holder     ident.Incarnation `msgpack:"h"`  // holder of the grant that pays
	Gate       ident.Incarnation `msgpack:"g"`  // life of the gate that is meant
	TokenBound int64             `msgpack:"b"`  // tokens reserved: prompt bound plus maximum output
	MaxOutput  int64             `msgpack:"mo"`
	AtMostOnce bool              `msgpack:"o"` // claimed in the log before; must not run twice
	Priority   int               `msgpack:"p"`
	Timeout    time.Duration     `msgpack:"to"` // what is left of the caller's deadline
	Offsets    Offsets           `msgpack:"of"`
	From       uint64            `msgpack:"f"` // first event wanted
	Call       Call              `msgpack:"c"`
}

// Call is what the backend server is asked to do.
type Call struct {
	Service     ident.ServiceID `msgpack:"s"` // empty for a model request
	Model       ident.ModelID   `msgpack:"m"`
	Adapter     ident.AdapterID `msgpack:"a"`
	Method      string          `msgpack:"me"`
	Path        string          `msgpack:"p"` // of a plain service, without the route prefix
	ContentType string          `msgpack:"ct"`
	Body        []byte          `msgpack:"b"`
}

// ResumeRequest attaches to the answer of a key at an event offset.
type ResumeRequest struct {
	Request  ident.RequestID   `msgpack:"q"`
	Attempt  uint32            `msgpack:"n"`
	Key      ident.Key         `msgpack:"k"`
	BodyHash ident.Key         `msgpack:"bh"` // BeginConflict if set and the key has another
	Gate     ident.Incarnation `msgpack:"g"`
	From     uint64            `msgpack:"f"`
}

// BeginOutcome is a gate's answer to a BeginRequest or ResumeRequest.
type BeginOutcome uint8

// Outcomes of a begin.
const (
	BeginStarted          BeginOutcome = 1  // the run starts now
	BeginRunning          BeginOutcome = 2  // the key runs already; the answer follows from From on
	BeginDone             BeginOutcome = 3  // the key has run; the retained answer follows
	BeginNotRetained      BeginOutcome = 4  // the key has run; its answer is no longer retained
	BeginSealed           BeginOutcome = 5  // the key, the router or the holder is sealed here; not started
	BeginLeaving          BeginOutcome = 6  // the gate takes no new work; not started
	BeginBehind           BeginOutcome = 7  // the gate cannot reach the sender's offsets; not started
	BeginConflict         BeginOutcome = 8  // the key is known with another body; not started
	BeginFull             BeginOutcome = 9  // the gate has no memory or slot left; not started
	BeginUnknownKey       BeginOutcome = 10 // resume only: the key is not known here
	BeginWrongIncarnation BeginOutcome = 11 // another incarnation was meant; not started
)

// FrameKind tells what a frame carries.
type FrameKind uint8

// Kinds of frames.
const (
	FrameBegin     FrameKind = 1 // first frame: Outcome and Run
	FrameEvent     FrameKind = 2 // one event of the answer
	FrameHeartbeat FrameKind = 3
	FrameEnd       FrameKind = 4 // the answer is complete; Usage is final
	FrameFailed    FrameKind = 5 // the backend server failed; Usage is final
)

// Frame is one element of an answer stream. Every frame names its request and
// attempt; a router drops any that is not its own.
type Frame struct {
	Kind    FrameKind
	Request ident.RequestID
	Attempt uint32
	Outcome BeginOutcome
	Run     ident.RunID
	Offset  uint64 // of the event; dense, starts at 0
	Tokens  int64  // output tokens in this event
	Data    []byte // of the event: one JSON document, or a piece of a plain body
	Usage   Usage
	Result  Result
}

// Usage is what a run consumed, in tokens.
type Usage struct {
	Prompt int64 `msgpack:"p"`
	Output int64 `msgpack:"o"`
}

// Total returns the billed tokens.
func (u Usage) Total() int64 {
	return u.Prompt + u.Output
}

// Result is the HTTP result of the backend server. It stands in the
// FrameBegin frame of an attached answer when known, and in every FrameEnd
// and FrameFailed frame.
type Result struct {
	Status      int    `msgpack:"s"`
	ContentType string `msgpack:"ct"`
	// Message says why a run failed.
	Message string `msgpack:"m"`
}
