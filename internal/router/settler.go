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

// settler implements stream.Settler with the settlement tracker.
type settler struct {
	tracker *settlement.Tracker
}

// Track implements stream.Settler.
func (w *settler) Track(run stream.RunRecord) bool {
	return w.tracker.Track(settlement.RunRecord(run))
}

// NotStarted implements stream.Settler.
func (w *settler) NotStarted(run stream.RunRecord) {
	w.tracker.NotStarted(settlement.RunRecord(run))
}

// OutcomeUnknown implements stream.Settler.
func (w *settler) OutcomeUnknown(run stream.RunRecord) {
	w.tracker.OutcomeUnknown(settlement.RunRecord(run))
}

// probe asks the gate of a run to seal the run's key, and returns the state that
// the key had. It fails if another incarnation of the gate responds.
func (r *Router) probe(ctx context.Context, run settlement.RunRecord) (wire.KeyState, error) {
	member, ok := r.node.Members().Member(run.Gate)
	if !ok {
		return 0, errors.New("gate is not a member of the fleet")
	}
	target := filter.Target{Gate: run.Gate, Address: member.Registration.Address}
	reply, err := r.gates.SealKey(ctx, target, run.Key)
	if err != nil {
		return 0, err
	}
	if reply.Gate != run.Gate {
		return 0, errors.New("another incarnation of the gate responded")
	}
	return reply.Was, nil
}

// releaseNeverRan releases the reservation for a run that never started.
func (r *Router) releaseNeverRan(run settlement.RunRecord) {
	if grants := r.grants.Load(); grants != nil {
		grants.RecordNeverRan(run.Team, run.Key, run.Gate)
	}
}

// refundUnbilled releases the tokens of a run that is not billed because the
// ledger billed another run of the same key.
func (r *Router) refundUnbilled(run settlement.RunRecord, tokens int64) {
	if grants := r.grants.Load(); grants != nil {
		grants.Refund(run.Team, run.Holder, tokens)
		r.log.Info().Str("team", string(run.Team)).Stringer("key", run.Key).Int64("tokens", tokens).
			Msg("tokens of a run released: another run of the same key was billed")
	}
}

// Finish implements stream.Settler.
func (w *settler) Finish(run stream.RunRecord, runID ident.RunID, usage wire.Usage) {
	w.tracker.Finish(settlement.RunRecord(run), runID, usage)
}
