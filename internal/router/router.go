package router

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/camphorlever/camphorlever/internal/budget"
	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/fleet"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/intake"
	"github.com/camphorlever/camphorlever/internal/logservice"
	"github.com/camphorlever/camphorlever/internal/node"
	"github.com/camphorlever/camphorlever/internal/placement"
	"github.com/camphorlever/camphorlever/internal/relay"
	"github.com/camphorlever/camphorlever/internal/rpc"
	"github.com/camphorlever/camphorlever/internal/settlement"
	"github.com/camphorlever/camphorlever/internal/vmlist"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// Durations of the steps of a graceful stop.
const (
	// unreadyDelay is how long the router still serves new requests after it
	// reports that it is not ready, so that the load balancer can notice.
	unreadyDelay = time.Second
	// flushTimeout bounds the last settlements, the return of the grants and
	// the deregistration, all of which are written to the log.
	flushTimeout = 20 * time.Second
)

var errStopping = errors.New("router is being stopped")

// Router is a router process.
type Router struct {
	options Options
	log     zerolog.Logger
	node    *node.Node
	state   *state
	grants  atomic.Pointer[budget.Grants]
	chains  atomic.Pointer[chains]
	settler *settler
	relay   *relay.Client
	gates   *gateClients
	routers *routerClients

	background conc.WaitGroup
	cancel     context.CancelFunc // stops the controllers

	callerServer    *http.Server
	internalServer  *http.Server
	adminServer     *http.Server
	intake          *intake.Budget
	serveErrors     chan error // from the listeners
	listenAddresses map[*http.Server]net.Addr
	stopOnce        sync.Once

	refusing chan struct{} // closed once new requests are refused
}

// New returns a router. It neither listens nor connects before Start.
func New(o Options, log logservice.Log, vms vmlist.Lister, logger zerolog.Logger) *Router {
	r := &Router{
		options:         o,
		log:             logger.With().Str("part", "router").Logger(),
		relay:           relay.New(o.FleetKey, nil),
		intake:          intake.NewBudget(o.Limits()),
		serveErrors:     make(chan error, 3),
		listenAddresses: map[*http.Server]net.Addr{},

		refusing: make(chan struct{}),
	}
	r.node = node.New(node.Options{
		Role:         fleet.RoleRouter,
		VM:           o.VM,
		DataCentre:   o.DataCentre,
		Address:      o.InternalAdvertise,
		LedgerShards: o.LedgerShards,
		FleetKey:     o.FleetKey,
		Peers:        o.Peers,
	}, log, vms, logger)
	r.state = &state{nodeReady: r.node.Ready}
	r.gates = newGateClients(r.node.Offsets, r.dialer(node.ServiceSide))
	r.gates.catchUp = r.node.Ledger().CatchUp
	r.routers = &routerClients{
		members: r.node.Members,
		offsets: r.node.Offsets,
		dial:    r.dialer(node.ServiceRouter),
		clients: map[string]rpc.Caller{},
	}
	r.settler = &settler{tracker: settlement.New(settlement.Config{
		Ledger:      r.node.Ledger(),
		Incarnation: r.node.Incarnation,
		IsSealed:    func(incarnation ident.Incarnation) bool { return r.node.Members().Sealed(incarnation) },
		Probe:       r.probe,
		OnNeverRan:  r.releaseNeverRan,
		OnUnbilled:  r.refundUnbilled,
		Logger:      logger,
	})}
	r.node.AddSealBarrier(r.settler.tracker)
	return r
}

// dialer returns a function that creates RPC clients for a service.
func (r *Router) dialer(service string) func(address string) rpc.Caller {
	return func(address string) rpc.Caller {
		return rpc.NewClient(rpc.Options{
			Address:  address,
			FleetKey: r.options.FleetKey,
			Service:  service,
			Offsets:  r.node.Offsets,
		})
	}
}

// Start opens the listeners, joins the fleet and returns when the router serves
// requests, or with an error when ctx ends. Until then requests are refused.
func (r *Router) Start(ctx context.Context) error {
	if err := r.listen(); err != nil {
		return err
	}
	if err := r.node.Start(ctx); err != nil {
		return err
	}
	r.startServing()
	r.log.Info().Uint64("incarnation", uint64(r.node.Incarnation())).Msg("router accepts requests")
	return nil
}

