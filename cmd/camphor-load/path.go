package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/camphorlever/camphorlever/internal/load"
	"github.com/camphorlever/camphorlever/internal/measure"
)

type overheadCommand struct {
	Router string `required:"" help:"Base URL of a router."`
	Engine string `required:"" help:"Base URL of the stand-in engine behind it."`
	Secret string `required:"" help:"A caller's key."`
	Model  string `required:"" help:"Model to ask."`
	Pairs  int    `default:"400" help:"Pairs of requests."`
}

// Run prints path.overhead_p95 and its parts.
func (c *overheadCommand) Run() error {
	path := load.Path{Router: c.Router, Engine: c.Engine, Secret: c.Secret, Model: c.Model}
	path.Open()
	overhead, err := path.Overhead(context.Background(), c.Pairs)
	if err != nil {
		return err
	}
	emit := measure.Printer(os.Stdout)
	emit("path.direct_p95", ms(overhead.DirectP95), "ms")
	emit("path.through_p95", ms(overhead.ThroughP95), "ms")
	emit("path.overhead_p95", ms(overhead.ThroughP95-overhead.DirectP95), "ms")
	emit("path.overhead_pairs_p50", ms(overhead.AddedP50), "ms")
	emit("path.overhead_pairs_p95", ms(overhead.AddedP95), "ms")
	emit("path.overhead_ratio", float64(overhead.ThroughP95)/float64(overhead.DirectP95), "ratio")
	return nil
}

type throughputCommand struct {
	Router     string `required:"" help:"Base URL of a router."`
	Secret     string `required:"" help:"A caller's key."`
	Model      string `required:"" help:"Model to ask."`
	Requests   int    `default:"6000" help:"Requests to send."`
	Concurrent int    `default:"400" help:"Streams held open at once."`
	Tokens     int    `default:"64" help:"Output tokens of a request."`
}

// Run prints path.throughput figures.
func (c *throughputCommand) Run() error {
	path := load.Path{Router: c.Router, Secret: c.Secret, Model: c.Model}
	path.Open()
	done := path.Throughput(context.Background(), c.Requests, c.Concurrent, c.Tokens)
	seconds := done.Elapsed.Seconds()
	emit := measure.Printer(os.Stdout)
	emit("path.throughput.requests", float64(done.Requests)/seconds, "per_s")
	emit("path.throughput.tokens", float64(done.Tokens)/seconds, "per_s")
	emit("path.throughput.streams", float64(c.Concurrent), "open")
	emit("path.throughput.failed", float64(done.Failed), "requests")
	emit("path.throughput.elapsed", seconds, "s")
	for reason, n := range done.Reasons {
		fmt.Fprintf(os.Stderr, "measure: %d requests failed: %s\n", n, reason)
	}
	return nil
}

func ms(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
