// Package rpc extends net/rpc with deadlines per call, heartbeats and reconnection.
// A connection on which a call missed its deadline or a heartbeat got no reply is
// closed and not used again.
package rpc

import (
	"context"

	"github.com/pkg/errors"
)

// Caller calls net/rpc methods of one peer. Implementations are safe for concurrent
// use.
type Caller interface {
	// Call calls a method and waits for its reply. It fails with ErrNotSent
	// only if the request cannot have reached the peer, and with ErrNoReply
	// if the peer may have executed it.
	Call(ctx context.Context, method string, args, reply any) error
	Close() error
}

// Errors of Caller.Call. The returned errors wrap them and add the cause as text.
var (
	// ErrNotSent means that the peer has not received the request.
	ErrNotSent = errors.New("rpc request was not sent")
	// ErrNoReply means that the peer may have executed the request.
	ErrNoReply = errors.New("rpc reply did not arrive")
)
