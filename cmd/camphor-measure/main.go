// Command camphor-measure prints the project's figures, one a line.
package main

import (
	"context"
	"fmt"
	"os"
	"slices"

	"github.com/alecthomas/kong"

	"github.com/camphorlever/camphorlever/internal/measure"
	"github.com/camphorlever/camphorlever/internal/measure/budget"
	"github.com/camphorlever/camphorlever/internal/measure/capacity"
	"github.com/camphorlever/camphorlever/internal/measure/control"
	"github.com/camphorlever/camphorlever/internal/measure/ledgerbench"
	"github.com/camphorlever/camphorlever/internal/measure/placement"
	"github.com/camphorlever/camphorlever/internal/measure/schedules"
	"github.com/camphorlever/camphorlever/internal/measure/sidecost"
)

// groups lists what can be measured, in the order of the report.
var groups = slices.Concat(
	[]measure.Group{
		capacity.Group,
		control.Group,
		budget.Group,
		ledgerbench.Group,
		schedules.Group,
	},
	placement.Groups(),
	[]measure.Group{sidecost.Group},
)

type flags struct {
	Only []string `arg:"" optional:"" help:"Groups to measure; all if none is named."`
}

func main() {
	var cli flags
	kong.Parse(&cli, kong.Name("camphor-measure"), kong.Description("Prints measure NAME VALUE UNIT lines."))
	failed := run(context.Background(), cli.Only)
	if failed {
		os.Exit(1)
	}
}

// run measures the chosen groups and reports whether any failed.
func run(ctx context.Context, only []string) (failed bool) {
	emit := measure.Printer(os.Stdout)
	for _, group := range groups {
		if !chosen(group.Name, only) {
			continue
		}
		if err := group.Run(ctx, emit); err != nil {
			fmt.Fprintf(os.Stderr, "measure: %s failed: %v\n", group.Name, err)
			failed = true
		}
	}
	return failed
}

func chosen(name string, only []string) bool {
	if len(only) == 0 {
		return true
	}
	for _, o := range only {
		if o == name {
			return true
		}
	}
	return false
}
