package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Kind is a kind of fault.
type Kind string

// Kinds of faults. Those with a span end after it.
const (
	kill       Kind = "kill"       // a router is killed and starts again after the span
	killAll    Kind = "kill-all"   // all routers are
	pause      Kind = "pause"      // a router is stopped by a signal, and goes on
	stop       Kind = "stop"       // a router is told to stop, and starts again once it has
	reload     Kind = "reload"     // a router is told that its settings file changed
	logCut     Kind = "log-cut"    // a router's connections to the log go silent, in the direction Way
	logReset   Kind = "log-reset"  // they are reset, and new ones work
	logDelay   Kind = "log-delay"  // bytes from and to the log are late
	logFault   Kind = "log-fault"  // calls of all routers to the log fail as Way says
	forget     Kind = "forget"     // the log drops its history
	workerCut  Kind = "worker-cut" // a worker's connections go silent, in the direction Way
	crash      Kind = "crash"      // a worker crashes; its entry goes, another comes
	leave      Kind = "leave"      // a worker leaves as planned
	reuse      Kind = "reuse"      // a worker of another service comes at a worker's address
	grey       Kind = "grey"       // a worker fails as Way says
	topUp      Kind = "top-up"     // all accounts get more tokens
	revoke     Kind = "revoke"     // an account's key is replaced
	foreign    Kind = "foreign"    // entries that nobody can read come into the streams
	impatience Kind = "impatience" // callers leave early
	deadly     Kind = "deadly"     // a prompt part crashes workers
	uploads    Kind = "uploads"    // callers send long bodies
	restore    Kind = "restore"    // the log is away for the span and comes back from a copy
)

// Fault is one fault of a schedule.
type Fault struct {
	At   int    `json:"at_ms"` // from the start of the load
	Kind Kind   `json:"kind"`
	For  int    `json:"for_ms,omitempty"`
	N    int    `json:"n,omitempty"` // which router, worker or account
	Way  string `json:"way,omitempty"`
	Age  int    `json:"age_ms,omitempty"` // of a copy of the log
}

// Schedule is what happens in one run.
type Schedule struct {
	Seed   uint64  `json:"seed"`
	Faults []Fault `json:"faults"`
	// OnlyPlanned means that all faults are planned work, or workers that preempt or refuse.
	OnlyPlanned bool `json:"only_planned,omitempty"`
}

// Lengths of a run. Faults end before the load does, so that the callers see
// what the routers make of the time after.
const (
	loadFor    = 9 * time.Second
	faultsTill = 7500 // milliseconds
	longest    = 4500 // milliseconds; outages of the log last as long
)

var ways = map[Kind][]string{
	logCut:    {"both", "up", "down"},
	logFault:  {"503", "429", "reset", "lost", "late", "silent", "garbled"},
	workerCut: {"both", "up", "down"},
	grey:      {"refuse", "fail", "hang-up", "half", "foreign", "extra", "cut-stream", "half-head"},
}

var kinds = []Kind{kill, kill, killAll, pause, pause, stop, reload, logCut, logReset, logDelay, logFault, logFault, logFault, forget,
	workerCut, crash, leave, leave, reuse, grey, grey, topUp, revoke, foreign, impatience}

// One of so many seeds has a deadly prompt part, workers that ask for a pause and say
// that they leave, or workers whose answers are spoiled while callers send long bodies. These
// are not among kinds, so that the schedules of other seeds stay as they were.
const (
	deadlyEvery  = 4
	noticesEvery = 8
	spoiledEvery = 6
)

// spoiledWays are the ways in which workers spoil answers.
var spoiledWays = []string{"noise", "early", "odd-status"}

