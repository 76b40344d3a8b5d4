// Package settlement keeps a router's records of the runs that it began. The
// side process of a run's gate settles the run; the router keeps its record
// until the ledger shows the settlement. Only when the incarnation of the gate
// is sealed does the router settle the run itself, before it acknowledges the
// seal.
//
// The router bills the usage that the gate reported at the end of the run, or
// the run's whole bound if the router has not seen its end: the gate may be
// partitioned from the router and still be executing the run, which can use up
// to its bound. If the gate settles the run first, the gate's count is billed:
// the ledger bills a run and a key only once.
package settlement

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/record"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// Timing of the tracker.
const (
	// UnfinishedGrace is how long a sealed gate has to settle a run whose end
	// the router has not seen. After that the run is billed at its bound.
	UnfinishedGrace = 5 * time.Minute
	// gateGrace is how long a gate has to settle a finished run while the
	// router is stopping. After that the router settles it.
	gateGrace     = 3 * time.Second
	sweepInterval = time.Second
	submitTimeout = 30 * time.Second
)

// syntheticRunBit is set in the run numbers that the router makes up to settle
// runs whose number it has not learned. Gates never allocate numbers that
// large.
const syntheticRunBit = uint64(1) << 63

var counts = counter.NewSet("settlement_copies")

// RunRecord is the router's own record of a run that it asks a gate to begin.
type RunRecord struct {
	Team    ident.TeamID
	Account ident.AccountID
	Holder  ident.Incarnation // router whose grant pays
	Gate    ident.Incarnation
	Key     ident.Key
	Bound   int64 // maximum of the tokens that the run uses
}

// Ledger is the part of the ledger that the tracker uses.
type Ledger interface {
	// Submit appends records and returns their verdicts once they were read
	// back. After an error it is unknown whether they take effect.
	Submit(ctx context.Context, team ident.TeamID, records ...record.Record) ([]ledger.Verdict, error)
	// View calls visit with the ledger state of the team's shard, under the
	// ledger's lock.
	View(team ident.TeamID, visit func(*ledger.State))
}

// Config holds the dependencies of a tracker. OnResolved, OnUnbilled, Probe
// and OnNeverRan may be nil. The three callbacks are called under the
// tracker's lock.
type Config struct {
	Ledger Ledger
	// Incarnation returns the router's own incarnation.
	Incarnation func() ident.Incarnation
	// IsSealed reports whether the fleet stream shows an incarnation as sealed
	// or ended. Once true it stays true. It must not wait for the ledger.
	IsSealed func(ident.Incarnation) bool
	// OnResolved is called for each run that is dropped because the ledger
	// shows it as settled, and once for all unfinished runs of a record that
	// are dropped because their key is billed and their gate is sealed.
	OnResolved func(RunRecord)
	// OnUnbilled is called for a run that is not billed because another run of
	// its key was. The tokens that it used are still in the holder's grant.
	OnUnbilled func(c RunRecord, tokens int64)
	// Probe asks a gate to seal the key of a record and returns the state that
	// the key had. It fails if another incarnation of the gate responds. If
	// Probe is nil, runs of unknown outcome are kept until their gate is
	// sealed.
	Probe func(ctx context.Context, c RunRecord) (wire.KeyState, error)
	// OnNeverRan is called for a run of unknown outcome that turns out never
	// to have started, after its key was sealed at the gate.
	OnNeverRan func(RunRecord)
	Logger     zerolog.Logger
}

// Tracker keeps the run records of one router. It is safe for concurrent use.
type Tracker struct {
	config Config
	log    zerolog.Logger

	mu             sync.Mutex // guards all fields below; Track checks IsSealed under it
	records        map[RunRecord]*recordState
	graceDeadlines map[ident.Incarnation]time.Time // by sealed gate
	lastSynthetic  uint64                          // last synthetic run number without its prefix
}

// recordState is the state of the runs of one record. Two requests with the
// same key have equal records and share a state.
type recordState struct {
	unfinished   int // runs whose end is not known
	abandoned    int // unfinished runs that no request waits for any more
	finished     []finishedRun
	ledgerOffset ident.Offset // offset of the ledger before the first Begin
}

type finishedRun struct {
	run    ident.RunID
	tokens int64
}

// New returns a tracker without records.
func New(config Config) *Tracker {
	return &Tracker{
		config:         config,
		log:            config.Logger.With().Str("part", "settlement").Logger(),
		records:        map[RunRecord]*recordState{},
		graceDeadlines: map[ident.Incarnation]time.Time{},
	}
}

// Track stores a record before its Begin is sent. It returns false if the
// gate's incarnation is sealed; then no run may be begun there.
func (t *Tracker) Track(c RunRecord) bool {
	var ledgerOffset ident.Offset
	t.config.Ledger.View(c.Team, func(s *ledger.State) { ledgerOffset = s.Offset() })
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.config.IsSealed(c.Gate) {
		counts.Inc("gate_sealed")
		return false
	}
	state := t.records[c]
	if state == nil {
		state = &recordState{ledgerOffset: ledgerOffset}
		t.records[c] = state
	}
	state.unfinished++
	counts.Inc("tracked")
	return true
}

