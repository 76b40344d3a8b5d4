package settlement

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/record"
)

// Release implements node.SealBarrier: it returns once every run that the
// router began at the sealed gate is settled in the ledger, by the gate or
// from the router's run record. While the log is unavailable it waits. It
// returns an error if the router's view of the fleet does not show the gate as
// sealed, or if ctx ends.
func (t *Tracker) Release(ctx context.Context, sealed ident.Incarnation) error {
	if !t.config.IsSealed(sealed) {
		return errors.Errorf("incarnation %d is not sealed in the router's view of the fleet", sealed)
	}
	grace := t.graceDeadline(sealed)
	atGate := func(c RunRecord) bool { return c.Gate == sealed }
	for {
		t.sweep()
		remaining := t.recordsMatching(atGate)
		if len(remaining) == 0 {
			return nil
		}
		for _, c := range remaining {
			if err := t.settle(ctx, c, !time.Now().Before(grace)); err != nil {
				return err
			}
		}
		if err := sleep(ctx, sweepInterval); err != nil {
			return err
		}
	}
}

// graceDeadline returns when the unfinished runs of a sealed gate are billed
// at their bound. Because it acquires the lock, every earlier Track has
// finished when it returns.
func (t *Tracker) graceDeadline(sealed ident.Incarnation) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	deadline, known := t.graceDeadlines[sealed]
	if !known {
		deadline = time.Now().Add(UnfinishedGrace)
		t.graceDeadlines[sealed] = deadline
	}
	return deadline
}

// Flush returns once no run record is left; it is used for a graceful stop.
// Runs that their gates do not settle within gateGrace are settled here. That
// is harmless, since the ledger bills a run only once. It returns an error
// with the number of unsettled runs if ctx ends.
func (t *Tracker) Flush(ctx context.Context) error {
	grace := time.Now().Add(gateGrace)
	for {
		t.sweep()
		remaining := t.recordsMatching(func(RunRecord) bool { return true })
		if len(remaining) == 0 {
			return nil
		}
		if time.Now().After(grace) {
			if t.config.Probe != nil {
				t.probeAll(ctx)
			}
			for _, c := range remaining {
				if err := t.settle(ctx, c, false); err != nil {
					return err
				}
			}
		}
		if err := sleep(ctx, sweepInterval/4); err != nil {
			return errors.Wrapf(err, "%d runs are not settled", t.UnsettledRuns())
		}
	}
}

// settle bills the finished runs of a record and, if billUnfinished is set,
// the runs whose end is not known at their bound.
func (t *Tracker) settle(ctx context.Context, c RunRecord, billUnfinished bool) error {
	runs := t.runsToSettle(c, billUnfinished)
	if len(runs) == 0 {
		return nil
	}
	records := make([]record.Record, 0, len(runs))
	for _, f := range runs {
		r, err := record.New(ledger.KindSettle, ledger.Settle{
			Team:    c.Team,
			Account: c.Account,
			Holder:  c.Holder,
			Run:     f.run,
			Key:     c.Key,
			Tokens:  f.tokens,
			Router:  t.config.Incarnation(),
		})
		if err != nil {
			return err
		}
		records = append(records, r)
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	verdicts, err := t.config.Ledger.Submit(ctx, c.Team, records...)
	if err != nil {
		counts.Inc("retry")
		return nil // the record is kept and settled again in the next round
	}
	t.dropDecided(c, runs, verdicts)
	return nil
}

// runsToSettle returns the runs to settle. With billUnfinished it turns the
// unfinished runs into finished ones that used their whole bound. Each gets a
// synthetic run number once, so that the ledger recognises a repeated
// settlement.
func (t *Tracker) runsToSettle(c RunRecord, billUnfinished bool) []finishedRun {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.records[c]
	if state == nil {
		return nil
	}
	for billUnfinished && state.unfinished > 0 {
		state.unfinished--
		t.lastSynthetic++
		number := syntheticRunBit | uint64(t.config.Incarnation())<<24 | t.lastSynthetic
		run := ident.RunID{Gate: c.Gate, Number: number}
		state.finished = append(state.finished, finishedRun{run: run, tokens: c.Bound})
		counts.Inc("billed_at_bound")
	}
	return append([]finishedRun(nil), state.finished...)
}

// dropDecided drops the runs for which the ledger has returned a final
// verdict.
func (t *Tracker) dropDecided(c RunRecord, runs []finishedRun, verdicts []ledger.Verdict) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.records[c]
	if state == nil {
		return
	}
	for i, f := range runs {
		if !isFinal(verdicts[i].Outcome) {
			counts.Inc("retry")
			continue
		}
		for j, kept := range state.finished {
			if kept == f {
				state.finished = append(state.finished[:j], state.finished[j+1:]...)
				if verdicts[i].Outcome == ledger.AlreadyBilled {
					t.notifyUnbilled(c, f)
				}
				t.notifyResolved(c, "settled_here")
				break
			}
		}
	}
	t.prune(c, state)
}

// isFinal reports whether a verdict on a settlement is final, and counts
// refusals.
func isFinal(outcome ledger.Outcome) bool {
	switch outcome {
	case ledger.Accepted, ledger.Repeated, ledger.AlreadyBilled:
		return true
	case ledger.RefusedClosed, ledger.RefusedInvalid:
		counts.Inc("refused")
		return true
	default:
		return false
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
