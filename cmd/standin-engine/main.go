// Command standin-engine stands in for a backend server in tests and the
// demo: a model engine, or with --service a plain service.
package main

import (
	"os"
	"time"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"github.com/camphorlever/camphorlever/internal/standin/engine"
	"github.com/camphorlever/camphorlever/internal/standin/serve"
)

type flags struct {
	Listen      string        `help:"Address to serve on." default:"127.0.0.1:7400"`
	Models      []string      `help:"Models loaded at the start."`
	Adapters    []string      `help:"Adapters loaded at the start."`
	Role        string        `help:"mixed, prefill or decode." default:"mixed"`
	Slots       int           `help:"Runs batched at once." default:"8"`
	CacheBlocks int           `help:"Blocks that the prefix cache holds." default:"4096"`
	CheckFences bool          `help:"Refuse orders with an old fencing number."`
	Service     bool          `help:"Be a plain service."`
	TokenTime   time.Duration `help:"Time a token." default:"5ms"`
	Prefill     time.Duration `help:"Time a prompt token that is not cached." default:"20us"`
	LogLevel    string        `help:"debug, info, warn or error." enum:"debug,info,warn,error" default:"info"`
}

func main() {
	var cli flags
	kong.Parse(&cli, kong.Name("standin-engine"), kong.Description("Stand-in for a backend server; keeps nothing."))
	level, _ := zerolog.ParseLevel(cli.LogLevel) // kong has checked it
	logger := zerolog.New(os.Stderr).Level(level).With().Timestamp().Str("part", "engine").Logger()
	e := engine.New(engine.Options{
		Models:      cli.Models,
		Adapters:    cli.Adapters,
		Role:        cli.Role,
		Slots:       cli.Slots,
		CacheBlocks: cli.CacheBlocks,
		CheckFences: cli.CheckFences,
		Service:     cli.Service,
		TokenTime:   cli.TokenTime,
		Prefill:     cli.Prefill,
	})
	if err := serve.Until(cli.Listen, e.Handler(), logger); err != nil {
		logger.Error().Err(err).Msg("cannot serve")
		os.Exit(1)
	}
}
