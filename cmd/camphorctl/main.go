// Command camphorctl operates a fleet through the administration interface of
// any of its routers.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/camphorlever/camphorlever/internal/configcheck"
	"github.com/camphorlever/camphorlever/internal/ctl"
	"github.com/camphorlever/camphorlever/platform"
)

// version is set by the linker.
var version = "dev"

func main() {
	cli := ctl.CLI{Platform: configcheck.PlatformFormat{Decode: platform.DecodeDraft, Names: platform.SettingNames}}
	command := kong.Parse(&cli, kong.Name("camphorctl"),
		kong.Description("Settings, teams, budgets and servers of a fleet."),
		kong.Vars{"version": version}, kong.UsageOnError())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	err := command.Run(cli.NewSession(ctx, os.Stdin, os.Stdout, os.Stderr))
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "camphorctl:", err)
		os.Exit(ctl.ExitStatus(err))
	}
}
