package wire

import (
	"time"

	"github.com/camphorlever/camphorlever/internal/ident"
)

// Names of the net/rpc services and methods. Every argument embeds Offsets of
// the sender, every reply those of the receiver.
const (
	MethodSideSealKey  = "Side.SealKey"
	MethodSideLookup   = "Side.Lookup"
	MethodSideLoad     = "Side.Load"
	MethodSideCount    = "Side.Count"
	MethodSideCancel   = "Side.Cancel"
	MethodSideLeave    = "Side.Leave"
	MethodSideState    = "Side.State"
	MethodRouterBorrow = "Router.Borrow"
	MethodRouterRepay  = "Router.Repay"
	MethodRouterState  = "Router.State"
	MethodPing         = "Ping" // suffix; both services have it
)

// KeyState is what a gate knows of a key.
type KeyState uint8

// States of a key at a gate.
const (
	KeyUnknown KeyState = 0 // never started here (in this incarnation)
	KeyRunning KeyState = 1
	KeyDone    KeyState = 2
	KeySealed  KeyState = 3 // can never start here
)

// SealKeyArgs asks a gate never to start a key. A run that has started goes on.
type SealKeyArgs struct {
	Offsets Offsets
	Gate    ident.Incarnation
	Key     ident.Key
	// Void names the team whose claim of the key the gate is to withdraw if
	// the key has not run; empty leaves claims alone.
	Void ident.TeamID
}

// SealKeyReply tells what the key's state was. KeyUnknown or KeySealed mean
// that the key has not run and will not run at this incarnation.
type SealKeyReply struct {
	Offsets Offsets
	Gate    ident.Incarnation // who answers; differs from the args if replaced
	Was     KeyState
	Voided  bool // the claim was withdrawn: another gate may run the key
}

// LookupArgs asks a gate what it knows of a key.
type LookupArgs struct {
	Offsets Offsets
	Key     ident.Key
}

// LookupReply is the answer to LookupArgs. Elsewhere names the gate at which
// this key's run is known to be if this gate keeps only a pointer to it.
type LookupReply struct {
	Offsets   Offsets
	Gate      ident.Incarnation
	State     KeyState
	Run       ident.RunID
	Elsewhere ident.Incarnation
}

// LoadArgs asks for a side process's load and for the changes of its view of
// the engine's prefix cache since a mark.
type LoadArgs struct {
	Offsets Offsets
	Known   CacheMark
}

// LoadReply describes a backend server as its side process sees it.
type LoadReply struct {
	Offsets  Offsets
	Gate     ident.Incarnation
	Server   ident.ServerID
	Leaving  bool
	Running  int
	Queued   int
	Slots    int
	Models   []ident.ModelID // loaded now
	Adapters []ident.AdapterID
	Role     string
	Service  time.Duration // recent time to the first token
	// Changes is what the engine has told of its prefix cache since the mark
	// in the args. At most MaxCacheChanges are told at once.
	Changes CacheChanges
	// Unreachable tells that the backend server does not answer its side
	// process; the other fields are older then.
	Unreachable bool
}

// CountArgs asks the engine to count the tokens of a prompt.
type CountArgs struct {
	Offsets Offsets
	Model   ident.ModelID
	Body    []byte
}

// CountReply holds the exact number of prompt tokens.
type CountReply struct {
	Offsets Offsets
	Tokens  int64
}

// CancelArgs asks a gate to cancel the run of a key.
type CancelArgs struct {
	Offsets Offsets
	Key     ident.Key
}

// CancelReply is empty but for the offsets.
type CancelReply struct {
	Offsets Offsets
}

// LeaveArgs asks a side process to take no new work.
type LeaveArgs struct {
	Offsets Offsets
	Author  ident.OperatorID
}

// LeaveReply tells how many runs are still in progress.
type LeaveReply struct {
	Offsets Offsets
	Running int
}

// BorrowArgs asks a router to lend tokens of its grant.
type BorrowArgs struct {
	Offsets  Offsets
	Borrower ident.Incarnation
	Loan     uint64 // dense per borrower and lender; makes retries idempotent
	Team     ident.TeamID
	Asked    int64
	Least    int64
	// Gather says that the ledger has just refused the borrower for want of
	// free tokens. A lender that has less than Least returns what it has to
	// the ledger, where it can be drawn as a whole.
	Gather bool
	// Recall turns the message round: the sender, named by Borrower, is a
	// lender that stops and asks for what is free of its loans. Nothing is
	// borrowed, and Loan is not looked at.
	Recall bool
}

// BorrowReply carries the loan. Tokens is 0 if the lender has too little.
type BorrowReply struct {
	Offsets   Offsets
	Holder    ident.Incarnation // whose grant the loan belongs to
	Tokens    int64
	Exhausted bool  // the lender's fold shows that the budget has nothing free either
	InUse     int64 // of the lender's grant, by its runs in progress; may come free soon
}

// RepayArgs gives unused tokens of loans back. Total is cumulative per
// borrower, lender and team, which makes retries and reordering harmless.
type RepayArgs struct {
	Offsets  Offsets
	Borrower ident.Incarnation
	Team     ident.TeamID
	Total    int64
}

// RepayReply is empty but for the offsets.
type RepayReply struct {
	Offsets Offsets
}

// StateArgs asks a peer for the fold of a stream, to start from during an
// outage of the log service. A reply older than After is of no use.
type StateArgs struct {
	Offsets Offsets
	Stream  string
	After   ident.Offset
}

// StateReply is a checkpoint of the peer's fold; Offset is the last offset it
// covers, NoOffset if the peer has none newer than asked for.
type StateReply struct {
	Offsets    Offsets
	Offset     ident.Offset
	Checkpoint []byte
}

// PingArgs is a heartbeat.
type PingArgs struct {
	Offsets Offsets
}

// PingReply is the answer to a heartbeat.
type PingReply struct {
	Offsets     Offsets
	Incarnation ident.Incarnation
}
