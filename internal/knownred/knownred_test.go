package knownred

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const list = `# comment
internal/gate TestSeal | go test ./internal/gate | started twice | 4
`

func events(lines ...string) string {
	var all strings.Builder
	for _, line := range lines {
		f := strings.SplitN(line, " ", 3) // action, test or -, output
		test, output := f[1], ""
		if test == "-" {
			test = ""
		}
		if len(f) > 2 {
			output = f[2] + "\n"
		}
		fmt.Fprintf(&all, `{"Action":%q,"Package":"m/internal/gate","Test":%q,"Output":%q}`+"\n", f[0], test, output)
	}
	return all.String()
}

func TestOnlyListedFailuresArePassedOver(t *testing.T) {
	for _, c := range []struct {
		name   string
		input  string
		failed string // empty: the run is taken
		listed string // what became of the listed test
	}{
		{"all pass", events("run TestSeal", "pass TestSeal", "pass -") + ExitMark + "0", "", "passed"},
		{"listed fails", events("run TestSeal", "fail TestSeal/a", "fail TestSeal", "output - exit status 1", "fail -") + ExitMark + "1", "", "covered"},
		{"another fails too", events("fail TestSeal", "run TestBegin", "fail TestBegin", "fail -") + ExitMark + "1", "internal/gate TestBegin", "covered"},
		{"build fails", events("build-output - x.go:1: no", "fail -") + ExitMark + "1", "internal/gate (build", "not run"},
		{"listed panics", events("run TestSeal", "output TestSeal panic: no", "fail TestSeal", "fail -") + ExitMark + "2", "internal/gate (build", "covered"},
		{"race outside a test", events("run TestSeal", "fail TestSeal", "output - exit status 66", "fail -") + ExitMark + "1", "internal/gate (build", "covered"},
		{"a test does not end", events("run TestBegin", "fail -") + ExitMark + "1", "internal/gate (build", "not run"},
		{"go test fails by itself", "no such package\n" + ExitMark + "1", "go test", "not run"},
		{"go test was cut off", events("pass -"), "go test", "not run"},
	} {
		t.Run(c.name, func(t *testing.T) {
			entries, err := ParseList(strings.NewReader(list))
			require.NoError(t, err)
			v, err := Judge(strings.NewReader(c.input), io.Discard, "m", entries)
			require.NoError(t, err)
			require.Equal(t, c.failed == "", v.OK(), v.Failed)
			require.Contains(t, strings.Join(v.Failed, "\n"), c.failed)
			got := map[string]int{"passed": len(v.Passed), "covered": len(v.Covered), "not run": len(v.NotRun)}
			require.Equal(t, 1, got[c.listed])
		})
	}
}

// TestOutputOfATestThatDoesNotEndIsPrinted guards against a test program that ends, and whose
// output tells why and is lost.
func TestOutputOfATestThatDoesNotEndIsPrinted(t *testing.T) {
	var out strings.Builder
	input := events("run TestBegin", "output TestBegin SIGSEGV: segmentation violation", "fail -") + ExitMark + "2"
	_, err := Judge(strings.NewReader(input), &out, "m", nil)
	require.NoError(t, err)
	require.Contains(t, out.String(), "SIGSEGV")
}

func TestListIsStrict(t *testing.T) {
	for _, line := range []string{
		"internal/gate | a | b | c",
		"internal/gate TestA/sub | a | b | c",
		"internal/gate TestA",
		"internal/gate TestA | a | b",
		"internal/gate BenchmarkA | a | b | c",
	} {
		_, err := ParseList(strings.NewReader(line))
		require.Error(t, err, line)
	}
}
