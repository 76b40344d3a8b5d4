// Command camphor-router runs a router: the interface for callers, the
// administration interface and its share of the fleet's controllers.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"github.com/camphorlever/camphorlever/internal/logservice"
	"github.com/camphorlever/camphorlever/internal/options"
	"github.com/camphorlever/camphorlever/internal/router"
	"github.com/camphorlever/camphorlever/internal/vmlist"
)

// version is set by the linker.
var version = "dev"

// stopTimeout limits how long a stop waits for requests in progress.
const stopTimeout = 15 * time.Minute

type flags struct {
	Config  string           `help:"Settings file (JSON)." required:"" type:"path"`
	Check   bool             `help:"Only check the settings file."`
	Version kong.VersionFlag `help:"Print the version."`
}

func main() {
	var cli flags
	kong.Parse(&cli, kong.Name("camphor-router"),
		kong.Description("Routes callers' requests to backend servers within prepaid budgets."),
		kong.Vars{"version": version})
	settings := router.DefaultOptions()
	if err := options.Load(cli.Config, &settings); err != nil {
		fmt.Fprintln(os.Stderr, "camphor-router:", err)
		os.Exit(options.ExitStatus)
	}
	if cli.Check {
		return
	}
	if err := run(settings); err != nil {
		fmt.Fprintln(os.Stderr, "camphor-router:", err)
		os.Exit(1)
	}
}

// run serves until SIGTERM or SIGINT, until the router's incarnation is sealed, or
// until a listener fails.
func run(settings router.Options) error {
	level, err := zerolog.ParseLevel(settings.LogLevel)
	if err != nil {
		return err
	}
	logger := zerolog.New(os.Stderr).Level(level).With().Timestamp().Logger()
	settings.Limits().SetMemoryLimit()
	r := router.New(settings,
		logservice.NewHTTPClient(settings.PlatformURL, nil),
		vmlist.NewHTTPClient(settings.PlatformURL, nil),
		logger)
	signalCtx, stopSignals := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stopSignals()
	if err := r.Start(signalCtx); err != nil && signalCtx.Err() == nil {
		return err
	}
	var failure error
	select {
	case <-signalCtx.Done():
	case <-r.Sealed():
		logger.Warn().Msg("incarnation of this router is sealed, stopping the process")
	case failure = <-r.Failed():
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := r.Stop(ctx); err != nil {
		return err
	}
	return failure
}
