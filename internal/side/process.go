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
	"github.com/camphorlever/camphorlever/internal/intake"
	"github.com/camphorlever/camphorlever/internal/logservice"
	"github.com/camphorlever/camphorlever/internal/node"
	"github.com/camphorlever/camphorlever/internal/rpc"
	"github.com/camphorlever/camphorlever/internal/settings"
	"github.com/camphorlever/camphorlever/internal/vmlist"
)

const limitsInterval = time.Second

// maxRunsPerSlot is the limit of concurrent runs per slot of a backend server.
const maxRunsPerSlot = 4

// ErrSealed means that the fleet has sealed this incarnation. The process has
// drained its runs and must be restarted.
var ErrSealed = node.ErrSealed

// Process is one side process. Use New, then Run once.
type Process struct {
	options Options
	log     zerolog.Logger
	node    *node.Node
	gate    *gate.Gate
	settler *Settler
	monitor *Monitor // nil if the backend server is a plain HTTP service
	client  *engine.Client
	intake  *intake.Budget
	vms     vmlist.Lister
	weights WeightStore
	server  *http.Server

	leaveOnce sync.Once
	leaving   chan struct{}  // closed by the first Leave
	done      chan struct{}  // closed to stop the controllers
	workers   sync.WaitGroup // a panic in a worker ends the process
}

// Platform holds the clients of the platform's services.
type Platform struct {
	Log     logservice.Log
	VMs     vmlist.Lister
	Weights WeightStore
	// Engine is the transport for calls to the backend server; nil uses TCP.
	Engine http.RoundTripper
}

// New returns a side process. It starts nothing until Run is called.
func New(options Options, platform Platform, logger zerolog.Logger) (*Process, error) {
	p := &Process{
		options: options,
		log:     logger.With().Str("part", "side").Logger(),
		vms:     platform.VMs,
		weights: platform.Weights,
		client:  engine.New(engine.Config{URL: options.EngineURL, Logger: logger, Transport: platform.Engine}),
		intake:  intake.NewBudget(options.Limits()),
		leaving: make(chan struct{}),
		done:    make(chan struct{}),
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
		Fleet:   fleetView{node: p.node},
		Settler: p.settler,
		Logger:  logger,
	})
	p.node.AddSealBarrier(sealBarrier{gate: p.gate, settler: p.settler})
	control := rpc.NewServer(options.FleetKey)
	if err := control.Register(node.ServiceSide, p.methods(logger)); err != nil {
		return nil, err
	}
	p.server = NewServer(NewHandler(p.gate, p.node, options.FleetKey, control, logger))
	return p, nil
}

// Intake returns the budget on which the clients of all listeners draw.
func (p *Process) Intake() *intake.Budget { return p.intake }

func (p *Process) methods(logger zerolog.Logger) *Methods {
	methods := &Methods{Service: p.node.Service(), gate: p.gate, fleet: p.node, tokenizer: p.client, leaver: p, ledger: p.node.Ledger()}
	if p.options.Service {
		methods.loadSource = serviceLoad{gate: p.gate, server: p.options.Server}
		return methods
	}
	p.monitor = NewMonitor(p.client, p.gate, p.options.Server, logger)
	methods.loadSource = p.monitor
	return methods
}

// Run serves on the listener until ctx ends, and then stops gracefully: it
// interrupts no run, and returns once all runs have ended and are settled and
// the process has deregistered. It returns ErrSealed if the fleet has sealed
// this incarnation.
func (p *Process) Run(ctx context.Context, listener net.Listener) error {
	served := make(chan error, 1)
	limited := LimitListener(p.intake, listener, p.options.Limits(), 1)
	p.workers.Go(func() { served <- p.server.Serve(limited) })
	if err := p.node.Start(ctx); err != nil {
		p.shutDown()
		if ctx.Err() != nil {
			return nil // stopped before the registration
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
		p.Leave("own incarnation is sealed")
		reason = ErrSealed
	case err := <-served:
		p.Leave("internal listener failed")
		reason = errors.Wrap(err, "internal listener")
	}
	return p.drain(reason)
}

// startControllers starts the background controllers. They end when done is
// closed.
func (p *Process) startControllers() {
	ctx, cancel := context.WithCancel(context.Background())
	p.workers.Go(func() {
		<-p.done
		cancel()
	})
	p.workers.Go(func() { p.settler.Run(ctx) })
	p.workers.Go(func() { p.intake.Run(ctx) })
	p.workers.Go(func() { p.applyLimits(ctx) })
	p.workers.Go(func() { p.watchForRemoval(ctx) })
	if p.monitor == nil {
		return
	}
	p.workers.Go(func() { p.monitor.Run(ctx) })
	orders := &OrderController{
		Server:       p.options.Server,
		Engine:       p.client,
		Weights:      p.weights,
		Logger:       p.log,
		Settings:     p.node.Settings,
		FencingToken: p.fencingToken,
		OnFenced:     func() { p.Leave("engine has received orders from a later side process") },
	}
	p.workers.Go(func() { orders.Run(ctx) })
}

// fencingToken returns the fencing token for orders, or zero if no order may be
// sent because the process is leaving or not live.
func (p *Process) fencingToken() ident.Incarnation {
	own := p.node.Incarnation()
	if p.gate.Leaving() || !p.node.Members().Live(own) {
		return 0
	}
	return own
}

// applyLimits periodically applies the limits of the settings to the gate, which
// also drops answers older than the retention.
func (p *Process) applyLimits(ctx context.Context) {
	for ctx.Err() == nil {
		tree := p.node.Settings()
		limits := tree.Fleet
		p.gate.SetLimits(int64(limits.AnswerBufferBytes), time.Duration(limits.AnswerRetentionS)*time.Second)
		p.gate.SetMaxRunning(maxRunning(tree.Servers[p.options.Server]))
		sleep(ctx, limitsInterval)
	}
}

// maxRunning returns the limit of concurrent runs. It exceeds the slots by which
// routers bound what they send, so that runs can wait in the backend server's
// own queue.
func maxRunning(server settings.Server) int {
	return max(gate.DefaultMaxRunning, maxRunsPerSlot*server.Slots)
}

// Ready returns nil if the process accepts new runs.
func (p *Process) Ready() error {
	if p.gate.Leaving() {
		return errors.New("leaving")
	}
	if p.gate.Incarnation() == 0 {
		return errors.New("gate is not open")
	}
	return p.node.Ready()
}
