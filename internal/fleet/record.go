// Package fleet is the deterministic fold over the fleet stream: registrations
// of processes, seals of those considered dead, and the acknowledgements that
// make it safe to close their grants.
package fleet

import (
	"github.com/google/uuid"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/logservice"
	"github.com/camphorlever/camphorlever/internal/record"
)

// Stream is the name of the fleet stream.
const Stream logservice.Stream = "fleet"

// Kinds of the records of the fleet stream.
const (
	KindRegister    record.Kind = 1
	KindDeregister  record.Kind = 2
	KindSeal        record.Kind = 3
	KindAcknowledge record.Kind = 4
	KindDestroyed   record.Kind = 5
	KindLeave       record.Kind = 6
	KindCheckpoint  record.Kind = 7
	KindRaiseLevel  record.Kind = 8
)

// Role distinguishes routers from side processes.
type Role uint8

// Roles of a process.
const (
	RoleRouter Role = 1
	RoleSide   Role = 2
)

// Register registers a process. Its incarnation is the offset of the record plus
// one. Since the writer has no incarnation yet, the batch has writer 0 and is
// identified by the nonce instead.
type Register struct {
	Nonce        uuid.UUID          `msgpack:"n"`
	Role         Role               `msgpack:"r"`
	VM           ident.VMID         `msgpack:"v"`
	DataCentre   ident.DataCentreID `msgpack:"d"`
	Address      string             `msgpack:"a"` // internal listener, host:port
	Server       ident.ServerID     `msgpack:"s"` // backend server of a side process
	MaxLevel     uint16             `msgpack:"l"` // highest format level the program understands
	LedgerShards int                `msgpack:"h"` // set for the whole fleet by the first registration
	Seen         ident.Offset       `msgpack:"o"` // last offset of the stream that the process had read before
}

// Deregister closes an incarnation that has returned its grants and settled its
// runs.
type Deregister struct {
	Incarnation ident.Incarnation `msgpack:"i"`
}

// Leave announces that a side process takes no new runs.
type Leave struct {
	Incarnation ident.Incarnation `msgpack:"i"`
}

// Seal declares that an incarnation is considered dead. It releases nothing by
// itself: it asks the other processes to stop dealing with that incarnation and
// to acknowledge this.
type Seal struct {
	Incarnation ident.Incarnation `msgpack:"i"`
	Reason      string            `msgpack:"r"`
}

// Acknowledge states that its writer has stopped dealing with a sealed
// incarnation: it starts no more runs with it, it has no unsettled ones, and it
// has read all settlements that it owed back from the ledger.
type Acknowledge struct {
	Sealed ident.Incarnation `msgpack:"s"`
}

// Destroyed is an operator's statement that the listed VMs, or all VMs if the
// list is empty, have been destroyed. It applies to the incarnations on them up to
// UpTo.
type Destroyed struct {
	VMs    []ident.VMID      `msgpack:"v"`
	UpTo   ident.Incarnation `msgpack:"u"`
	Author ident.OperatorID  `msgpack:"a"`
}

// RaiseLevel raises the format level of the stream.
type RaiseLevel struct {
	Level uint16 `msgpack:"l"`
}

// Member is one registered incarnation of a process.
type Member struct {
	Incarnation  ident.Incarnation
	Registration Register
	Leaving      bool
	Sealed       bool
}