// draw makes the schedule of a seed: single faults, series of one kind, and
// overlaps.
func draw(seed uint64) Schedule {
	r := rand.New(rand.NewPCG(seed, 0x50a4))
	s := Schedule{Seed: seed}
	for range 3 + r.IntN(6) {
		f := Fault{At: r.IntN(faultsTill), Kind: kinds[r.IntN(len(kinds))], N: r.IntN(12)}
		f.For = min(200+r.IntN(longest), faultsTill-f.At)
		if list := ways[f.Kind]; list != nil {
			f.Way = list[r.IntN(len(list))]
		}
		series := 1
		if r.IntN(4) == 0 {
			series = 2 + r.IntN(3)
		}
		for range series {
			s.Faults = append(s.Faults, f)
			f.At = min(f.At+100+r.IntN(700), faultsTill)
			f.For = min(f.For, faultsTill-f.At)
			f.N++
		}
	}
	if seed%deadlyEvery == deadlyEvery-1 {
		at := r.IntN(faultsTill / 3)
		s.Faults = append(s.Faults, Fault{At: at, Kind: deadly, For: faultsTill - at})
	}
	if seed%noticesEvery == noticesEvery-3 {
		at := r.IntN(faultsTill / 2)
		s.Faults = append(s.Faults,
			Fault{At: at, Kind: grey, Way: "pause", N: 1, For: 2000},
			Fault{At: at + 500, Kind: grey, Way: "say-leaving", N: 2, For: 3000})
	}
	if seed%spoiledEvery == 2 {
		s.Faults = append(s.Faults, Fault{At: 0, Kind: uploads, For: faultsTill})
		for i := range workerCount * len(spoiledWays) {
			s.Faults = append(s.Faults, Fault{At: 200 + r.IntN(faultsTill-2200), Kind: grey, Way: spoiledWays[i%len(spoiledWays)], N: r.IntN(12), For: 500 + r.IntN(1500)})
		}
	}
	s.sort()
	return s
}

func (s *Schedule) sort() {
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return a.At - b.At })
}

// drawRestored makes the schedule of a seed with one or two restores of the log beside its
// other faults.
func drawRestored(seed uint64) Schedule {
	r := rand.New(rand.NewPCG(seed, 0xc0b1))
	s := draw(seed)
	for range 1 + r.IntN(2) {
		s.Faults = append(s.Faults, Fault{At: faultsTill/3 + r.IntN(faultsTill/2), Kind: restore, For: r.IntN(2000), Age: 500 + r.IntN(8500)})
	}
	s.sort()
	return s
}

// drawPlanned makes a schedule of planned work, in series that overlap, while workers preempt runs
// or are full. No answer may be cut then.
func drawPlanned(seed uint64) Schedule {
	r := rand.New(rand.NewPCG(seed, 0x9a05))
	s := Schedule{Seed: seed, OnlyPlanned: true}
	planned := []Kind{stop, stop, reload, topUp}
	for range 3 + r.IntN(4) {
		f := Fault{At: r.IntN(faultsTill - 1500), Kind: planned[r.IntN(len(planned))], N: r.IntN(12)}
		for range 1 + r.IntN(3) {
			s.Faults = append(s.Faults, f)
			f.At += 100 + r.IntN(700)
			f.N++
		}
	}
	for range 4 + r.IntN(6) {
		way := []string{"preempt", "preempt", "refuse"}[r.IntN(3)]
		s.Faults = append(s.Faults, Fault{At: r.IntN(faultsTill - 2500), Kind: grey, Way: way, N: r.IntN(12), For: 1000 + r.IntN(3000)})
	}
	s.sort()
	return s
}

// load reads a schedule from a file that a failed run has left.
func load(path string) (Schedule, error) {
	var s Schedule
	raw, err := os.ReadFile(path)
	if err != nil {
		return s, errors.Wrap(err, "schedule")
	}
	return s, errors.Wrapf(json.Unmarshal(raw, &s), "schedule %s", path)
}

func (s Schedule) save(path string) error {
	raw, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return errors.Wrap(err, "schedule")
	}
	return errors.Wrap(os.WriteFile(path, append(raw, '\n'), 0o644), "schedule")
}

func (f Fault) String() string {
	text := fmt.Sprintf("%s n=%d %s at %d ms for %d ms", f.Kind, f.N, f.Way, f.At, f.For)
	if f.Age > 0 {
		text += fmt.Sprintf(" from a copy %d ms old", f.Age)
	}
	return text
}

// shrink leaves faults out as long as the schedule goes on failing.
func shrink(s Schedule, fails func(Schedule) bool) Schedule {
	for i := 0; i < len(s.Faults); {
		fewer := Schedule{Seed: s.Seed, OnlyPlanned: s.OnlyPlanned, Faults: slices.Delete(slices.Clone(s.Faults), i, i+1)}
		if fails(fewer) {
			s = fewer
		} else {
			i++
		}
	}
	return s
}
