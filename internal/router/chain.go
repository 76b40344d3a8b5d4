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

// chainDeps holds the dependencies of the filters.
type chainDeps struct {
	state      serving.State
	budget     admit.Budget
	claims     once.Claims
	settler    stream.Settler
	routerInfo stream.RouterInfo
	directory  *directory
	picker     *placement.Picker
	relay      *relay.Client
	gates      *gateClients
	log        zerolog.Logger
}

// chains holds the filter chains of a router.
type chains struct {
	requests filter.Next // chat completions and plain services
	models   filter.Next // GET /v1/models
	queue    *queue.Filter
}

// newChains builds the filter chains. Correctness depends on the order: tokens
// are reserved only for a valid request, a key is claimed only after a server
// was picked, and a run is begun only after its key was claimed.
func newChains(deps chainDeps) chains {
	serverPlacer := &placer{directory: deps.directory, picker: deps.picker}
	streamFilter := stream.New(stream.Deps{
		Relay:      relayAdapter{client: deps.relay},
		Gates:      deps.gates,
		Settler:    deps.settler,
		RouterInfo: deps.routerInfo,
	})
	admitFilter := admit.New(deps.budget, &tokenizer{gates: deps.gates, placer: serverPlacer})
	queueFilter := queue.New(serverPlacer)
	newChain := func(rest ...filter.Filter) filter.Next {
		return filter.Chain(append([]filter.Filter{
			recovery.New(deps.log),
			accesslog.New(deps.log),
			serving.New(deps.state),
			auth.New(),
		}, rest...)...)
	}
	return chains{
		models: newChain(modelsFilter{}),
		queue:  queueFilter,
		requests: newChain(
			deadline.New(),
			parse.New(),
			limits.New(),
			key.New(serverPlacer, deps.gates, deps.claims, filter.Chain(streamFilter)),
			admitFilter,
			queueFilter,
			retryfilter.New(retry.NewBudget(nil)),
			admitFilter,
			place.New(serverPlacer),
			once.New(deps.claims, deps.directory, deps.gates),
			streamFilter,
		),
	}
}

// relayAdapter implements stream.Relay with the relay client.
type relayAdapter struct {
	client *relay.Client
}

// Begin implements stream.Relay.
func (o relayAdapter) Begin(ctx context.Context, t filter.Target, request *wire.BeginRequest) (stream.Stream, error) {
	relayStream, err := o.client.Begin(ctx, relayPeer(t), request)
	if err != nil {
		return nil, err
	}
	return relayStream, nil
}

// Attach implements stream.Relay.
func (o relayAdapter) Attach(ctx context.Context, t filter.Target, request *wire.ResumeRequest) (stream.Stream, error) {
	relayStream, err := o.client.Attach(ctx, relayPeer(t), request)
	if err != nil {
		return nil, err
	}
	return relayStream, nil
}

func relayPeer(t filter.Target) relay.Peer {
	return relay.Peer{Gate: t.Gate, Address: t.Address}
}
