// Command camphor-side runs the side process of a backend server. Every run on the
// backend server is started through it.
package main

import (
	"context"
	"expvar"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/camphorlever/camphorlever/internal/httpclient"
	"github.com/camphorlever/camphorlever/internal/intake"
	"github.com/camphorlever/camphorlever/internal/logservice"
	"github.com/camphorlever/camphorlever/internal/options"
	"github.com/camphorlever/camphorlever/internal/side"
	"github.com/camphorlever/camphorlever/internal/vmlist"
)

// version is set by the linker.
var version = "dev"

// debugConnShare is the limit of connections of the debug listener, relative to
// that of the internal listener.
const debugConnShare = 0.05

type flags struct {
	Config  string           `required:"" help:"Settings file (JSON)." type:"path"`
	Check   bool             `help:"Check the settings file and exit."`
	Version kong.VersionFlag `help:"Print the version and exit."`
}

func main() {
	var cli flags
	kong.Parse(&cli,
		kong.Name("camphor-side"),
		kong.Description("Side process of a backend server. Stops gracefully on SIGTERM and SIGINT."),
		kong.Vars{"version": version})
	settings := side.DefaultOptions()
	if err := options.Load(cli.Config, &settings); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(options.ExitStatus)
	}
	level, err := zerolog.ParseLevel(settings.LogLevel)
	if err != nil {
		fmt.Fprintf(os.Stderr, "log_level: want debug, info, warn or error, got %q\n", settings.LogLevel)
		os.Exit(options.ExitStatus)
	}
	if cli.Check {
		return
	}
	logger := zerolog.New(os.Stderr).Level(level).With().Timestamp().Str("vm", string(settings.VM)).Logger()
	if err := run(settings, logger); err != nil {
		logger.Error().Err(err).Msg("stopped")
		os.Exit(1)
	}
}

// run serves until SIGTERM or SIGINT. A second signal terminates the process
// immediately, because the first one restores the default signal handling.
func run(settings side.Options, logger zerolog.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	context.AfterFunc(ctx, stop)
	listener, err := side.Listen(ctx, settings.InternalListen)
	if err != nil {
		return err
	}
	if settings.InternalAdvertise == "" {
		settings.InternalAdvertise = listener.Addr().String()
	}
	settings.Limits().SetMemoryLimit()
	process, err := side.New(settings, newPlatform(settings), logger)
	if err != nil {
		return err
	}
	if settings.DebugListen != "" {
		debug, err := intake.Listen("tcp", settings.DebugListen)
		if err != nil {
			return errors.Wrap(err, "bind the debug listener")
		}
		server := side.NewServer(debugHandler(process))
		limited := side.LimitListener(process.Intake(), debug, settings.Limits(), debugConnShare)
		go func() { _ = server.Serve(limited) }() // stopped by server.Close when run returns
		defer server.Close()
	}
	return process.Run(ctx, listener)
}

func newPlatform(settings side.Options) side.Platform {
	client := httpclient.New()
	return side.Platform{
		Log:     logservice.NewHTTPClient(settings.PlatformURL, client),
		VMs:     vmlist.NewHTTPClient(settings.PlatformURL, client),
		Weights: side.NewWeightsClient(settings.PlatformURL, client),
	}
}

func debugHandler(process *side.Process) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := process.Ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	})
	return mux
}
