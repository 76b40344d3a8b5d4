package settlement

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// Timing and concurrency of the probes.
const (
	probeInterval       = 5 * time.Second
	probeTimeout        = 3 * time.Second
	maxConcurrentProbes = 8
)

// OutcomeUnknown reports that the reply or the answer of one Begin was lost
// and no request waits for it any more, so that it is not known whether the
// run was started or how it ended. The tracker finds out by probing the gate.
// Without that, the reservation of a run that was never started would be held
// until the gate's incarnation is sealed.
func (t *Tracker) OutcomeUnknown(c RunRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if state := t.records[c]; state != nil && state.abandoned < state.unfinished {
		state.abandoned++
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

// probeAll probes the gates of all runs whose outcome is unknown, except
// sealed gates.
func (t *Tracker) probeAll(ctx context.Context) {
	probes := pool.New().WithMaxGoroutines(maxConcurrentProbes)
	for _, c := range t.recordsToProbe() {
		if !t.config.IsSealed(c.Gate) {
			probes.Go(func() { t.probe(ctx, c) })
		}
	}
	probes.Wait()
}

func (t *Tracker) recordsToProbe() []RunRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []RunRecord
	for c, state := range t.records {
		if state.abandoned > 0 {
			found = append(found, c)
		}
	}
	return found
}

// probe asks the gate for the state of one record's key. It drops the record's
// abandoned Begins if the gate has never started a run of the key, or if the key
// is billed.
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
		t.resolveAbandoned(c, "never_ran", t.config.OnNeverRan)
	case wire.KeyDone:
		billed := false
		t.config.Ledger.View(c.Team, func(s *ledger.State) { billed = s.IsBilled(c.Key) })
		if billed {
			t.resolveAbandoned(c, "found_billed", t.config.OnResolved)
		}
	}
}

// resolveAbandoned drops the abandoned Begins of a record and calls notify, if
// it is not nil, once for each.
func (t *Tracker) resolveAbandoned(c RunRecord, reason string, notify func(RunRecord)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.records[c]
	if state == nil {
		return
	}
	ended := min(state.abandoned, state.unfinished)
	state.unfinished -= ended
	state.abandoned = 0
	counts.Add(reason, int64(ended))
	for range ended {
		if notify != nil {
			notify(c)
		}
	}
	t.prune(c, state)
}
