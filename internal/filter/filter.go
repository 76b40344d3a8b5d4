// Package filter is the chain through which every request of a caller goes.
// Each filter has one job and stands in a folder of its own; this package
// holds what they share.
package filter

import (
	"context"

	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/refusal"
)

// RetryReason says why an attempt may be repeated at another backend server.
// The empty reason means that the outcome is final.
type RetryReason string

// Outcome is what became of a request or of one attempt. A nil Refusal means
// that the caller has got its answer.
type Outcome struct {
	Refusal *refusal.Refusal
	Retry   RetryReason
}

// Answered is the outcome of a request that got its answer.
func Answered() Outcome {
	return Outcome{}
}

// Refused is a final outcome.
func Refused(code refusal.Code, ran refusal.Execution, message string) Outcome {
	return Outcome{Refusal: refusal.New(code, ran, message)}
}

// Next continues with the rest of the chain.
type Next func(ctx context.Context, r *Request) Outcome

// Filter does one job on a request and hands it on, or ends it.
type Filter interface {
	Handle(ctx context.Context, r *Request, next Next) Outcome
}

// Chain joins filters in their order. The last filter must not call next.
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

// Counters returns the counters of one filter, published as filter_NAME.
func Counters(name string) *counter.Set {
	return counter.NewSet("filter_" + name)
}
