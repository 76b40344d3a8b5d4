// Package rpc wraps net/rpc with what it lacks: a deadline per call, a
// heartbeat and a redial. A connection that missed a deadline or a heartbeat
// is closed and never used again.
package rpc

import (
	"context"

	"github.com/pkg/errors"
)

// Caller calls methods of one peer. Implementations are safe for concurrent use.
type Caller interface {
	// Call fails with ErrNotSent only if the request cannot have reached the
	// peer, and with ErrNoReply if it may have.
	Call(ctx context.Context, method string, args, reply any) error
	Close() error
}

// Errors of a call.
var (
	// ErrNotSent means that the peer has not received the request.
	ErrNotSent = errors.New("rpc request was not sent")
	// ErrNoReply means that the peer may have executed the request.
	ErrNoReply = errors.New("rpc reply did not arrive")
)
