// Package stream begins the run of a request at its gate, brings the answer
// to the caller and settles what it used. It is the last filter of the chain.
package stream

import (
	"context"

	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// Stream is the answer of one run, whole and in order.
type Stream interface {
	BeginFrame() wire.Frame
	Next() (wire.Frame, error)
	Close()
}

// Relay opens answer streams. Its errors are those of the package relay.
type Relay interface {
	Begin(ctx context.Context, target filter.Target, request *wire.BeginRequest) (Stream, error)
	Attach(ctx context.Context, target filter.Target, request *wire.ResumeRequest) (Stream, error)
}

// Gates sends control calls to gates.
type Gates interface {
	SealKey(ctx context.Context, target filter.Target, key ident.Key) (wire.SealKeyReply, error)
	Cancel(ctx context.Context, target filter.Target, key ident.Key) error
}

// RunRecord is the router's own record of a run that it asks a gate to begin.
type RunRecord struct {
	Team    ident.TeamID
	Account ident.AccountID
	Holder  ident.Incarnation
	Gate    ident.Incarnation
	Key     ident.Key
	Bound   int64
}

// Settler keeps copies until the ledger shows their settlement.
type Settler interface {
	// Track keeps a copy before its Begin is sent. False means that the
	// gate's life is sealed: nothing may be begun there.
	Track(c RunRecord) bool
	// NotStarted drops a copy: the gate has not started it for this router.
	NotStarted(c RunRecord)
	// OutcomeUnknown says that nobody waits any more for the run of a copy, whose fate
	// is not known; the witness finds out.
	OutcomeUnknown(c RunRecord)
	// Finish adds the final usage of the run.
	Finish(c RunRecord, run ident.RunID, usage wire.Usage)
}

// RouterInfo tells what the router is.
type RouterInfo interface {
	Incarnation() ident.Incarnation
	Offsets() wire.Offsets
}

// Deps are what the filter works with.
type Deps struct {
	Relay   Relay
	Gates   Gates
	Settler Settler
	Router  RouterInfo
}

// New returns the filter.
func New(deps Deps) filter.Filter {
	return &handler{
		Deps:     deps,
		outcomes: filter.Counters("stream"),
		begins:   counter.NewSet("begins"),
	}
}
