// Package knownred judges the events of "go test -json" against the list of
// tests that are known to fail.
package knownred

import (
	"bufio"
	"io"
	"strings"

	"github.com/pkg/errors"
)

// Test names a top-level test.
type Test struct {
	Package string // relative to the module, for example internal/gate
	Name    string
}

// Entry is one line of the list.
type Entry struct {
	Test
	Note string // command and seed, what was seen, issue
}

// ParseList reads a list: a line is "package TestName | notes"; empty lines
// and lines that start with # are skipped.
func ParseList(r io.Reader) ([]Entry, error) {
	var entries []Entry
	lines := bufio.NewScanner(r)
	for number := 1; lines.Scan(); number++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		name, note, _ := strings.Cut(line, "|")
		fields := strings.Fields(name)
		if len(fields) != 2 || !strings.HasPrefix(fields[1], "Test") || strings.Contains(fields[1], "/") {
			return nil, errors.Errorf("line %d: want package TestName | notes, with a top-level test", number)
		}
		if strings.Count(note, "|") != 2 {
			return nil, errors.Errorf("line %d: want the notes command and seed | what was seen | issue", number)
		}
		entries = append(entries, Entry{Test: Test{Package: fields[0], Name: fields[1]}, Note: strings.TrimSpace(note)})
	}
	return entries, errors.Wrap(lines.Err(), "read list")
}
