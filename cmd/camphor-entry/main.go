// Command camphor-entry is the router on the users' platform.
package main

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"github.com/camphorlever/camphorlever/internal/entry"
	"github.com/camphorlever/camphorlever/internal/logsink"
	"github.com/camphorlever/camphorlever/internal/options"
	"github.com/camphorlever/camphorlever/internal/retry"
	"github.com/camphorlever/camphorlever/platform"
)

// version is set by the linker.
var version = "dev"

// Limits of the process.
const (
	// memoryShare of what the VM gives is where the garbage collector begins
	// to work harder.
	memoryShare = 0.6
	// garbageTarget trades memory, of which there is some, for processor time.
	garbageTarget = 300
	// logDialTimeout and logIdle bound the connections to the log.
	logDialTimeout = 300 * time.Millisecond
	logIdle        = 10 * time.Second
	// closeTimeout bounds writing the last log lines.
	closeTimeout = 100 * time.Millisecond
)

type flags struct {
	Settings string           `help:"Settings file that the platform writes (TOML)." env:"CAMPHORLEVER_SETTINGS" type:"path"`
	Metrics  string           `help:"Port on which metrics are served; none if empty." default:""`
	LogLevel string           `help:"Lowest level of the log lines: debug, info, warn or error." default:"info" enum:"debug,info,warn,error"`
	LogVia   string           `help:"Connect to the log at this address instead of the one in the settings file, such as that of a proxy." default:""`
	Check    bool             `help:"Only check the settings file."`
	Version  kong.VersionFlag `help:"Print the version."`
}

func main() {
	var cli flags
	kong.Parse(&cli, kong.Name("camphor-entry"),
		kong.Description("Routes callers' requests to backend servers within prepaid budgets, on the users' platform. "+
			"Exit status: 0 after a stop, 1 after a failure, 2 if the settings are wrong."),
		kong.Vars{"version": version})
	local, err := platform.LoadLocalSettings(cli.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, "camphor-entry:", err)
		os.Exit(options.ExitStatus)
	}
	if cli.Check {
		return
	}
	if err := run(local, cli); err != nil {
		fmt.Fprintln(os.Stderr, "camphor-entry:", err)
		os.Exit(1)
	}
}

// run serves until a signal to stop, or until a listener breaks.
func run(local platform.LocalSettings, cli flags) error {
	debug.SetMemoryLimit(int64(memoryShare * float64(local.MemoryBytes)))
	debug.SetGCPercent(garbageTarget)
	sink := logsink.New(os.Stdout)
	defer sink.Close(closeTimeout)
	level, err := zerolog.ParseLevel(cli.LogLevel)
	if err != nil {
		return err
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	logger := zerolog.New(sink).Level(level).With().Timestamp().Str("node", local.Node).Logger()
	r := entry.New(optionsOf(local, cli), platform.NewLog(local.LogAddress, transport(cli.LogVia)), platform.Codec{}, logger)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	if err := r.Start(); err != nil {
		return err
	}
	for {
		select {
		case s := <-signals:
			if s == syscall.SIGHUP {
				reload(cli.Settings, local, logger)
				continue
			}
			r.Stop()
			return nil
		case err := <-r.Failed():
			return err
		}
	}
}

// reload checks a changed settings file. What the process needs of it cannot
// change while it runs.
func reload(path string, now platform.LocalSettings, logger zerolog.Logger) {
	next, err := platform.LoadLocalSettings(path)
	switch {
	case err != nil:
		logger.Warn().Err(err).Msg("changed settings file is wrong, the old one stays")
	case next != now:
		logger.Warn().Msg("settings file has changed; the change is in force after a restart")
	default:
		logger.Info().Msg("settings file was read again, nothing has changed")
	}
}

func optionsOf(local platform.LocalSettings, cli flags) entry.Options {
	o := entry.Options{
		Node:               local.Node,
		DataCentre:         local.DataCentre,
		CallersAddress:     local.CallersAddress,
		ReadyAddress:       local.ReadyAddress,
		PeerAddress:        local.PeerAddress,
		FleetKey:           local.FleetKey,
		PathReady:          platform.PathReady,
		LinkBytesPerSecond: local.LinkBytesPerSecond,
		GracePeriod:        local.Params.GracePeriod,
		RetryLimits: retry.Limits{
			Ratio:      local.Params.RetryRatio,
			MinRetries: int64(local.Params.MinRetries),
			Window:     local.Params.RetryWindow,
		},
		StreamSettings: platform.StreamOperator,
		StreamServers:  platform.StreamServers,
		StreamBudgets:  platform.StreamBudgets,
		StreamRouters:  platform.StreamRouters,
		Decoder: entry.Decoder{
			Settings:    platform.DecodeSettings,
			Server:      platform.DecodeServer,
			KeySettings: platform.KeySettings,
		},
	}
	if cli.Metrics != "" {
		o.MetricsAddress = net.JoinHostPort(local.IP, cli.Metrics)
	}
	return o
}

// transport connects to the log, at another address than its own if one is
// given. Broken calls are never repeated by themselves.
func transport(via string) http.RoundTripper {
	dialer := &net.Dialer{Timeout: logDialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, network, cmp.Or(via, address))
		},
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     logIdle,
		DisableCompression:  true,
	}
}