// startServing builds and starts the parts that need the router's incarnation,
// which is known only after registration.
func (r *Router) startServing() {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	incarnation := r.node.Incarnation()
	grants := budget.New(budget.Config{
		Self:       incarnation,
		DataCentre: r.options.DataCentre,
		Ledger:     r.node.Ledger(),
		Fleet:      budgetFleet{members: r.node.Members},
		Peers:      r.routers,
		Policy:     sizingPolicy(r.node.Settings),
		Teams:      teamLister(r.node.Settings),
		Logger:     r.log,
	})
	r.grants.Store(grants)
	picker := placement.New(placement.Config{Router: incarnation})
	dir := &directory{node: r.node, picker: picker, relay: r.relay, gates: r.gates}
	chains := newChains(chainDeps{
		state:      r.state,
		budget:     &budgetAdapter{grants: grants, holder: incarnation},
		claims:     &ledgerClaims{ledger: r.node.Ledger()},
		settler:    r.settler,
		routerInfo: r.node,
		directory:  dir,
		picker:     picker,
		relay:      r.relay,
		gates:      r.gates,
		log:        r.log,
	})
	r.chains.Store(&chains)
	poller := &loadPoller{directory: dir, picker: picker, gates: r.gates, routers: r.routers, dispatchWaiting: chains.queue.DispatchWaiting, pollResults: counter.NewSet("load_polls")}
	r.background.Go(func() { grants.Run(ctx) })
	r.background.Go(func() { poller.run(ctx) })
	r.background.Go(func() { r.intake.Run(ctx) })
	r.background.Go(func() { r.settler.tracker.Run(ctx) })
	r.background.Go(func() { r.fenceWhenSealed(ctx) })
	r.state.started.Store(true)
}

// fenceWhenSealed permanently stops admission once other processes have sealed
// this incarnation.
func (r *Router) fenceWhenSealed(ctx context.Context) {
	select {
	case <-r.node.Sealed():
		r.grants.Load().Fence()
		r.log.Warn().Msg("own incarnation was sealed, no further requests are admitted")
	case <-ctx.Done():
	}
}

// Failed returns the channel of errors that end a listener.
func (r *Router) Failed() <-chan error {
	return r.serveErrors
}

// Sealed returns a channel that is closed once other processes have sealed this
// incarnation. The process must then stop and start again.
func (r *Router) Sealed() <-chan struct{} {
	return r.node.Sealed()
}

// listen opens the three listeners. The fleet reaches the internal one already
// while the router registers.
func (r *Router) listen() error {
	rpcServer := rpc.NewServer(r.options.FleetKey)
	service := &Service{Service: r.node.Service(), offsets: r.node.Offsets, grants: &r.grants}
	if err := rpcServer.Register(node.ServiceRouter, service); err != nil {
		return err
	}
	internalMux := http.NewServeMux()
	internalMux.Handle(wire.PathRPC, rpcServer)
	r.internalServer = r.newServer(internalMux)
	r.callerServer = r.newServer(markServing((&callerAPI{settings: r.node.Settings, active: &r.state.active, requests: r.requests, models: r.models}).handler()))
	r.callerServer.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return withHeaderConn(intake.ConnContext(ctx, conn), intake.Unwrap(conn))
	}
	r.adminServer = r.newServer(r.adminHandler())
	for _, l := range []struct {
		server  *http.Server
		address string
	}{
		{r.internalServer, r.options.InternalListen},
		{r.adminServer, r.options.AdminListen},
		{r.callerServer, r.options.Listen},
	} {
		if err := r.serveOn(l.server, l.address); err != nil {
			return err
		}
	}
	return nil
}

func (r *Router) newServer(h http.Handler) *http.Server {
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	intake.Prepare(server)
	return server
}

// Limits of connections, relative to that of callers.
const (
	internalConnShare = 0.25
	adminConnShare    = 0.05
)

// intakeOptions returns the limits of a server's listener.
func (r *Router) intakeOptions(server *http.Server) intake.Options {
	share := 1.0
	switch server {
	case r.internalServer:
		share = internalConnShare
	case r.adminServer:
		share = adminConnShare
	}
	limits := r.options.Limits()
	return intake.Options{MaxConns: limits.Conns(share), MaxHeadBytes: func() int { return maxHeaderBytes }, WriteTimeout: writeTimeout}
}

// serveOn listens on an address and serves requests in the background.
func (r *Router) serveOn(server *http.Server, address string) error {
	listener, err := intake.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	r.listenAddresses[server] = listener.Addr()
	if server == r.callerServer {
		listener = headerListener{Listener: listener, refusals: counter.NewSet("callers")}
	}
	limited := r.intake.Listener(listener, r.intakeOptions(server))
	r.background.Go(func() {
		if err := server.Serve(limited); !errors.Is(err, http.ErrServerClosed) {
			r.serveErrors <- errors.Wrapf(err, "serve %s", address)
		}
	})
	return nil
}

// CallersAddress returns the address of the caller listener. It must not be
// called before Start.
func (r *Router) CallersAddress() string {
	return r.listenAddresses[r.callerServer].String()
}

// AdminAddress returns the address of the administration listener. It must not
// be called before Start.
func (r *Router) AdminAddress() string {
	return r.listenAddresses[r.adminServer].String()
}

// requests runs the chain of chat completions and plain services. It refuses
// requests until the chain exists.
func (r *Router) requests(ctx context.Context, request *filter.Request) filter.Outcome {
	if chains := r.chains.Load(); chains != nil {
		return chains.requests(ctx, request)
	}
	return filter.Outcome{Refusal: r.state.Refusal()}
}

// models runs the chain of GET /v1/models. It refuses requests until the chain
// exists.
func (r *Router) models(ctx context.Context, request *filter.Request) filter.Outcome {
	if chains := r.chains.Load(); chains != nil {
		return chains.models(ctx, request)
	}
	return filter.Outcome{Refusal: r.state.Refusal()}
}
