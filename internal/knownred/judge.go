package knownred

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// ExitMark begins the line, after the last event, that tells the exit status
// of go test.
const ExitMark = "go-test-exit "

// maxLineBytes bounds one event.
const maxLineBytes = 4 << 20

// event is one line of "go test -json".
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// Verdict is what became of a test run.
type Verdict struct {
	Failed  []string // every failure that the list does not cover
	Covered []Entry  // listed and failed
	Passed  []Entry  // listed and passed
	NotRun  []Entry  // listed and not run
}

// OK reports whether only listed tests failed.
func (v Verdict) OK() bool {
	return len(v.Failed) == 0
}

// judge collects the events of one run.
type judge struct {
	module  string
	out     io.Writer
	results map[Test]string // last action of each top-level test
	output  map[Test]*strings.Builder
	broken  map[string]bool // packages that failed by more than a test
	failed  map[string]bool // packages that failed
	exit    int
	exited  bool
}

// Judge reads the events of a run from r and prints what go test prints
// without -json: a line a package, and the output of what failed.
func Judge(r io.Reader, out io.Writer, module string, list []Entry) (Verdict, error) {
	j := &judge{
		module:  module,
		out:     out,
		results: map[Test]string{},
		output:  map[Test]*strings.Builder{},
		broken:  map[string]bool{},
		failed:  map[string]bool{},
	}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		j.line(lines.Text())
	}
	if err := lines.Err(); err != nil {
		return Verdict{}, errors.Wrap(err, "read events")
	}
	return j.verdict(list), nil
}

func (j *judge) line(text string) {
	if status, ok := strings.CutPrefix(text, ExitMark); ok {
		exit, err := strconv.Atoi(status)
		j.exit, j.exited = exit, err == nil
		return
	}
	var e event
	if !strings.HasPrefix(text, "{") || json.Unmarshal([]byte(text), &e) != nil {
		fmt.Fprintln(j.out, text) // of the go command itself
		return
	}
	e.Package = strings.TrimPrefix(strings.TrimPrefix(e.Package, j.module), "/")
	if e.Test == "" {
		j.packageEvent(e)
		return
	}
	j.testEvent(e)
}

func (j *judge) packageEvent(e event) {
	switch e.Action {
	case "output", "build-output":
		if breaks(e.Output) {
			j.broken[e.Package] = true
		}
		if e.Output != "PASS\n" {
			fmt.Fprint(j.out, e.Output)
		}
	case "fail":
		j.failed[e.Package] = true
	}
}

func (j *judge) testEvent(e event) {
	name, _, isSub := strings.Cut(e.Test, "/")
	test := Test{Package: e.Package, Name: name}
	switch e.Action {
	case "output":
		if breaks(e.Output) {
			j.broken[e.Package] = true
		}
		if j.output[test] == nil {
			j.output[test] = &strings.Builder{}
		}
		j.output[test].WriteString(e.Output)
	case "run", "pass", "fail", "skip":
		if isSub {
			return
		}
		j.results[test] = e.Action
		if e.Action == "fail" {
			fmt.Fprint(j.out, j.output[test])
		}
		if e.Action != "run" {
			delete(j.output, test)
		}
	}
}

// breaks reports whether a line of output tells of an end of the whole test
// program, after which tests of the package may not have run.
func breaks(output string) bool {
	if strings.HasPrefix(output, "panic: ") || strings.HasPrefix(output, "fatal error: ") || strings.HasPrefix(output, "signal: ") {
		return true
	}
	status, ok := strings.CutPrefix(output, "exit status ")
	return ok && strings.TrimSpace(status) != "1"
}

func (j *judge) verdict(list []Entry) Verdict {
	var v Verdict
	listed := map[Test]bool{}
	for _, entry := range list {
		listed[entry.Test] = true
		switch j.results[entry.Test] {
		case "pass":
			v.Passed = append(v.Passed, entry)
		case "fail":
			v.Covered = append(v.Covered, entry)
		default:
			v.NotRun = append(v.NotRun, entry)
		}
	}
	failures := map[string]int{} // failed tests by package
	for test, action := range j.results {
		if action == "run" && j.output[test] != nil {
			fmt.Fprint(j.out, j.output[test]) // the program ended within it
		}
		if action == "fail" {
			failures[test.Package]++
		}
		if action == "fail" && !listed[test] {
			v.Failed = append(v.Failed, test.Package+" "+test.Name)
		}
		if action == "run" {
			v.Failed = append(v.Failed, test.Package+" "+test.Name+" (did not end)")
		}
	}
	for name := range j.failed {
		if j.broken[name] || failures[name] == 0 {
			v.Failed = append(v.Failed, name+" (build, panic, timeout or race outside a test)")
		}
	}
	if !j.exited || j.exit != 0 && len(j.failed) == 0 {
		v.Failed = append(v.Failed, fmt.Sprintf("go test (exit status %d, told: %v)", j.exit, j.exited))
	}
	sort.Strings(v.Failed)
	return v
}
