package node

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/camphorlever/camphorlever/internal/fleet"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/record"
)

// Timing of seal acknowledgements.
const (
	releaseTimeout         = 10 * time.Minute // per attempt, all barriers together
	releaseRetryDelay      = time.Second
	releaseRecheckInterval = 30 * time.Second
)

// acknowledger acknowledges the seals of incarnations of the other role. It
// acknowledges a seal once every barrier has released the incarnation.
type acknowledger struct {
	node       *Node
	barriers   []SealBarrier
	inProgress map[ident.Incarnation]struct{} // used only by run
	finished   chan ident.Incarnation
}

func newAcknowledger(n *Node) *acknowledger {
	return &acknowledger{
		node:       n,
		inProgress: map[ident.Incarnation]struct{}{},
		finished:   make(chan ident.Incarnation),
	}
}

// run acknowledges seals until ctx ends.
func (a *acknowledger) run(ctx context.Context) {
	var releases conc.WaitGroup
	defer releases.Wait()
	for ctx.Err() == nil {
		changed := a.node.changed.wait()
		for _, sealed := range a.unacknowledged() {
			a.inProgress[sealed] = struct{}{}
			releases.Go(func() { a.release(ctx, sealed) })
		}
		timer := time.NewTimer(releaseRecheckInterval)
		select {
		case <-changed:
		case done := <-a.finished:
			delete(a.inProgress, done)
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// unacknowledged returns the sealed incarnations that this process still has to
// acknowledge. Those that were sealed before its own registration need no
// acknowledgement from it.
func (a *acknowledger) unacknowledged() []ident.Incarnation {
	own := a.node.Incarnation()
	var incarnations []ident.Incarnation
	for _, sealed := range a.node.Members().Pending {
		acked := sealed.AckedBy(own)
		_, releasing := a.inProgress[sealed.Incarnation]
		responsible := sealed.Registration.Role != a.node.options.Role && ident.Offset(own)-1 < sealed.SealedAt
		if responsible && !acked && !releasing {
			incarnations = append(incarnations, sealed.Incarnation)
		}
	}
	return incarnations
}

// release waits for the barriers and acknowledges the seal once all have
// released the incarnation.
func (a *acknowledger) release(ctx context.Context, sealed ident.Incarnation) {
	if a.awaitBarriers(ctx, sealed) {
		a.acknowledge(ctx, sealed)
	} else {
		pauseFor(ctx, releaseRetryDelay, nil)
	}
	select {
	case a.finished <- sealed:
	case <-ctx.Done():
	}
}

func (a *acknowledger) awaitBarriers(ctx context.Context, sealed ident.Incarnation) bool {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	for _, barrier := range a.barriers {
		if err := barrier.Release(ctx, sealed); err != nil {
			a.node.logger.Warn().Err(err).Uint64("sealed", uint64(sealed)).Msg("sealed incarnation is not released yet; the seal is not acknowledged")
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
