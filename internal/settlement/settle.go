package settlement

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/record"
)

// Release implements node.Witness: it returns once every run that the router
// began at the sealed gate is settled in the ledger, by the gate or from the
// copy. A log outage only delays it.
func (t *Tracker) Release(ctx context.Context, sealed ident.Incarnation) error {
	if !t.config.IsSealed(sealed) {
		return errors.Errorf("life %d is not sealed in the router's view", sealed)
	}
	grace := t.graceEnd(sealed)
	ofGate := func(c RunRecord) bool { return c.Gate == sealed }
	for {
		t.sweep()
		open := t.list(ofGate)
		if len(open) == 0 {
			return nil
		}
		for _, c := range open {
			if err := t.settle(ctx, c, !time.Now().Before(grace)); err != nil {
				return err
			}
		}
		if err := pause(ctx, sweepInterval); err != nil {
			return err
		}
	}
}

// graceEnd returns when unfinished runs of a sealed gate are billed at their
// bound. Taking the lock here also lets every earlier Track be over.
func (t *Tracker) graceEnd(sealed ident.Incarnation) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	end, known := t.graceEnds[sealed]
	if !known {
		end = time.Now().Add(UnfinishedGrace)
		t.graceEnds[sealed] = end
	}
	return end
}

// Flush returns once no copy is left, for a graceful stop. Runs that their
// gates do not settle soon are settled here; that is harmless, as the ledger
// bills a run once.
func (t *Tracker) Flush(ctx context.Context) error {
	grace := time.Now().Add(gateGrace)
	for {
		t.sweep()
		open := t.list(func(RunRecord) bool { return true })
		if len(open) == 0 {
			return nil
		}
		if time.Now().After(grace) {
			if t.config.Probe != nil {
				t.probeAll(ctx)
			}
			for _, c := range open {
				if err := t.settle(ctx, c, false); err != nil {
					return err
				}
			}
		}
		if err := pause(ctx, sweepInterval/4); err != nil {
			return errors.Wrapf(err, "%d copies are not settled", t.UnsettledRuns())
		}
	}
}

// settle bills the finished runs of a copy, and those without a known end at
// their bound if asked to.
func (t *Tracker) settle(ctx context.Context, c RunRecord, unfinished bool) error {
	runs := t.take(c, unfinished)
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
		return nil // the copy is kept; the next round settles it again
	}
	t.done(c, runs, verdicts)
	return nil
}

// take lists the runs to settle. Runs without a known end get a number once,
// so that a repeated settlement is recognised.
func (t *Tracker) take(c RunRecord, unfinished bool) []finishedRun {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.copies[c]
	if state == nil {
		return nil
	}
	for unfinished && state.begun > 0 {
		state.begun--
		t.synthetic++
		number := syntheticRun | uint64(t.config.Incarnation())<<24 | t.synthetic
		run := ident.RunID{Gate: c.Gate, Number: number}
		state.finished = append(state.finished, finishedRun{run: run, tokens: c.Bound})
		counts.Inc("billed_at_bound")
	}
	return append([]finishedRun(nil), state.finished...)
}

// done drops the runs on which the ledger has decided.
func (t *Tracker) done(c RunRecord, runs []finishedRun, verdicts []ledger.Verdict) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.copies[c]
	if state == nil {
		return
	}
	for i, f := range runs {
		if !decided(verdicts[i].Outcome) {
			counts.Inc("retry")
			continue
		}
		for j, kept := range state.finished {
			if kept == f {
				state.finished = append(state.finished[:j], state.finished[j+1:]...)
				if verdicts[i].Outcome == ledger.AlreadyBilled {
					t.unbilled(c, f)
				}
				t.resolved(c, "settled_here")
				break
			}
		}
	}
	t.prune(c, state)
}

// decided reports whether a verdict on a settlement is final.
func decided(outcome ledger.Outcome) bool {
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

func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
