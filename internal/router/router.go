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
	"github.com/camphorlever/camphorlever/internal/logservice"
	"github.com/camphorlever/camphorlever/internal/node"
	"github.com/camphorlever/camphorlever/internal/placement"
	"github.com/camphorlever/camphorlever/internal/relay"
	"github.com/camphorlever/camphorlever/internal/rpc"
	"github.com/camphorlever/camphorlever/internal/settlement"
	"github.com/camphorlever/camphorlever/internal/vmlist"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// Steps of a graceful stop.
const (
	// unreadyPause lets the balancer see that the router is not ready, while
	// it still serves what comes.
	unreadyPause = time.Second
	// activePoll is how often the stop looks for requests in progress.
	activePoll = 50 * time.Millisecond
	// flushTimeout bounds what is written to the log at the end.
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
	witness *witness
	relay   *relay.Client
	gates   *gates
	routers *routers

	work   conc.WaitGroup
	cancel context.CancelFunc // ends the controllers

	callers  *http.Server
	internal *http.Server
	admin    *http.Server
	failed   chan error // of a listener
	bound    map[*http.Server]net.Addr
	stop     sync.Once

	refusing chan struct{} // closed once new requests are refused
}

// New returns a router that does nothing until Start.
func New(o Options, log logservice.Log, vms vmlist.Lister, logger zerolog.Logger) *Router {
	r := &Router{
		options: o,
		log:     logger.With().Str("part", "router").Logger(),
		relay:   relay.New(o.FleetKey, nil),
		failed:  make(chan error, 3),
		bound:   map[*http.Server]net.Addr{},

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
	r.state = &state{ready: r.node.Ready}
	r.gates = newGates(r.node.Offsets, r.dial(node.ServiceSide))
	r.gates.catchUp = r.node.Ledger().CatchUp
	r.routers = &routers{
		members: r.node.Members,
		offsets: r.node.Offsets,
		dial:    r.dial(node.ServiceRouter),
		callers: map[string]rpc.Caller{},
	}
	r.witness = &witness{tracker: settlement.New(settlement.Config{
		Ledger:      r.node.Ledger(),
		Incarnation: r.node.Incarnation,
		IsSealed:    func(life ident.Incarnation) bool { return r.node.Members().Sealed(life) },
		Probe:       r.probe,
		OnNeverRan:  r.neverRan,
		OnUnbilled:  r.unbilled,
		Logger:      logger,
	})}
	r.node.AddSealBarrier(r.witness.tracker)
	return r
}

func (r *Router) dial(service string) func(address string) rpc.Caller {
	return func(address string) rpc.Caller {
		return rpc.NewClient(rpc.Options{
			Address:  address,
			FleetKey: r.options.FleetKey,
			Service:  service,
			Offsets:  r.node.Offsets,
		})
	}
}

// Start opens the listeners, joins the fleet and returns when the router
// serves, or when ctx ends. Until it serves, callers are refused.
func (r *Router) Start(ctx context.Context) error {
	if err := r.listen(); err != nil {
		return err
	}
	if err := r.node.Start(ctx); err != nil {
		return err
	}
	r.serve()
	r.log.Info().Uint64("incarnation", uint64(r.node.Incarnation())).Msg("router serves")
	return nil
}

// serve starts what needs the router's incarnation.
func (r *Router) serve() {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	self := r.node.Incarnation()
	grants := budget.New(budget.Config{
		Self:       self,
		DataCentre: r.options.DataCentre,
		Ledger:     r.node.Ledger(),
		Fleet:      budgetFleet{members: r.node.Members},
		Peers:      r.routers,
		Policy:     policyOf(r.node.Settings),
		Teams:      teamsOf(r.node.Settings),
		Logger:     r.log,
	})
	r.grants.Store(grants)
	picker := placement.New(placement.Config{Router: self})
	dir := &directory{node: r.node, picker: picker, relay: r.relay, gates: r.gates}
	joined := newChains(parts{
		state:     r.state,
		budget:    &admission{grants: grants, self: self},
		claims:    &claims{ledger: r.node.Ledger()},
		witness:   r.witness,
		self:      r.node,
		directory: dir,
		picker:    picker,
		relay:     r.relay,
		gates:     r.gates,
		log:       r.log,
	})
	r.chains.Store(&joined)
	loads := &loads{directory: dir, picker: picker, gates: r.gates, routers: r.routers, kick: joined.queue.DispatchWaiting, polls: counter.NewSet("load_polls")}
	r.work.Go(func() { grants.Run(ctx) })
	r.work.Go(func() { loads.run(ctx) })
	r.work.Go(func() { r.witness.tracker.Run(ctx) })
	r.work.Go(func() { r.fence(ctx) })
	r.state.started.Store(true)
}

// fence stops all admission once others hold this life for over.
func (r *Router) fence(ctx context.Context) {
	select {
	case <-r.node.Sealed():
		r.grants.Load().Fence()
		r.log.Warn().Msg("own life was sealed, no further admission")
	case <-ctx.Done():
	}
}

// Failed tells of a listener that broke.
func (r *Router) Failed() <-chan error {
	return r.failed
}

// Sealed is closed once others hold this life for over; the process must
// stop and start anew.
func (r *Router) Sealed() <-chan struct{} {
	return r.node.Sealed()
}

func (r *Router) listen() error {
	control := rpc.NewServer(r.options.FleetKey)
	service := &Service{Service: r.node.Service(), offsets: r.node.Offsets, grants: &r.grants}
	if err := control.Register(node.ServiceRouter, service); err != nil {
		return err
	}
	internal := http.NewServeMux()
	internal.Handle(wire.PathRPC, control)
	r.internal = r.server(internal)
	r.callers = r.server(markServing((&callers{settings: r.node.Settings, active: &r.state.active, requests: r.requests, models: r.models}).handler()))
	r.callers.MaxHeaderBytes = maxHeaderBytes
	r.callers.ConnContext = withHeaderConn
	r.admin = r.server(r.adminHandler())
	for _, l := range []struct {
		server  *http.Server
		address string
	}{
		{r.internal, r.options.InternalListen},
		{r.admin, r.options.AdminListen},
		{r.callers, r.options.Listen},
	} {
		if err := r.bind(l.server, l.address); err != nil {
			return err
		}
	}
	return nil
}

func (r *Router) server(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
}

func (r *Router) bind(server *http.Server, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	r.bound[server] = listener.Addr()
	if server == r.callers {
		listener = headerListener{Listener: listener, refusals: counter.NewSet("callers")}
	}
	r.work.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			r.failed <- errors.Wrapf(err, "serve %s", address)
		}
	})
	return nil
}

// CallersAddress returns where callers are served, once started.
func (r *Router) CallersAddress() string {
	return r.bound[r.callers].String()
}

// AdminAddress returns where the administration interface is served.
func (r *Router) AdminAddress() string {
	return r.bound[r.admin].String()
}

// requests and models are the chains once there are any; until then every
// request is refused.
func (r *Router) requests(ctx context.Context, request *filter.Request) filter.Outcome {
	if joined := r.chains.Load(); joined != nil {
		return joined.requests(ctx, request)
	}
	return filter.Outcome{Refusal: r.state.Refusal()}
}

func (r *Router) models(ctx context.Context, request *filter.Request) filter.Outcome {
	if joined := r.chains.Load(); joined != nil {
		return joined.models(ctx, request)
	}
	return filter.Outcome{Refusal: r.state.Refusal()}
}
