package soak

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// guard is a line of the program that keeps a promise, and what stands there
// when it is taken out.
type guard struct {
	name    string
	file    string
	line    string
	without string
	faults  []Fault                    // that find it; random ones if there are none
	draw    func(seed uint64) Schedule // makes the random ones; draw if nil
}

var guardList = []guard{
	{
		name: "outcome of an append is read back", file: "internal/prepaid/ledger.go",
		line:    "		if !errors.Is(err, logservice.ErrMoved) {\n",
		without: "		if !errors.Is(err, logservice.ErrMoved) {\n			l.recordWrite(planned, at+ident.Offset(len(batch)))\n			if true {\n				return true, nil\n			}\n",
	},
	{
		name: "append only at the end that was read", file: "platform/log.go",
		line:    `, "at": {strconv.FormatInt(int64(offset), 10)}}`,
		without: "}\n	_ = offset",
	},
	{
		name: "expected instance", file: "platform/request.go",
		line: "	out.Set(headerExpectServer, request.Server.ID)\n",
	},
	{
		name: "a leaving server gets nothing new", file: "internal/membership/publish.go",
		line:    "usable := !e.removed && !current.Draining && !e.leaving\n",
		without: "usable := !e.removed\n",
		faults:  []Fault{{At: 500, Kind: leave}, {At: 3500, For: 4000, Kind: logFault, Way: "503"}},
	},
	{
		name: "not run only if that is known", file: "internal/filter/forward/attempt.go",
		line:    "	if o != notExecuted {\n",
		without: "	if o != notExecuted && o != failed {\n",
	},
	{
		name: "a silent server is kept until another one has answered", file: "internal/filter/forward/hedge.go",
		line:    "	received, r := h.run.receive(a, other.events)\n",
		without: "	h.attempt.cancel(errServerSilent)\n	received, r := h.run.receive(a, other.events)\n",
		draw:    drawPlanned,
	},
	{
		name: "an answer names its request", file: "internal/upstream/exchange.go",
		line:    "if info.Attempt == req.Attempt {",
		without: "if true {",
		faults:  []Fault{{At: 500, For: 3000, N: 0, Kind: grey, Way: "foreign"}, {At: 500, For: 3000, N: 1, Kind: grey, Way: "extra"}},
	},
	{
		name: "a part that crashes servers is withheld", file: "internal/quarantine/tracker.go",
		line:    "	if len(t.quarantined) == 0 {\n",
		without: "	if true {\n",
		faults:  []Fault{{At: 500, For: 6500, Kind: deadly}},
	},
	{
		name: "a server that asks for a pause gets nothing", file: "internal/affinity/affinity.go",
		line: "			if n.isPaused(now) {\n				continue\n			}\n",
		faults: []Fault{{At: 500, For: 4000, N: 0, Kind: grey, Way: "pause"}, {At: 500, For: 4000, N: 1, Kind: grey, Way: "pause"},
			{At: 500, For: 4000, N: 2, Kind: grey, Way: "pause"}, {At: 500, For: 4000, N: 3, Kind: grey, Way: "pause"}},
	},
	{
		name: "a server that says that it leaves gets nothing new", file: "internal/entry/sinks.go",
		line:    "{ o.servers.MarkLeaving(server) }",
		without: "{}",
		faults:  []Fault{{At: 300, For: 7000, N: 2, Kind: grey, Way: "say-leaving"}},
	},
	{
		name: "an event without a number waits for the next one", file: "internal/sequence/sequence.go",
		line:    "	return s.judgeUnnumbered(event.ID, len(raw))\n",
		without: "	_ = s.judgeUnnumbered\n	return sendEvent, s.count(1)\n",
		faults:  onAllWorkers("noise"),
	},
	{
		name: "a reset while the request is written is no end", file: "internal/upstream/exchange.go",
		line:    "	if e.requestWrite.err != nil {\n",
		without: "	if false {\n",
		faults:  append(onAllWorkers("early"), Fault{Kind: uploads, For: 7300}),
	},
	{
		name: "only statuses of the protocol answer", file: "internal/upstream/conn.go",
		line:    "		if !isInterim || status == http.StatusSwitchingProtocols {\n",
		without: "		if isInterim && false {\n",
		faults:  onAllWorkers("odd-status"),
	},
}

// onAllWorkers spoils the answers of all workers that are there at first. Which of them gets most
// streams follows from their names.
func onAllWorkers(way string) (faults []Fault) {
	for n := range workerCount {
		faults = append(faults, Fault{At: 300, For: 7000, N: n, Kind: grey, Way: way})
	}
	return faults
}

// seedsEach is how many seeds look for a guard that is missing.
const seedsEach = 30

// TestGuardsAreMissed takes one guard out at a time and looks for a seed that
// finds it.
func TestGuardsAreMissed(t *testing.T) {
	if !*guards {
		t.Skip("takes many minutes; asked for with -soak.guards")
	}
	for _, g := range guardList {
		t.Run(g.name, func(t *testing.T) {
			t.Parallel()
			program := g.build(t)
			for seed := *first; seed < *first+seedsEach; seed++ {
				makeSchedule := draw
				if g.draw != nil {
					makeSchedule = g.draw
				}
				s := makeSchedule(seed)
				if g.faults != nil {
					s.Faults = g.faults
				}
				if broken := playOnce(t, program, s); len(broken) > 0 {
					fmt.Printf("guard %q is missed by seed %d: %s\n", g.name, seed, broken[0])
					return
				}
			}
			t.Errorf("no seed of %d misses it", seedsEach)
		})
	}
}

// build compiles the program without the guard.
func (g guard) build(t *testing.T) string {
	root, err := filepath.Abs("../..")
	require.NoError(t, err)
	dir := t.TempDir()
	path := filepath.Join(root, g.file)
	raw, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, 1, strings.Count(string(raw), g.line), "the guard has moved")
	changed := filepath.Join(dir, filepath.Base(g.file))
	require.NoError(t, os.WriteFile(changed, []byte(strings.Replace(string(raw), g.line, g.without, 1)), 0o644))
	overlay, err := json.Marshal(map[string]any{"Replace": map[string]string{path: changed}})
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(filepath.Join(dir, "overlay.json"), overlay, 0o644))
	program := filepath.Join(dir, "camphor-entry")
	out, err := exec.Command("go", "build", "-overlay", filepath.Join(dir, "overlay.json"), "-o", program, "../../cmd/camphor-entry").CombinedOutput()
	require.NoError(t, err, string(out))
	return program
}
