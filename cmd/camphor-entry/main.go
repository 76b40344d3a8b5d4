// Command camphor-entry runs the router on the users' platform.
package main

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"github.com/camphorlever/camphorlever/internal/entry"
	"github.com/camphorlever/camphorlever/internal/httpclient"
	"github.com/camphorlever/camphorlever/internal/intake"
	"github.com/camphorlever/camphorlever/internal/logsink"
	"github.com/camphorlever/camphorlever/internal/options"
	"github.com/camphorlever/camphorlever/internal/retry"
	"github.com/camphorlever/camphorlever/platform"
)

// version is set by the linker.
var version = "dev"

// Limits of the process.
const (
	// gcPercent is the garbage collection target percentage. It is above the
	// default of 100 because memory is less scarce than processor time.
	gcPercent = 300
	// logDialTimeout and logIdle limit connecting to the log and how
	// long an unused connection is kept.
	logDialTimeout = 300 * time.Millisecond
	logIdleTimeout = 10 * time.Second
	// closeTimeout limits how long the process waits at its end for the last log
	// lines to be written.
	closeTimeout = 100 * time.Millisecond
)

type flags struct {
	Settings      string           `help:"Settings file that the platform writes (TOML)." env:"CAMPHORLEVER_SETTINGS" type:"path"`
	Metrics       string           `help:"Port on which metrics are served; none if empty." default:""`
	LogLevel      string           `help:"Lowest level of the log lines: debug, info, warn or error." default:"info" enum:"debug,info,warn,error"`
	LogVia        string           `help:"Connect to the log at this address instead of the one in the settings file, such as that of a proxy." default:""`
	ExchangeLoads bool             `help:"Exchange the loads of backend servers with the other routers, if there are more than eight."`
	Intake        float64          `help:"Memory for what clients send, in MB; 0.3 of the VM's memory if zero." default:"0"`
	Check         bool             `help:"Only check the settings file."`
	Version       kong.VersionFlag `help:"Print the version."`
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
	if err := intakeLimits(local, cli).Validate(); err != nil {
		fmt.Fprintln(os.Stderr, "camphor-entry: --intake:", err)
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

// run serves until SIGTERM or SIGINT, or until a listener fails. SIGHUP only
// checks the settings file.
func run(local platform.LocalSettings, cli flags) error {
	intakeLimits(local, cli).SetMemoryLimit()
	debug.SetGCPercent(gcPercent)
	sink := logsink.New(os.Stdout)
	defer sink.Close(closeTimeout)
	level, err := zerolog.ParseLevel(cli.LogLevel)
	if err != nil {
		return err
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	logger := zerolog.New(sink).Level(level).With().Timestamp().Str("node", local.Node).Logger()
	r := entry.New(entryOptions(local, cli), platform.NewLog(local.LogAddress, logTransport(cli.LogVia), logger), platform.Codec{}, logger)
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

// reload checks the settings file after SIGHUP and logs the result. It applies
// nothing: these settings cannot change while the process runs.
func reload(path string, current platform.LocalSettings, logger zerolog.Logger) {
	next, err := platform.LoadLocalSettings(path)
	switch {
	case err != nil:
		logger.Warn().Err(err).Msg("changed settings file is invalid, the old settings stay in force")
	case !reflect.DeepEqual(next, current):
		logger.Warn().Msg("settings file has changed; the change takes effect after a restart")
	default:
		logger.Info().Msg("settings file was checked again, nothing has changed")
	}
}

func entryOptions(local platform.LocalSettings, cli flags) entry.Options {
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
		Limits:             intakeLimits(local, cli),
		LogWritesPerSecond: local.LogWritesPerSecond,
		ExchangeLoads:      cli.ExchangeLoads,
		EvacuationTimeout:  local.Params.EvacuationTimeout,
		Regions:            local.Regions,
		ColdOverage:        local.Params.ColdOverage,
		ColdTolerance:      local.Params.ColdTolerance,

		StreamSettings:   platform.StreamOperator,
		StreamServers:    platform.StreamServers,
		StreamBudgets:    platform.StreamBudgets,
		StreamLayout:     platform.StreamLayout,
		StreamRouters:    platform.StreamRouters,
		StreamQuarantine: platform.StreamQuarantine,
		Decoder: entry.Decoder{
			Settings:    platform.DecodeSettings,
			Server:      platform.DecodeServer,
			KeySettings: platform.KeySettings,
			Evacuation:  platform.DecodeEvacuationKey,
			CheckOrder:  platform.CheckEvacuationOrder,
		},
	}
	if cli.Metrics != "" {
		o.MetricsAddress = net.JoinHostPort(local.IP, cli.Metrics)
	}
	return o
}

// intakeLimits returns the limits from which the budgets for clients follow.
func intakeLimits(local platform.LocalSettings, cli flags) intake.Limits {
	return intake.Limits{MemoryBytes: local.MemoryBytes, FileDescriptors: local.FileDescriptors, Bytes: int64(cli.Intake * (1 << 20))}
}

// logTransport returns the HTTP transport for the log. It connects to
// addressOverride instead of the log's own address if it is set. It does not retry
// failed calls.
func logTransport(addressOverride string) http.RoundTripper {
	dialer := &net.Dialer{Timeout: logDialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, network, cmp.Or(addressOverride, address))
		},
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     logIdleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: httpclient.MaxHeadBytes,
	}
}
