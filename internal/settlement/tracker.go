// Package settlement keeps a router's copies of the runs that it began. The
// side process of a run settles it; the router's copy stays until the ledger
// shows that. Only when the life of the gate is sealed does the router settle
// the copy itself, before it acknowledges the seal.
//
// What is billed from a copy: the usage that the gate reported at the end of
// the run, or the run's whole bound if the router has not seen its end. The
// gate may still be running such a run behind a cut and can use up to the
// bound. If the gate settles it first, its count stands: the ledger bills a
// run and a key once.
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

// Times of the tracker.
const (
	// UnfinishedGrace is how long a sealed gate may take to settle a run of
	// which the router has not seen the end, before it is billed at its
	// bound.
	UnfinishedGrace = 5 * time.Minute
	// gateGrace is how long a gate may take to settle a finished run when the
	// router stops, before the router settles it.
	gateGrace     = 3 * time.Second
	sweepInterval = time.Second
	submitTimeout = 30 * time.Second
)

// syntheticRun marks the numbers of settlements of runs whose number the
// router has not learned. Gates never reach such numbers.
const syntheticRun = uint64(1) << 63

var counts = counter.NewSet("settlement_copies")

// RunRecord is the router's own record of a run that it asks a gate to begin.
type RunRecord struct {
	Team    ident.TeamID
	Account ident.AccountID
	Holder  ident.Incarnation
	Gate    ident.Incarnation
	Key     ident.Key
	Bound   int64 // tokens
}

// Ledger is what the tracker needs of the ledger.
type Ledger interface {
	// Submit returns verdicts once the records were read back. After an error
	// they may or may not take effect.
	Submit(ctx context.Context, team ident.TeamID, records ...record.Record) ([]ledger.Verdict, error)
	View(team ident.TeamID, visit func(*ledger.State))
}

// Config holds what a tracker needs. Resolved, Unbilled, Probe and NeverRan may
// be nil.
type Config struct {
	Ledger Ledger
	// Incarnation returns the router's incarnation.
	Incarnation func() ident.Incarnation
	// IsSealed tells of a life that the fleet stream has sealed or ended. Once
	// true it stays true. It must not wait for the ledger.
	IsSealed func(ident.Incarnation) bool
	// OnResolved is told when a copy is dropped because its run stands settled
	// in the ledger; it is called under the tracker's lock and may be nil.
	OnResolved func(RunRecord)
	// OnUnbilled is told of a run whose key was billed for another run: the
	// tokens that it used are still in the holder's grant. It is called under
	// the tracker's lock.
	OnUnbilled func(c RunRecord, tokens int64)
	// Probe asks a gate to seal the key of a copy and returns what its state
	// was. It fails if another life of the gate answers. Without it, lost
	// begins are kept until their gate is sealed.
	Probe func(ctx context.Context, c RunRecord) (wire.KeyState, error)
	// OnNeverRan is told when a lost begin turns out never to have run and the
	// key is sealed at its gate; it is called under the tracker's lock and
	// may be nil.
	OnNeverRan func(RunRecord)
	Logger     zerolog.Logger
}

// Tracker keeps the copies of one router. It is safe for concurrent use.
type Tracker struct {
	config Config
	log    zerolog.Logger

	mu        sync.Mutex // guards all below; Track's check of Sealed is made under it
	copies    map[RunRecord]*tracked
	graceEnds map[ident.Incarnation]time.Time // of sealed gates
	synthetic uint64                          // last number given out
}

// tracked is what is known of the runs of one copy. Equal copies arise when
// two requests have the same key.
type tracked struct {
	begun    int // begins whose end is not known
	lost     int // of these, begins that nobody waits for any more
	finished []finishedRun
	since    ident.Offset // of the ledger, before the first begin
}

type finishedRun struct {
	run    ident.RunID
	tokens int64
}

// New returns a tracker without copies.
func New(config Config) *Tracker {
	return &Tracker{
		config:    config,
		log:       config.Logger.With().Str("part", "settlement").Logger(),
		copies:    map[RunRecord]*tracked{},
		graceEnds: map[ident.Incarnation]time.Time{},
	}
}

// Track keeps a copy before its Begin is sent. False means that the gate's
// life is sealed: nothing may be begun there.
func (t *Tracker) Track(c RunRecord) bool {
	var since ident.Offset
	t.config.Ledger.View(c.Team, func(s *ledger.State) { since = s.Offset() })
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.config.IsSealed(c.Gate) {
		counts.Inc("gate_sealed")
		return false
	}
	state := t.copies[c]
	if state == nil {
		state = &tracked{since: since}
		t.copies[c] = state
	}
	state.begun++
	counts.Inc("tracked")
	return true
}

