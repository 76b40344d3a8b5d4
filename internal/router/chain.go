package router

import (
	"context"

	"github.com/rs/zerolog"

	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/filter/accesslog"
	"github.com/camphorlever/camphorlever/internal/filter/admit"
	"github.com/camphorlever/camphorlever/internal/filter/auth"
	"github.com/camphorlever/camphorlever/internal/filter/deadline"
	"github.com/camphorlever/camphorlever/internal/filter/key"
	"github.com/camphorlever/camphorlever/internal/filter/limits"
	"github.com/camphorlever/camphorlever/internal/filter/once"
	"github.com/camphorlever/camphorlever/internal/filter/parse"
	"github.com/camphorlever/camphorlever/internal/filter/place"
	"github.com/camphorlever/camphorlever/internal/filter/queue"
	"github.com/camphorlever/camphorlever/internal/filter/recovery"
	retryfilter "github.com/camphorlever/camphorlever/internal/filter/retry"
	"github.com/camphorlever/camphorlever/internal/filter/serving"
	"github.com/camphorlever/camphorlever/internal/filter/stream"
	"github.com/camphorlever/camphorlever/internal/placement"
	"github.com/camphorlever/camphorlever/internal/relay"
	"github.com/camphorlever/camphorlever/internal/retry"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// parts are what the chain is made of beside the filters.
type parts struct {
	state     serving.State
	budget    admit.Budget
	claims    once.Claims
	witness   stream.Settler
	self      stream.RouterInfo
	directory *directory
	picker    *placement.Picker
	relay     *relay.Client
	gates     *gates
	log       zerolog.Logger
}

// chains are the request paths of a router.
type chains struct {
	requests filter.Next
	models   filter.Next
	queue    *queue.Filter
}

// newChains joins the filters. Their order is part of what they promise:
// nothing is reserved before the request is known to be valid, nothing is
// claimed before it is placed, and nothing is begun before it is claimed.
func newChains(p parts) chains {
	placed := &placer{directory: p.directory, picker: p.picker}
	streams := stream.New(stream.Deps{
		Relay:      opener{client: p.relay},
		Gates:      p.gates,
		Settler:    p.witness,
		RouterInfo: p.self,
	})
	admission := admit.New(p.budget, &tokenizer{gates: p.gates, placer: placed})
	waiting := queue.New(placed)
	entry := func(rest ...filter.Filter) filter.Next {
		return filter.Chain(append([]filter.Filter{
			recovery.New(p.log),
			accesslog.New(p.log),
			serving.New(p.state),
			auth.New(),
		}, rest...)...)
	}
	return chains{
		models: entry(listModels{}),
		queue:  waiting,
		requests: entry(
			deadline.New(),
			parse.New(),
			limits.New(),
			key.New(placed, p.gates, p.claims, filter.Chain(streams)),
			admission,
			waiting,
			retryfilter.New(retry.NewBudget(nil)),
			admission,
			place.New(placed),
			once.New(p.claims, p.directory, p.gates),
			streams,
		),
	}
}

// opener lets the stream filter use the relay.
type opener struct {
	client *relay.Client
}

// Begin implements stream.Relay.
func (o opener) Begin(ctx context.Context, t filter.Target, request *wire.BeginRequest) (stream.Stream, error) {
	s, err := o.client.Begin(ctx, peer(t), request)
	if err != nil {
		return nil, err
	}
	return s, nil
}

// Attach implements stream.Relay.
func (o opener) Attach(ctx context.Context, t filter.Target, request *wire.ResumeRequest) (stream.Stream, error) {
	s, err := o.client.Attach(ctx, peer(t), request)
	if err != nil {
		return nil, err
	}
	return s, nil
}

func peer(t filter.Target) relay.Peer {
	return relay.Peer{Gate: t.Gate, Address: t.Address}
}
