package node

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/camphorlever/camphorlever/internal/fleet"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/record"
)

// Times of the acknowledgement of seals.
const (
	releaseTimeout = 10 * time.Minute // of one attempt
	releaseRetry   = time.Second
	releaseRecheck = 30 * time.Second
)

// acknowledger acknowledges the seals of lives of the other role, each once
// every witness has released it.
type acknowledger struct {
	node      *Node
	witnesses []SealBarrier
	busy      map[ident.Incarnation]struct{} // only run touches it
	finished  chan ident.Incarnation
}

func newAcknowledger(n *Node) *acknowledger {
	return &acknowledger{
		node:     n,
		busy:     map[ident.Incarnation]struct{}{},
		finished: make(chan ident.Incarnation),
	}
}

// run acknowledges until ctx ends.
func (a *acknowledger) run(ctx context.Context) {
	var releases conc.WaitGroup
	defer releases.Wait()
	for ctx.Err() == nil {
		changed := a.node.changed.wait()
		for _, sealed := range a.owed() {
			a.busy[sealed] = struct{}{}
			releases.Go(func() { a.release(ctx, sealed) })
		}
		timer := time.NewTimer(releaseRecheck)
		select {
		case <-changed:
		case done := <-a.finished:
			delete(a.busy, done)
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// owed lists the sealed lives that the own life has yet to acknowledge. It
// owes nothing for those sealed before its own registration.
func (a *acknowledger) owed() []ident.Incarnation {
	own := a.node.Incarnation()
	var owed []ident.Incarnation
	for _, sealed := range a.node.Members().Pending {
		acked := sealed.AckedBy(own)
		_, busy := a.busy[sealed.Incarnation]
		mine := sealed.Registration.Role != a.node.options.Role && ident.Offset(own)-1 < sealed.SealedAt
		if mine && !acked && !busy {
			owed = append(owed, sealed.Incarnation)
		}
	}
	return owed
}

// release asks every witness and acknowledges once all agree.
func (a *acknowledger) release(ctx context.Context, sealed ident.Incarnation) {
	if a.witnessesAgree(ctx, sealed) {
		a.acknowledge(ctx, sealed)
	} else {
		pauseFor(ctx, releaseRetry, nil)
	}
	select {
	case a.finished <- sealed:
	case <-ctx.Done():
	}
}

func (a *acknowledger) witnessesAgree(ctx context.Context, sealed ident.Incarnation) bool {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	for _, witness := range a.witnesses {
		if err := witness.Release(ctx, sealed); err != nil {
			a.node.logger.Warn().Err(err).Uint64("sealed", uint64(sealed)).Msg("sealed life not released yet")
			return false
		}
	}
	return true
}

func (a *acknowledger) acknowledge(ctx context.Context, sealed ident.Incarnation) {
	r, err := record.New(fleet.KindAcknowledge, fleet.Acknowledge{Sealed: sealed})
	if err != nil {
		return
	}
	if _, err := a.node.SubmitFleet(ctx, r); err == nil {
		a.node.logger.Info().Uint64("sealed", uint64(sealed)).Msg("seal acknowledged")
	}
}
