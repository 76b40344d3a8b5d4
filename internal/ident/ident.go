// Package ident defines the identifiers shared by every process of the fleet.
package ident

import (
	"fmt"

	"github.com/google/uuid"
)

// TeamID names a team; it is the last element of the settings path teams/<id>.
type TeamID string

// AccountID names a client account within a team.
type AccountID string

// ModelID names a model as callers write it.
type ModelID string

// AdapterID names an adapter of a model; empty means the base model.
type AdapterID string

// ServerID names a backend server; it is unique in the fleet.
type ServerID string

// ServiceID names a service that is not a model, for example an order desk.
type ServiceID string

// OperatorID names an operator, which is a person or a committee member.
type OperatorID string

// VMID names a virtual machine as the platform's VM list does.
type VMID string

// DataCentreID names a data centre.
type DataCentreID string

// Offset is a position in one stream of the log service. The first record of
// a stream has offset 0.
type Offset int64

// NoOffset means that nothing of the stream has been read.
const NoOffset Offset = -1

// Incarnation identifies one run of a process from its start to its end. It is the
// offset of the process's registration in the fleet stream plus one. Zero means
// not registered.
type Incarnation uint64

// RunID identifies one run of a request. Numbers have no gaps within a gate
// incarnation and start at 1.
type RunID struct {
	Gate   Incarnation `json:"gate" msgpack:"g"`
	Number uint64      `json:"number" msgpack:"n"`
}

// String returns the identifier in the form gate/number.
func (r RunID) String() string {
	return fmt.Sprintf("%d/%d", r.Gate, r.Number)
}

// IsZero reports whether the identifier is the zero value, which names no run.
func (r RunID) IsZero() bool {
	return r == RunID{}
}

// RequestID identifies one request as accepted by one router.
type RequestID = uuid.UUID

// Key is the 128-bit hash of a team and an idempotency key. A request without
// an idempotency key gets the hash of its RequestID in place of that key. The
// type also holds the hash of a call's content.
type Key [16]byte

// String returns the key in hexadecimal.
func (k Key) String() string {
	return fmt.Sprintf("%x", k[:])
}

// NewNonce returns a random UUID (version 4).
func NewNonce() uuid.UUID {
	return uuid.New()
}
