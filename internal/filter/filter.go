// Package filter defines the filter chain that handles every caller request,
// and the types that filters share. Each filter has one task and its own
// package in a subfolder.
package filter

import (
	"context"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/refusal"
)

// RetryReason is the reason for which an attempt may be retried at another
// backend server. An empty reason means that the outcome is final.
type RetryReason string

// Outcome is the result of a request or of one attempt. A nil Refusal means
// that the answer has been sent to the caller.
type Outcome struct {
	Refusal *refusal.Refusal
	Retry   RetryReason
}

// Answered returns the outcome of a request whose answer has been sent.
func Answered() Outcome {
	return Outcome{}
}

// Refused returns a final outcome with a refusal.
func Refused(code refusal.Code, ran refusal.Execution, message string) Outcome {
	return Outcome{Refusal: refusal.New(code, ran, message)}
}

// ErrStopping is the cause with which the contexts of requests are cancelled that are still
// in progress when the router stops. Their callers have not left.
var ErrStopping = errors.New("router stops")

// Next runs the rest of the chain.
type Next func(ctx context.Context, r *Request) Outcome

// Filter processes a request and either calls next or ends the request.
type Filter interface {
	Handle(ctx context.Context, r *Request, next Next) Outcome
}

// Chain combines filters in the given order. The last filter must not call next.
func Chain(filters ...Filter) Next {
	next := func(context.Context, *Request) Outcome {
		return Refused(refusal.Internal, refusal.NotRun, "The filter chain has no end.")
	}
	for i := len(filters) - 1; i >= 0; i-- {
		next = bind(filters[i], next)
	}
	return next
}

func bind(f Filter, next Next) Next {
	return func(ctx context.Context, r *Request) Outcome {
		return f.Handle(ctx, r, next)
	}
}

// Counters returns the counters of a filter, published as filter_NAME.
func Counters(name string) *counter.Set {
	return counter.NewSet("filter_" + name)
}
