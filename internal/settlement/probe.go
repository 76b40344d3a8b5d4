package settlement

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// Pace of the probes.
const (
	probeInterval = 5 * time.Second
	probeTimeout  = 3 * time.Second
	probesAtOnce  = 8
)

// OutcomeUnknown says that the fate of one begin of a copy is not known: its reply or
// its answer was lost. The tracker finds out from the gate, so that what was
// reserved for a run that never was is not held until the gate is gone.
func (t *Tracker) OutcomeUnknown(c RunRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if state := t.copies[c]; state != nil && state.lost < state.begun {
		state.lost++
		counts.Inc("lost")
	}
}

// probeLoop probes until ctx ends.
func (t *Tracker) probeLoop(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			t.probeAll(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// probeAll asks the live gates of all lost copies.
func (t *Tracker) probeAll(ctx context.Context) {
	probes := pool.New().WithMaxGoroutines(probesAtOnce)
	for _, c := range t.lostCopies() {
		if !t.config.IsSealed(c.Gate) {
			probes.Go(func() { t.probe(ctx, c) })
		}
	}
	probes.Wait()
}

func (t *Tracker) lostCopies() []RunRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []RunRecord
	for c, state := range t.copies {
		if state.lost > 0 {
			found = append(found, c)
		}
	}
	return found
}

func (t *Tracker) probe(ctx context.Context, c RunRecord) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	state, err := t.config.Probe(ctx, c)
	if err != nil {
		counts.Inc("probe_failed")
		return
	}
	switch state {
	case wire.KeyUnknown, wire.KeySealed:
		t.endLost(c, "never_ran", t.config.OnNeverRan)
	case wire.KeyDone:
		billed := false
		t.config.Ledger.View(c.Team, func(s *ledger.State) { billed = s.IsBilled(c.Key) })
		if billed {
			t.endLost(c, "found_billed", t.config.OnResolved)
		}
	}
}

// endLost drops the lost begins of a copy and tells each.
func (t *Tracker) endLost(c RunRecord, reason string, tell func(RunRecord)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.copies[c]
	if state == nil {
		return
	}
	ended := min(state.lost, state.begun)
	state.begun -= ended
	state.lost = 0
	counts.Add(reason, int64(ended))
	for range ended {
		if tell != nil {
			tell(c)
		}
	}
	t.prune(c, state)
}
