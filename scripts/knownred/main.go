// Command knownred reads "go test -json" from standard input, prints it for
// people, and fails if anything failed that KNOWN-RED.txt does not list.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"github.com/camphorlever/camphorlever/internal/knownred"
)

type flags struct {
	List   string `help:"List of tests that are known to fail." default:"KNOWN-RED.txt" type:"existingfile"`
	Module string `help:"Path of the module." default:"github.com/camphorlever/camphorlever"`
}

func main() {
	var cli flags
	kong.Parse(&cli, kong.Name("knownred"))
	ok, err := run(cli)
	if err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
	}
	if !ok {
		os.Exit(1)
	}
}

func run(cli flags) (bool, error) {
	file, err := os.Open(cli.List)
	if err != nil {
		return false, err
	}
	defer file.Close()
	list, err := knownred.ParseList(file)
	if err != nil {
		return false, err
	}
	verdict, err := knownred.Judge(os.Stdin, os.Stdout, cli.Module, list)
	if err != nil {
		return false, err
	}
	report(verdict)
	return verdict.OK(), nil
}

func report(v knownred.Verdict) {
	show := func(text string, entries []knownred.Entry) {
		for _, e := range entries {
			fmt.Printf("known red, %s: %s %s | %s\n", text, e.Package, e.Name, e.Note)
		}
	}
	show("failed as listed", v.Covered)
	show("PASSED, take it off the list", v.Passed)
	show("not run", v.NotRun)
	for _, name := range v.Failed {
		fmt.Println("FAILED:", name)
	}
}
