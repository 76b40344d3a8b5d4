package side

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/camphorlever/camphorlever/internal/engine"
	"github.com/camphorlever/camphorlever/internal/fleet"
	"github.com/camphorlever/camphorlever/internal/gate"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/logservice"
	"github.com/camphorlever/camphorlever/internal/node"
	"github.com/camphorlever/camphorlever/internal/rpc"
	"github.com/camphorlever/camphorlever/internal/settings"
	"github.com/camphorlever/camphorlever/internal/vmlist"
)

const sweepInterval = time.Second

// queuedPerSlot bounds the runs at a backend server by its slots.
const queuedPerSlot = 4

// ErrSealed means that the fleet holds this life for over. The process has
// let its runs end; it has to be started anew.
var ErrSealed = node.ErrSealed

// Process is one side process. Use New, then Run once.
type Process struct {
	options Options
	log     zerolog.Logger
	node    *node.Node
	gate    *gate.Gate
	settler *Settler
	monitor *Monitor // nil beside a plain service
	client  *engine.Client
	vms     vmlist.Lister
	weights WeightStore
	server  *http.Server

	leave     sync.Once
	announced chan struct{}  // closed when leaving begins
	stopped   chan struct{}  // closed when the controllers have to end
	work      sync.WaitGroup // a panic in one of them ends the process
}

// Platform holds the clients of what the platform gives.
type Platform struct {
	Log     logservice.Log
	VMs     vmlist.Lister
	Weights WeightStore
	// Engine carries the calls to the backend server; nil dials TCP.
	Engine http.RoundTripper
}

// New puts a side process together. Nothing runs until Run.
func New(options Options, platform Platform, logger zerolog.Logger) (*Process, error) {
	p := &Process{
		options:   options,
		log:       logger.With().Str("part", "side").Logger(),
		vms:       platform.VMs,
		weights:   platform.Weights,
		client:    engine.New(engine.Config{URL: options.EngineURL, Logger: logger, Transport: platform.Engine}),
		announced: make(chan struct{}),
		stopped:   make(chan struct{}),
	}
	p.node = node.New(node.Options{
		Role:         fleet.RoleSide,
		VM:           options.VM,
		DataCentre:   options.DataCentre,
		Address:      options.InternalAdvertise,
		Server:       options.Server,
		LedgerShards: options.LedgerShards,
		FleetKey:     options.FleetKey,
		Peers:        options.Peers,
	}, platform.Log, platform.VMs, logger)
	p.settler = NewSettler(p.node.Ledger(), func() int { return len(p.node.Members().Sides) }, logger)
	p.gate = gate.New(gate.Config{
		Backend: p.client,
		Fleet:   lives{node: p.node},
		Settler: p.settler,
		Logger:  logger,
	})
	p.node.AddSealBarrier(witness{gate: p.gate, settler: p.settler})
	control := rpc.NewServer(options.FleetKey)
	if err := control.Register(node.ServiceSide, p.methods(logger)); err != nil {
		return nil, err
	}
	p.server = NewServer(NewHandler(p.gate, p.node, options.FleetKey, control, logger))
	return p, nil
}

func (p *Process) methods(logger zerolog.Logger) *Methods {
	methods := &Methods{Service: p.node.Service(), gate: p.gate, fleet: p.node, counter: p.client, leaver: p, claims: p.node.Ledger()}
	if p.options.Service {
		methods.loads = plainLoad{gate: p.gate, server: p.options.Server}
		return methods
	}
	p.monitor = NewMonitor(p.client, p.gate, p.options.Server, logger)
	methods.loads = p.monitor
	return methods
}

// Run serves on the listener until ctx ends, and then stops gracefully: it
// cuts off no run, and returns when all are over and settled and the process
// has deregistered. It returns ErrSealed if the fleet holds this life for over.
func (p *Process) Run(ctx context.Context, listener net.Listener) error {
	served := make(chan error, 1)
	p.work.Go(func() { served <- p.server.Serve(listener) })
	if err := p.node.Start(ctx); err != nil {
		p.abandon()
		if ctx.Err() != nil {
			return nil // stopped before it was registered
		}
		return err
	}
	p.gate.Open(p.node.Incarnation())
	p.startControllers()
	p.log.Info().Str("address", listener.Addr().String()).Msg("ready")
	var reason error
	select {
	case <-ctx.Done():
		p.Leave("stop signal")
	case <-p.node.Sealed():
		p.Leave("own life is sealed")
		reason = ErrSealed
	case err := <-served:
		p.Leave("internal listener failed")
		reason = errors.Wrap(err, "internal listener")
	}
	return p.stop(reason)
}

// startControllers starts what runs beside the listener until the end.
func (p *Process) startControllers() {
	ctx, cancel := context.WithCancel(context.Background())
	p.work.Go(func() {
		<-p.stopped
		cancel()
	})
	p.work.Go(func() { p.settler.Run(ctx) })
	p.work.Go(func() { p.sweep(ctx) })
	p.work.Go(func() { p.watchLeaving(ctx) })
	if p.monitor == nil {
		return
	}
	p.work.Go(func() { p.monitor.Run(ctx) })
	orders := &Orders{
		Server:   p.options.Server,
		Engine:   p.client,
		Weights:  p.weights,
		Logger:   p.log,
		Settings: p.node.Settings,
		Fence:    p.fence,
		Fenced:   func() { p.Leave("engine has a later side process") },
	}
	p.work.Go(func() { orders.Run(ctx) })
}

// fence returns the fencing number of orders, zero if none may be given.
func (p *Process) fence() ident.Incarnation {
	own := p.node.Incarnation()
	if p.gate.Leaving() || !p.node.Members().Live(own) {
		return 0
	}
	return own
}

// sweep drops old answers and applies the settings' limits.
func (p *Process) sweep(ctx context.Context) {
	for ctx.Err() == nil {
		tree := p.node.Settings()
		limits := tree.Fleet
		p.gate.SetLimits(int64(limits.AnswerBufferBytes), time.Duration(limits.AnswerRetentionS)*time.Second)
		p.gate.SetMaxRunning(maxRunning(tree.Servers[p.options.Server]))
		pauseFor(ctx, sweepInterval)
	}
}

// maxRunning leaves room for runs that wait in the backend server's own queue,
// beyond what routers send it by its slots.
func maxRunning(server settings.Server) int {
	return max(gate.DefaultMaxRunning, queuedPerSlot*server.Slots)
}

// Ready returns nil if the process takes new work.
func (p *Process) Ready() error {
	if p.gate.Leaving() {
		return errors.New("leaving")
	}
	return p.node.Ready()
}
