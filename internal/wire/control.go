package wire

import (
	"time"

	"github.com/camphorlever/camphorlever/internal/ident"
)

// Names of the net/rpc methods. Every argument carries the Offsets of the sender,
// every reply those of the receiver.
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
	MethodPing         = "Ping" // method name without the service; both services have it
)

// KeyState is the state of a key at a gate.
type KeyState uint8

// States of a key at a gate.
const (
	KeyUnknown KeyState = 0 // not started by this incarnation of the gate
	KeyRunning KeyState = 1 // a run of the key is in progress
	KeyDone    KeyState = 2 // a run of the key has ended
	KeySealed  KeyState = 3 // this incarnation of the gate will never start it
)

// SealKeyArgs asks a gate to seal a key, that is, never to start a run of it. A run
// that has started continues.
type SealKeyArgs struct {
	Offsets Offsets
	Gate    ident.Incarnation
	Key     ident.Key
	// Void names the team whose claim of the key the gate must withdraw if
	// the key has not run. If empty, no claim is withdrawn.
	Void ident.TeamID
}

// SealKeyReply carries the state of the key before the call. KeyUnknown and
// KeySealed mean that the key has not run and will not run at this incarnation.
type SealKeyReply struct {
	Offsets Offsets
	Gate    ident.Incarnation // incarnation that answers; differs from the args if the gate was restarted
	Was     KeyState
	Voided  bool // the claim was withdrawn, so another gate may run the key
}

// LookupArgs asks a gate for the state of a key.
type LookupArgs struct {
	Offsets Offsets
	Key     ident.Key
}

// LookupReply is the reply to LookupArgs. Elsewhere is the gate that has the run of
// the key, if the answering gate stores only a pointer to it.
type LookupReply struct {
	Offsets   Offsets
	Gate      ident.Incarnation
	State     KeyState
	Run       ident.RunID
	Elsewhere ident.Incarnation
}

// LoadArgs asks a side process for its load and for the changes of its view of the
// engine's prefix cache after the mark Known.
type LoadArgs struct {
	Offsets Offsets
	Known   CacheMark
}

// LoadReply is the state of a backend server as its side process observes it.
type LoadReply struct {
	Offsets  Offsets
	Gate     ident.Incarnation
	Server   ident.ServerID
	Leaving  bool            // accepts no new runs
	Running  int             // runs
	Queued   int             // runs
	Slots    int             // runs that the engine can batch
	Models   []ident.ModelID // currently loaded
	Adapters []ident.AdapterID
	Role     string
	Service  time.Duration // recent time to the first token
	// Changes are the changes of the engine's prefix cache after the mark in
	// the args, at most MaxCacheChanges per reply.
	Changes CacheChanges
	// Unreachable means that the backend server does not respond to its side
	// process. The other fields are then from the last response.
	Unreachable bool
}

// CountArgs asks a side process to have its engine count the prompt tokens.
type CountArgs struct {
	Offsets Offsets
	Model   ident.ModelID
	Body    []byte
}

// CountReply carries the exact number of prompt tokens.
type CountReply struct {
	Offsets Offsets
	Tokens  int64
}

// CancelArgs asks a gate to cancel the run of a key.
type CancelArgs struct {
	Offsets Offsets
	Key     ident.Key
}

// CancelReply carries only the offsets.
type CancelReply struct {
	Offsets Offsets
}

// LeaveArgs asks a side process to start no new runs.
type LeaveArgs struct {
	Offsets Offsets
	Author  ident.OperatorID
}

// LeaveReply carries the number of runs that are still in progress.
type LeaveReply struct {
	Offsets Offsets
	Running int
}

// BorrowArgs asks a router to lend tokens of its grant: Asked if possible, and no
// fewer than Least.
type BorrowArgs struct {
	Offsets  Offsets
	Borrower ident.Incarnation
	Loan     uint64 // consecutive number per borrower and lender; makes retries idempotent
	Team     ident.TeamID
	Asked    int64
	Least    int64
	// Gather means that the ledger has just refused the borrower's draw for
	// lack of free tokens. A lender that has less than Least then returns its
	// tokens to the ledger, where the borrower can draw them together with
	// those of other lenders.
	Gather bool
	// Recall reverses the roles: the sender, whose incarnation is in Borrower,
	// is a lender that is stopping and asks the receiver to repay the unused
	// tokens of its loans. Nothing is borrowed, and Loan is ignored.
	Recall bool
}

// BorrowReply carries the loan. Tokens is 0 if the lender has fewer than Least.
type BorrowReply struct {
	Offsets   Offsets
	Holder    ident.Incarnation // holder of the grant that the loan is taken from
	Tokens    int64
	Exhausted bool  // by the lender's fold, the free budget does not cover Least either
	InUse     int64 // tokens of the lender's grant reserved by its runs in progress; some may be free soon
}

// RepayArgs returns unused tokens of loans to the lender. Total is the sum of all
// repayments per borrower, lender and team, so that retries and reordering are
// harmless.
type RepayArgs struct {
	Offsets  Offsets
	Borrower ident.Incarnation
	Team     ident.TeamID
	Total    int64
}

// RepayReply carries only the offsets.
type RepayReply struct {
	Offsets Offsets
}

// StateArgs asks a peer for its fold of a stream, so that a process can start
// during an outage of the log service. The fold must be newer than After.
type StateArgs struct {
	Offsets Offsets
	Stream  string
	After   ident.Offset
}

// StateReply carries a checkpoint of the peer's fold. Offset is the last offset it
// covers, or NoOffset if the peer's fold is not newer than After.
type StateReply struct {
	Offsets    Offsets
	Offset     ident.Offset
	Checkpoint []byte
	// Era is the era of the log that the fold agrees with. Complete means that the
	// log has all entries again that it lost before this era.
	Era      uint64
	Complete bool
}

// PingArgs is a heartbeat.
type PingArgs struct {
	Offsets Offsets
}

// PingReply is the reply to a heartbeat.
type PingReply struct {
	Offsets     Offsets
	Incarnation ident.Incarnation
}
