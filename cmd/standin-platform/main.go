// Command standin-platform stands in for the platform in tests and the demo:
// log service, VM list and weight store, all in memory.
package main

import (
	"os"
	"time"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"github.com/camphorlever/camphorlever/internal/standin/platform"
	"github.com/camphorlever/camphorlever/internal/standin/serve"
)

type flags struct {
	Listen         string        `help:"Address to serve on." default:"127.0.0.1:7300"`
	LoadsPerMinute int           `help:"Weight loads granted a minute." default:"60"`
	LoadTime       time.Duration `help:"Time that one weight load takes." default:"50ms"`
	LogLevel       string        `help:"debug, info, warn or error." enum:"debug,info,warn,error" default:"info"`
}

func main() {
	var cli flags
	kong.Parse(&cli, kong.Name("standin-platform"), kong.Description("Stand-in for the platform; keeps nothing."))
	level, _ := zerolog.ParseLevel(cli.LogLevel) // kong has checked it
	logger := zerolog.New(os.Stderr).Level(level).With().Timestamp().Str("part", "platform").Logger()
	p := platform.New(platform.Options{LoadsPerMinute: cli.LoadsPerMinute, LoadTime: cli.LoadTime})
	if err := serve.Until(cli.Listen, p.Handler(), logger); err != nil {
		logger.Error().Err(err).Msg("cannot serve")
		os.Exit(1)
	}
}