// NotStarted drops one run of a record: the gate has not started it and never
// will.
func (t *Tracker) NotStarted(c RunRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.records[c]
	if state == nil || state.unfinished == 0 {
		return
	}
	state.unfinished--
	state.abandoned = min(state.abandoned, state.unfinished)
	t.prune(c, state)
	counts.Inc("not_started")
}

// Finish records the number and the final usage of a run.
func (t *Tracker) Finish(c RunRecord, run ident.RunID, usage wire.Usage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.records[c]
	if state == nil || state.unfinished == 0 {
		return // already resolved
	}
	state.unfinished--
	state.abandoned = min(state.abandoned, state.unfinished)
	state.finished = append(state.finished, finishedRun{run: run, tokens: min(usage.Total(), c.Bound)})
	counts.Inc("finished")
}

// UnsettledRuns returns the number of runs that are not known to be settled.
func (t *Tracker) UnsettledRuns() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for _, state := range t.records {
		count += state.unfinished + len(state.finished)
	}
	return count
}

// prune deletes a record without runs. It requires t.mu.
func (t *Tracker) prune(c RunRecord, state *recordState) {
	if state.unfinished == 0 && len(state.finished) == 0 {
		delete(t.records, c)
	}
}

// Run drops runs whose settlement the ledger shows and probes runs of unknown
// outcome, until ctx ends.
func (t *Tracker) Run(ctx context.Context) {
	var probes conc.WaitGroup
	defer probes.Wait()
	if t.config.Probe != nil {
		probes.Go(func() { t.probeLoop(ctx) })
	}
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			t.sweep()
		case <-ctx.Done():
			return
		}
	}
}

// sweep drops the runs that the ledger shows as settled. It never holds the
// tracker's lock and the ledger's lock at the same time.
func (t *Tracker) sweep() {
	for _, c := range t.recordsMatching(func(RunRecord) bool { return true }) {
		runs, ledgerOffset := t.finishedRuns(c)
		settled := map[ident.RunID]settlementKind{}
		keyBilled := false
		t.config.Ledger.View(c.Team, func(s *ledger.State) {
			for _, f := range runs {
				if s.Settled(f.run) {
					settled[f.run] = settlementKindOf(s, c.Key, f.run, ledgerOffset)
				}
			}
			keyBilled = s.IsBilled(c.Key)
		})
		t.dropSettled(c, settled, keyBilled)
	}
}

// settlementKind says how the ledger settled a run. It is zero if the run is
// not settled.
type settlementKind uint8

const (
	billedToThisRun     settlementKind = iota + 1
	keyBilledToOtherRun                // not billed, since another run of the key was
)

// settlementKindOf returns how a settled run was settled. A bill of the key
// for another run shows that this run was not billed only if the shard still
// remembers all bills since before the run began; otherwise the run's own bill
// may be a forgotten one. In that case the run counts as billed.
func settlementKindOf(s *ledger.State, key ident.Key, run ident.RunID, ledgerOffset ident.Offset) settlementKind {
	bill, known := s.BillFor(key)
	if known && bill.Run != run && s.BillHorizon() <= ledgerOffset {
		return keyBilledToOtherRun
	}
	return billedToThisRun
}

func (t *Tracker) finishedRuns(c RunRecord) ([]finishedRun, ident.Offset) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if state := t.records[c]; state != nil {
		return append([]finishedRun(nil), state.finished...), state.ledgerOffset
	}
	return nil, 0
}

// dropSettled drops the runs of a record that the ledger shows as settled. The
// runs that have not finished are dropped once their key is billed and their
// gate is sealed: the ledger ignores a second bill of the key.
func (t *Tracker) dropSettled(c RunRecord, settled map[ident.RunID]settlementKind, keyBilled bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.records[c]
	if state == nil {
		return
	}
	kept := state.finished[:0]
	for _, f := range state.finished {
		if kind := settled[f.run]; kind != 0 {
			if kind == keyBilledToOtherRun {
				t.notifyUnbilled(c, f)
			}
			t.notifyResolved(c, "seen_settled")
			continue
		}
		kept = append(kept, f)
	}
	state.finished = kept
	if state.unfinished > 0 && keyBilled && t.config.IsSealed(c.Gate) {
		state.unfinished = 0
		t.notifyResolved(c, "key_seen_billed")
	}
	t.prune(c, state)
}

func (t *Tracker) notifyResolved(c RunRecord, reason string) {
	counts.Inc(reason)
	if t.config.OnResolved != nil {
		t.config.OnResolved(c)
	}
}

func (t *Tracker) notifyUnbilled(c RunRecord, f finishedRun) {
	counts.Inc("unbilled")
	if t.config.OnUnbilled != nil {
		t.config.OnUnbilled(c, f.tokens)
	}
}

func (t *Tracker) recordsMatching(match func(RunRecord) bool) []RunRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []RunRecord
	for c := range t.records {
		if match(c) {
			found = append(found, c)
		}
	}
	return found
}
