package router

import (
	"context"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/filter/stream"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/settlement"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// witness lets the stream filter keep copies of the runs that it begins.
type witness struct {
	tracker *settlement.Tracker
}

// Track implements stream.Witness.
func (w *witness) Track(c stream.RunRecord) bool {
	return w.tracker.Track(settlement.RunRecord(c))
}

// NotStarted implements stream.Witness.
func (w *witness) NotStarted(c stream.RunRecord) {
	w.tracker.NotStarted(settlement.RunRecord(c))
}

// OutcomeUnknown implements stream.Witness.
func (w *witness) OutcomeUnknown(c stream.RunRecord) {
	w.tracker.OutcomeUnknown(settlement.RunRecord(c))
}

// probe asks the gate of a copy to seal its key.
func (r *Router) probe(ctx context.Context, c settlement.RunRecord) (wire.KeyState, error) {
	member, ok := r.node.Members().Member(c.Gate)
	if !ok {
		return 0, errors.New("gate is not a member")
	}
	target := filter.Target{Gate: c.Gate, Address: member.Registration.Address}
	reply, err := r.gates.SealKey(ctx, target, c.Key)
	if err != nil {
		return 0, err
	}
	if reply.Gate != c.Gate {
		return 0, errors.New("another life of the gate answered")
	}
	return reply.Was, nil
}

// neverRan frees what is held for a run that never was.
func (r *Router) neverRan(c settlement.RunRecord) {
	if grants := r.grants.Load(); grants != nil {
		grants.RecordNeverRan(c.Team, c.Key, c.Gate)
	}
}

// unbilled frees what a run used that the ledger billed to another run of its
// key.
func (r *Router) unbilled(c settlement.RunRecord, tokens int64) {
	if grants := r.grants.Load(); grants != nil {
		grants.Refund(c.Team, c.Holder, tokens)
		r.log.Info().Str("team", string(c.Team)).Stringer("key", c.Key).Int64("tokens", tokens).
			Msg("tokens of a run freed, another run of its key was billed")
	}
}

// Finish implements stream.Witness.
func (w *witness) Finish(c stream.RunRecord, run ident.RunID, usage wire.Usage) {
	w.tracker.Finish(settlement.RunRecord(c), run, usage)
}
