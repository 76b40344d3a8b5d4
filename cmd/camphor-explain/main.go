// Command camphor-explain prints, from the routers' logs, the decisions on one
// request and the router's state changes before it.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/explain"
)

// version is set by the linker.
var version = "dev"

// Exit statuses.
const (
	exitFailed   = 1 // a log cannot be read, or the output cannot be written
	exitNotFound = 2 // no log line names the request
)

type flags struct {
	Request string           `arg:"" help:"Id of the request, as the caller sent it."`
	Logs    []string         `arg:"" optional:"" type:"existingfile" help:"Log files of routers; standard input if none."`
	Version kong.VersionFlag `help:"Print the version."`
}

func main() {
	var cli flags
	kong.Parse(&cli, kong.Name("camphor-explain"),
		kong.Description("Prints the decisions on one request in their order, with what each was decided by, and what the "+
			"router had learned before. Reads the JSON lines that routers write to standard output. "+
			"Exit status: 1 if a file cannot be read, 2 if no line names the request."),
		kong.Vars{"version": version})
	err := run(cli)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "camphor-explain:", err)
	if errors.Is(err, explain.ErrNotFound) {
		os.Exit(exitNotFound)
	}
	os.Exit(exitFailed)
}

func run(cli flags) error {
	logs := []io.Reader{os.Stdin}
	if len(cli.Logs) > 0 {
		logs = nil
	}
	for _, name := range cli.Logs {
		file, err := os.Open(name)
		if err != nil {
			return errors.Wrap(err, "open log")
		}
		defer func() { _ = file.Close() }() // opened for reading only: an error has no effect
		logs = append(logs, file)
	}
	report, err := explain.Read(cli.Request, logs...)
	if err != nil {
		return err
	}
	return report.Print(os.Stdout)
}
