// Command camphor-load sends requests of the kinds that callers send to the
// routers of a demo fleet, checks the answers, and audits the ledger.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"sort"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/audit"
	"github.com/camphorlever/camphorlever/internal/load"
	"github.com/camphorlever/camphorlever/internal/logservice"
)

type flags struct {
	Send       sendCommand       `cmd:"" help:"Send requests and check their answers."`
	Audit      auditCommand      `cmd:"" help:"Fold the ledger from the log and add it up."`
	Call       callCommand       `cmd:"" help:"Make one HTTP call, as the demo does on the stand-ins."`
	Overhead   overheadCommand   `cmd:"" help:"Measure the time that router and side process add to the first token."`
	Throughput throughputCommand `cmd:"" help:"Measure what one router carries."`
}

type sendCommand struct {
	Routers []string `required:"" help:"Base URLs of routers."`
	Secrets []string `required:"" help:"Callers' keys."`
	Models  []string `required:"" help:"Models to ask."`
	Service string   `required:"" help:"Plain service to call."`
	Prompts string   `required:"" type:"existingfile" help:"JSON list of prompts."`
	Burst   int      `default:"24" help:"Further requests sent at once."`
	Summary string   `required:"" help:"File for the summary, as JSON."`
}

// Run sends the requests. The summary says whether all went well.
func (c *sendCommand) Run() error {
	raw, err := os.ReadFile(c.Prompts)
	if err != nil {
		return err
	}
	script := load.Script{Routers: c.Routers, Models: c.Models, Service: c.Service, Burst: c.Burst}
	if err := json.Unmarshal(raw, &script.Prompts); err != nil {
		return errors.Wrap(err, c.Prompts)
	}
	callers := make([]*load.Caller, len(c.Secrets))
	for i, secret := range c.Secrets {
		callers[i] = load.NewCaller(secret)
	}
	summary := load.Run(context.Background(), script, callers, os.Stdout)
	fmt.Printf("  ran=%d refused=%d unfinished=%d\n", summary.Ran, summary.Refused, summary.Unfinished)
	document, err := json.Marshal(summary)
	if err != nil {
		return err
	}
	return os.WriteFile(c.Summary, append(document, '\n'), 0o600)
}

type auditCommand struct {
	Platform string `required:"" help:"Base URL of the platform."`
	Shards   int    `default:"4" help:"Ledger shards of the fleet."`
}

// auditTimeout bounds the reading of the ledger.
const auditTimeout = 20 * time.Second

// Run prints one line a team and a last line with the sums.
func (c *auditCommand) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), auditTimeout)
	defer cancel()
	report, err := audit.Read(ctx, logservice.NewHTTPClient(c.Platform, nil), c.Shards)
	if err != nil {
		return err
	}
	lines := make([]string, 0, len(report.Teams))
	for team, b := range report.Teams {
		lines = append(lines, fmt.Sprintf("  %-20s topped up %8d  billed %6d  held %6d  free %8d", team, b.TopUps, b.Billed, b.Outstanding, b.Free))
	}
	sort.Strings(lines)
	for _, line := range lines {
		fmt.Println(line)
	}
	fmt.Printf("billed=%d overspend=%d held=%d\n", len(report.Runs), report.Overspend(), report.OutstandingTokens())
	return nil
}

func main() {
	var cli flags
	command := kong.Parse(&cli, kong.Name("camphor-load"), kong.Description("Sends demo requests and audits the ledger."))
	command.FatalIfErrorf(command.Run())
}
