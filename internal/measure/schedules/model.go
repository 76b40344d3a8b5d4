// Package schedules runs routers' grants, the ledger fold and a model of the
// gates' protocol through random schedules of faults, and checks after every
// step that no budget can be exceeded and every finished run is billed once.
package schedules

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/record"
)

// Rule is the proof that is asked for before a holder's grants are freed.
type Rule uint8

// The proofs that can be tried. Only RuleProof is safe.
const (
	// RuleProof: every side process has deregistered, has acknowledged the
	// holder's seal, or is sealed and every router has acknowledged that; a
	// destroyed router counts as having done so only if the side process is
	// destroyed too.
	RuleProof Rule = iota
	// RuleSplitDestroyed lets a destroyed side process stand in no one's way,
	// and a destroyed router in no sealed side process's.
	RuleSplitDestroyed
	// RuleListed frees the grants of a holder that is gone from the VM list.
	RuleListed
)

// Fault is a deliberate error of a process, to show that the checks find it.
type Fault uint8

// The faults that can be tried.
const (
	NoFault             Fault = iota
	FaultGateIgnores          // gates start runs under sealed holders and routers
	FaultUnread               // new side processes start runs before they have read the fleet stream
	FaultEarlyAck             // side processes acknowledge with runs in progress
	FaultFreeHeld             // routers free reservations of unknown outcome when they acknowledge
	FaultNoWitness            // routers acknowledge without settling their copies
	FaultHeldForNothing       // routers take a run of unknown outcome for not run once its gate is closed
	FaultPartialRelease       // routers free the rest of an unfinished run before its settlement is known
)

// Options shape a schedule.
type Options struct {
	Steps int
	Rule  Rule
	Fault Fault
}

const team ident.TeamID = "team"

// entry is one entry of the ledger stream, with what the fold made of it.
type entry struct {
	data []byte
}

// model is one schedule.
type model struct {
	options Options
	rng     *rand.Rand
	now     time.Time
	log     []entry
	fleet   []fleetEvent
	truth   *ledger.State // at the end of the log
	twin    *ledger.State // the same, but reloaded from snapshots at times
	routers []*router
	sides   []*side
	cuts    map[link]bool
	late    []func() // messages that are delivered at some later step
	topUps  int
	scale   int64 // of the top-ups, against bounds of up to 100 tokens
	keys    int
	runs    map[ident.RunID]*run
	bills   map[ident.RunID]int
	paid    map[ident.Key]int
	author  *process // appends top-ups
	listed  map[ident.Incarnation]bool
	seen    *fleetFold // at the end of the fleet stream
}

// link is a pair of processes, the smaller incarnation first.
type link struct{ a, b ident.Incarnation }

func linkOf(a, b ident.Incarnation) link {
	return link{a: min(a, b), b: max(a, b)}
}

const (
	routerCount = 3
	sideCount   = 2
)

func newModel(seed uint64, options Options) *model {
	m := &model{
		options: options,
		rng:     rand.New(rand.NewPCG(seed, 4)),
		now:     time.Unix(1e9, 0),
		truth:   ledger.New(0, 1),
		twin:    ledger.New(0, 1),
		scale:   1 + 4*int64(seed%2),
		cuts:    map[link]bool{},
		runs:    map[ident.RunID]*run{},
		bills:   map[ident.RunID]int{},
		paid:    map[ident.Key]int{},
		listed:  map[ident.Incarnation]bool{},
		seen:    newFleetFold(),
	}
	for range routerCount {
		m.startRouter()
	}
	for range sideCount {
		m.startSide()
	}
	m.author = m.routers[0].process
	m.topUp()
	return m
}

// chance is true in n of 100 cases.
func (m *model) chance(n int) bool {
	return m.rng.IntN(100) < n
}

// append writes to the ledger stream and keeps the books of the checks.
func (m *model) append(data []byte) {
	offset := ident.Offset(len(m.log))
	m.log = append(m.log, entry{data: data})
	verdicts := m.truth.Apply(offset, data)
	m.twin.Apply(offset, data)
	batch, err := record.Unmarshal(data)
	if err != nil {
		return
	}
	for i, r := range batch.Records {
		if r.Kind != ledger.KindSettle || verdicts[i].Outcome != ledger.Accepted {
			continue
		}
		body, err := record.Decode[ledger.Settle](r)
		if err != nil {
			continue
		}
		m.bills[body.Run]++
		if verdicts[i].Tokens > 0 {
			m.paid[body.Key]++
		}
	}
}

// Run plays one schedule and returns the first violation, nil if there is none.
func Run(seed uint64, options Options) error {
	m := newModel(seed, options)
	for step := range options.Steps {
		name := m.step()
		if err := m.check(); err != nil {
			return fmt.Errorf("seed %d step %d (%s): %w", seed, step, name, err)
		}
	}
	if err := m.finish(); err != nil {
		return fmt.Errorf("seed %d at the end: %w", seed, err)
	}
	return nil
}
