// Package stream begins the run of a request at its gate, returns the answer to the
// caller and settles the tokens that it used. It is the last filter of the chain.
package stream

import (
	"context"

	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// Stream reads the frames of one run's answer, complete and in order.
type Stream interface {
	// BeginFrame returns the gate's reply, a frame of kind FrameBegin.
	BeginFrame() wire.Frame
	// Next returns the next frame. An error means that the rest is lost.
	Next() (wire.Frame, error)
	Close()
}

// Relay opens answer streams at gates. Its errors are those of the package relay.
type Relay interface {
	// Begin asks the gate to start a run.
	Begin(ctx context.Context, target filter.Target, request *wire.BeginRequest) (Stream, error)
	// Attach opens the answer of a run that the gate already has.
	Attach(ctx context.Context, target filter.Target, request *wire.ResumeRequest) (Stream, error)
}

// Gates sends control calls to gates.
type Gates interface {
	// SealKey asks the gate never to start a run of the key and returns whether it
	// had one.
	SealKey(ctx context.Context, target filter.Target, key ident.Key) (wire.SealKeyReply, error)
	// Cancel ends the key's run.
	Cancel(ctx context.Context, target filter.Target, key ident.Key) error
}

// RunRecord is the router's own record of a run that it asks a gate to begin. Its
// fields match those of settlement.RunRecord.
type RunRecord struct {
	Team    ident.TeamID
	Account ident.AccountID
	Holder  ident.Incarnation // router whose grant pays
	Gate    ident.Incarnation
	Key     ident.Key
	Bound   int64 // maximum of the tokens that the run uses
}

// Settler keeps run records until the ledger shows their settlement.
type Settler interface {
	// Track stores a record before its Begin is sent. It returns false if the
	// gate's incarnation is sealed and no run may be begun there.
	Track(c RunRecord) bool
	// NotStarted drops a record: the gate has not started the run for this router.
	NotStarted(c RunRecord)
	// OutcomeUnknown reports that the request no longer waits for the run and does
	// not know whether it was started or how it ended. The settler finds out.
	OutcomeUnknown(c RunRecord)
	// Finish records the final usage of the run.
	Finish(c RunRecord, run ident.RunID, usage wire.Usage)
}

// RouterInfo describes this router process.
type RouterInfo interface {
	Incarnation() ident.Incarnation
	// Offsets returns how far the router has read the streams of settings and fleet.
	Offsets() wire.Offsets
}

// Deps are the dependencies of the filter.
type Deps struct {
	Relay      Relay
	Gates      Gates
	Settler    Settler
	RouterInfo RouterInfo
}

// New returns the filter.
func New(deps Deps) filter.Filter {
	return &handler{
		Deps:     deps,
		outcomes: filter.Counters("stream"),
		begins:   counter.NewSet("begins"),
	}
}
