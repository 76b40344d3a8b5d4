// Package soak plays random faults on real router processes, and checks what
// callers and backend servers see against what the deployment promises. The
// processes run in real time, so load, faults and their ends are timed by sleeps;
// nothing is asserted about how long a sleep took.
package soak

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	seeds   = flag.Uint64("soak.seeds", 3, "how many seeds to play")
	first   = flag.Uint64("soak.first", 1, "first seed; 0 takes fresh ones from the clock")
	keepDir = flag.String("soak.dir", "", "where failed runs leave schedule and logs; the system's place for temporary files if empty")
	replay  = flag.String("soak.replay", "", "schedule file to play instead of seeds")
	smaller = flag.Bool("soak.shrink", false, "leave faults out of the replayed schedule as long as it fails")
	guards  = flag.Bool("soak.guards", false, "take guards out and look for a seed that finds it")
)

var binary string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "camphor-soak")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "camphor-entry")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/camphor-entry").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// playOnce plays a schedule with a program and returns what was broken. A failed
// run leaves its schedule, its verdict and the logs in one folder.
func playOnce(t testing.TB, program string, s Schedule) []string {
	dir, err := os.MkdirTemp(*keepDir, fmt.Sprintf("camphor-soak-seed-%d-", s.Seed))
	require.NoError(t, err)
	w, err := newWorld(dir, program)
	require.NoError(t, err, "logs are in %s", dir)
	broken := w.play(s)
	if len(broken) == 0 {
		require.NoError(t, os.RemoveAll(dir))
		return nil
	}
	require.NoError(t, s.save(filepath.Join(dir, "schedule.json")))
	require.NoError(t, os.WriteFile(filepath.Join(dir, "broken.txt"), []byte(strings.Join(broken, "\n")+"\n"), 0o644))
	t.Logf("seed %d broke %d promises, see %s", s.Seed, len(broken), dir)
	return broken
}

// regressions are seeds that have failed, with the cause.
var regressions = map[uint64]string{
	1009: "a stop that gave tokens back outlasted the grace period",
	42:   "an append was taken for done though its reply was no reply; other routers drew the same tokens again",
}

func TestRegressions(t *testing.T) {
	if *replay != "" || *guards {
		t.Skip("another run was asked for")
	}
	for seed, cause := range regressions {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := draw(seed)
			requireKept(t, playOnce(t, binary, s), s)
			t.Log("had failed since", cause)
		})
	}
}

// shown is how many broken promises a failure names.
const shown = 5

func requireKept(t testing.TB, broken []string, s Schedule) {
	require.Empty(t, broken[:min(shown, len(broken))], "seed %d, faults %v", s.Seed, s.Faults)
}

func TestSoak(t *testing.T) { playSeeds(t, draw) }

// TestSoakWithRestores plays the same seeds on a log that comes back from older copies.
func TestSoakWithRestores(t *testing.T) { playSeeds(t, drawRestored) }

// TestSoakWithPreemption plays seeds with planned work while workers preempt runs or are full.
func TestSoakWithPreemption(t *testing.T) { playSeeds(t, drawPlanned) }

func playSeeds(t *testing.T, draw func(seed uint64) Schedule) {
	if *replay != "" || *guards {
		t.Skip("another run was asked for")
	}
	from := *first
	if from == 0 {
		from = uint64(time.Now().Unix())
	}
	for seed := from; seed < from+*seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := draw(seed)
			requireKept(t, playOnce(t, binary, s), s)
		})
	}
}

func TestReplay(t *testing.T) {
	if *replay == "" {
		t.Skip("no schedule was given")
	}
	s, err := load(*replay)
	require.NoError(t, err)
	if *smaller {
		s = shrink(s, func(fewer Schedule) bool { return len(playOnce(t, binary, fewer)) > 0 })
		require.NoError(t, s.save(*replay+".shrunk"))
	}
	requireKept(t, playOnce(t, binary, s), s)
}