// NotStarted drops a copy: the gate has not started it and never will.
func (t *Tracker) NotStarted(c RunRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.copies[c]
	if state == nil || state.begun == 0 {
		return
	}
	state.begun--
	state.lost = min(state.lost, state.begun)
	t.prune(c, state)
	counts.Inc("not_started")
}

// Finish adds the final usage of the run.
func (t *Tracker) Finish(c RunRecord, run ident.RunID, usage wire.Usage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.copies[c]
	if state == nil || state.begun == 0 {
		return // resolved meanwhile
	}
	state.begun--
	state.lost = min(state.lost, state.begun)
	state.finished = append(state.finished, finishedRun{run: run, tokens: min(usage.Total(), c.Bound)})
	counts.Inc("finished")
}

// UnsettledRuns returns how many copies are not resolved.
func (t *Tracker) UnsettledRuns() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	open := 0
	for _, state := range t.copies {
		open += state.begun + len(state.finished)
	}
	return open
}

func (t *Tracker) prune(c RunRecord, state *tracked) {
	if state.begun == 0 && len(state.finished) == 0 {
		delete(t.copies, c)
	}
}

// Run drops the copies whose settlement the ledger shows and finds out about
// lost begins, until ctx ends.
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

// sweep drops resolved copies. It never holds the tracker's lock and the
// ledger's at the same time.
func (t *Tracker) sweep() {
	for _, c := range t.list(func(RunRecord) bool { return true }) {
		runs, since := t.finishedRuns(c)
		settled := map[ident.RunID]settlement{}
		keyBilled := false
		t.config.Ledger.View(c.Team, func(s *ledger.State) {
			for _, f := range runs {
				if s.Settled(f.run) {
					settled[f.run] = settlementOf(s, c.Key, f.run, since)
				}
			}
			keyBilled = s.IsBilled(c.Key)
		})
		t.dropSettled(c, settled, keyBilled)
	}
}

// settlement is how the ledger settled a run; zero if it has not.
type settlement uint8

const (
	billed   settlement = iota + 1
	unbilled            // another run of the key was billed
)

// settlementOf tells how a settled run was settled. A bill may have been
// forgotten and another one of its key remembered only if the shard has
// forgotten bills since before the run.
func settlementOf(s *ledger.State, key ident.Key, run ident.RunID, since ident.Offset) settlement {
	bill, known := s.BillFor(key)
	if known && bill.Run != run && s.BillHorizon() <= since {
		return unbilled
	}
	return billed
}

func (t *Tracker) finishedRuns(c RunRecord) ([]finishedRun, ident.Offset) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if state := t.copies[c]; state != nil {
		return append([]finishedRun(nil), state.finished...), state.since
	}
	return nil, 0
}

// dropSettled drops the runs of a copy that the ledger shows as settled. A
// begin whose run is not known is resolved once its key is billed and its gate
// is sealed: a second bill of the key has no effect.
func (t *Tracker) dropSettled(c RunRecord, settled map[ident.RunID]settlement, keyBilled bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.copies[c]
	if state == nil {
		return
	}
	kept := state.finished[:0]
	for _, f := range state.finished {
		if how := settled[f.run]; how != 0 {
			if how == unbilled {
				t.unbilled(c, f)
			}
			t.resolved(c, "seen_settled")
			continue
		}
		kept = append(kept, f)
	}
	state.finished = kept
	if state.begun > 0 && keyBilled && t.config.IsSealed(c.Gate) {
		state.begun = 0
		t.resolved(c, "key_seen_billed")
	}
	t.prune(c, state)
}

func (t *Tracker) resolved(c RunRecord, reason string) {
	counts.Inc(reason)
	if t.config.OnResolved != nil {
		t.config.OnResolved(c)
	}
}

func (t *Tracker) unbilled(c RunRecord, f finishedRun) {
	counts.Inc("unbilled")
	if t.config.OnUnbilled != nil {
		t.config.OnUnbilled(c, f.tokens)
	}
}

func (t *Tracker) list(chosen func(RunRecord) bool) []RunRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []RunRecord
	for c := range t.copies {
		if chosen(c) {
			found = append(found, c)
		}
	}
	return found
}
