// Package entry implements the router process of cmd/camphor-entry. It forwards
// callers' requests unchanged to backend servers, within prepaid budgets. The
// routers of package router send runs to a gate process (package side) next to
// each server; the routers of this package send them to the servers directly.
package entry

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/camphorlever/camphorlever/internal/affinity"
	"github.com/camphorlever/camphorlever/internal/catalog"
	"github.com/camphorlever/camphorlever/internal/coldlimit"
	"github.com/camphorlever/camphorlever/internal/evacuation"
	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/filter/forward"
	quarantinefilter "github.com/camphorlever/camphorlever/internal/filter/quarantine"
	"github.com/camphorlever/camphorlever/internal/filter/recovery"
	"github.com/camphorlever/camphorlever/internal/filter/route"
	"github.com/camphorlever/camphorlever/internal/filter/spend"
	"github.com/camphorlever/camphorlever/internal/intake"
	"github.com/camphorlever/camphorlever/internal/loadview"
	"github.com/camphorlever/camphorlever/internal/logservice"
	"github.com/camphorlever/camphorlever/internal/membership"
	"github.com/camphorlever/camphorlever/internal/peers"
	"github.com/camphorlever/camphorlever/internal/prepaid"
	"github.com/camphorlever/camphorlever/internal/pressure"
	"github.com/camphorlever/camphorlever/internal/quarantine"
	"github.com/camphorlever/camphorlever/internal/retry"
	"github.com/camphorlever/camphorlever/internal/rpc"
	"github.com/camphorlever/camphorlever/internal/supervise"
	"github.com/camphorlever/camphorlever/internal/upstream"
	"github.com/camphorlever/camphorlever/internal/watch"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// Timing and limits of the process.
const (
	// headerTimeout bounds how long a caller may take to send a header, and
	// idleTimeout how long a connection may stay idle. Both exceed the limits
	// that deployments set for their callers, because the settings are not
	// known yet when the first connection is accepted.
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	// writeTimeout bounds one write to a caller that does not read.
	writeTimeout = 5 * time.Second
	// announceDelay bounds how long a router waits for the list of the others
	// before it announces itself.
	announceDelay = time.Second
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 64 << 10
	// minRouters is the least number of routers among which the fleet's
	// MinRetries is divided: the entry VMs of a small deployment, and as many
	// again in reserve, which may be added before they are known.
	minRouters = 8
	// retryBudgetMargin is the part of the shared retry budget that is used.
	// The rest allows for the error of counting windows in steps.
	retryBudgetMargin = 0.8
)

// Poll timing of the streams. The intervals are short compared with the seconds
// within which a change must be in force, and collect many entries in one read.
// The long polls are short enough to notice a silent connection within that
// time; the addresses of routers are not urgent.
var (
	settingsTiming   = watch.PollTiming{MinInterval: 100 * time.Millisecond, LongPoll: 900 * time.Millisecond}
	serversTiming    = watch.PollTiming{MinInterval: 500 * time.Millisecond, LongPoll: 900 * time.Millisecond}
	quarantineTiming = watch.PollTiming{MinInterval: 100 * time.Millisecond, LongPoll: 5 * time.Second}
	routersTiming    = watch.PollTiming{MinInterval: time.Second, LongPoll: 10 * time.Second}
	// coldRoutersTiming is used instead of routersTiming where the rate of cold servers
	// is divided among the routers: package coldlimit needs a list that is at most 3.5 s old.
	coldRoutersTiming = watch.PollTiming{MinInterval: time.Second, LongPoll: 1500 * time.Millisecond}
)

// Log is the platform's log.
type Log interface {
	watch.Log
	prepaid.Log
	peers.Announcer
}

// Codec translates headers between callers, the router and backend servers.
type Codec interface {
	forward.Codec
	// ParseCall parses the headers of a request from a caller.
	ParseCall(h http.Header) filter.Call
	upstream.ResponseParser
	// SetRefusalHeader sets the response headers of a refused request.
	SetRefusalHeader(h http.Header, attempt string, retryAfter time.Duration)
}

// Options describes the deployment of a router.
type Options struct {
	Node               string
	DataCentre         string
	CallersAddress     string
	ReadyAddress       string
	Listen             func(network, address string) (net.Listener, error) // intake.Listen if nil
	PeerAddress        string                                              // of the listener for calls between routers
	FleetKey           string                                              // secret that calls between routers must carry
	PathReady          string
	MetricsAddress     string            // empty: no metrics are served
	LinkBytesPerSecond float64           // capacity of the VM's link in each direction; zero if unknown
	GracePeriod        time.Duration     // from the stop signal until the process is killed
	RetryLimits        retry.Limits      // of the whole fleet, for each service
	Limits             intake.Limits     // of the VM
	ExchangeLoads      bool              // exchange the loads of servers with other routers, in a fleet of more than loadview.MinFleet
	LogWritesPerSecond float64           // appends that all routers together may make; zero if unknown
	EvacuationTimeout  time.Duration     // from the acknowledgement of an evacuation order until the last request is sent; zero if not limited
	Regions            map[string]string // regions by data centre

	// ColdOverage and ColdTolerance say how many requests beyond its rate a cold server
	// takes in any second: rate x ColdOverage + ColdTolerance in all. Cold servers are
	// limited only if ColdOverage is positive.
	ColdOverage, ColdTolerance float64

	StreamSettings   logservice.Stream
	StreamServers    logservice.Stream
	StreamBudgets    logservice.Stream
	StreamLayout     logservice.Stream // number of shards of the ledger
	StreamRouters    logservice.Stream
	StreamQuarantine logservice.Stream
	Decoder          Decoder
}

// Router is a router process.
type Router struct {
	options           Options
	platform          Log
	codec             Codec
	log               zerolog.Logger
	settings          *settingsSink
	refreshSettings   chan struct{} // has the other routers asked for newer settings
	settingsCompared  atomic.Bool   // other routers were asked for newer settings since the start
	servers           *membership.Table
	serverWatcher     *watch.Watcher
	peerWatcher       *watch.Watcher
	peerSet           *peers.PeerSet
	balances          *prepaid.LocalBalances
	placer            *affinity.Placer
	orders            *evacuation.Set
	cold              *coldlimit.Limiter // nil if cold servers are not limited
	sendGate          *sendGate
	pool              *upstream.Pool
	quarantine        *quarantine.Tracker
	quarantineWatcher *watch.Watcher
	peerClient        *peers.Client
	loads             *loadview.Tracker   // nil if loads are not exchanged
	loadExchange      *peers.LoadExchange // nil if loads are not exchanged
	chain             filter.Next
	pressure          *pressure.Monitor
	metrics           *requestMetrics
	intake            *intake.Budget

	activeRequests atomic.Int64 // requests in progress
	stopping       atomic.Bool  // readiness is denied, so that the platform sends no new callers
	stopFilter     *stopFilter

	callerServer    *http.Server
	peerServer      *http.Server
	readyServer     *http.Server
	metricsServer   *http.Server
	listenAddresses map[*http.Server]net.Addr // actual addresses of the listeners, set by Start
	serveErrors     chan error
	background      conc.WaitGroup
	budgetTasks     conc.WaitGroup
	cancel          context.CancelFunc
	cancelBudget    context.CancelFunc // ends the budget tasks
	abortRequests   context.CancelCauseFunc
}

// New returns a router that is idle until Start.
func New(o Options, log Log, codec Codec, logger zerolog.Logger) *Router {
	r := &Router{
		options:         o,
		platform:        log,
		codec:           codec,
		log:             logger.With().Str("part", "entry").Logger(),
		servers:         membership.New(logger),
		placer:          affinity.New(o.DataCentre),
		pool:            upstream.NewPool(codec),
		metrics:         newRequestMetrics(),
		intake:          intake.NewBudget(o.Limits),
		listenAddresses: map[*http.Server]net.Addr{},
		serveErrors:     make(chan error, 3),
		refreshSettings: make(chan struct{}, 1),
	}
	r.stopFilter = newStopFilter(r.log)
	if o.ColdOverage > 0 {
		r.cold = coldlimit.New(coldlimit.Options{Self: o.Node, Overage: o.ColdOverage, Tolerance: o.ColdTolerance,
			SyncedAt: func() time.Time { return r.peerWatcher.SyncedAt() }, Now: time.Now}, logger)
		r.placer.LimitCold(r.cold)
	}
	r.pool.Observe(&serverObserver{servers: r.servers, placer: r.placer, cold: r.cold, log: r.log})
	r.orders = evacuation.New(logger, time.Now)
	r.metrics.registry.MustRegister(ordersCollector{r.orders})
	r.servers.WithholdDataCentres(r.orders.InForce)
	r.settings = &settingsSink{decoder: o.Decoder, log: r.log, onChange: r.settingsChanged, onRestore: r.logRestored}
	r.settings.orders = &evacuationSink{decoder: o.Decoder, orders: r.orders, servers: r.servers, placer: r.placer, log: r.log}
	r.settings.watcher = watch.New(log, o.StreamSettings, r.settings, settingsTiming, logger)
	r.sendGate = newSendGate(r.orders, r.settings.watcher, o.EvacuationTimeout)
	r.serverWatcher = watch.New(log, o.StreamServers, &serverSink{decoder: o.Decoder, table: r.servers, cold: r.cold}, serversTiming, logger)
	incarnation := o.Node + "/" + uuid.NewString()
	r.peerSet = peers.NewPeerSet(peers.Member{Node: o.Node, Address: o.PeerAddress, Incarnation: incarnation, DataCentre: o.DataCentre}, o.StreamRouters, logger)
	r.pressure = pressure.New(o.LinkBytesPerSecond, r.peerSet.MayReportFull, logger)
	r.peerWatcher = watch.New(log, o.StreamRouters, r.peerSet, routersTiming, logger)
	if r.cold != nil {
		r.peerWatcher = watch.New(log, o.StreamRouters, &routerSink{Sink: r.peerSet, cold: r.cold}, coldRoutersTiming, logger)
	}
	streams := prepaid.Streams{Budgets: o.StreamBudgets, Layout: o.StreamLayout, Shards: ledgerShards(o.LogWritesPerSecond)}
	r.peerClient = peers.NewClient(r.peerSet, o.FleetKey)
	r.serverWatcher.ShareSnapshots(r.peerClient)
	if o.ExchangeLoads {
		r.loads = loadview.New(o.Node, time.Now)
		r.loadExchange = peers.NewLoadExchange(r.peerSet, o.FleetKey, r.loads, logger)
		r.placer.ShareLoads(r.loads)
	}
	r.balances = prepaid.NewLocalBalances(log, streams, incarnation, r.settings.Current, r.peerClient, logger)
	r.balances.ObserveLogGap(r.settings.watcher.GapBefore)
	r.quarantine = quarantine.New(logger)
	r.quarantineWatcher = watch.New(log, o.StreamQuarantine, r.quarantine, quarantineTiming, logger)
	r.chain = filter.Chain(
		recovery.New(r.log),
		route.New(&syncedSettings{r.settings}),
		r.stopFilter,
		quarantinefilter.New(r.quarantine),
		spend.New(r.balances),
		forward.New(forward.Deps{
			Codec:      codec,
			Servers:    r.servers,
			Placer:     r.placer,
			Pool:       r.pool,
			Gate:       r.sendGate,
			Regions:    o.Regions,
			Quarantine: r.quarantine,
			Memory:     r.intake,
			Retries:    func() retry.Limits { return routerRetryLimits(o.RetryLimits, len(r.peerSet.Fleet().Routers)) },
			Log:        logger,
		}),
	)
	return r
}

// logRestored is called after the log came back from an older copy of itself.
func (r *Router) logRestored() {
	r.balances.LogRestored()
	select {
	case r.refreshSettings <- struct{}{}:
	default:
	}
}

// settingsChanged is called with new settings.
func (r *Router) settingsChanged(s *catalog.Settings) {
	if r.cold != nil {
		r.cold.SetRates(coldRates(s))
	}
}

// writesPerShard is how many appends per second of the log's allowance make up one
// shard of the ledger, about as many as one stream can take.
const writesPerShard = 250

// ledgerShards returns the number of shards of a new ledger.
func ledgerShards(writesPerSecond float64) int {
	return max(int(writesPerSecond/writesPerShard), 1)
}

// routerRetryLimits returns this router's part of the fleet's retry limits.
// Each router counts only the requests that it received, so the ratio needs no
// splitting.
func routerRetryLimits(fleet retry.Limits, routers int) retry.Limits {
	fleet.Ratio *= retryBudgetMargin
	fleet.MinRetries = int64(retryBudgetMargin * float64(fleet.MinRetries) / float64(max(routers, minRouters)))
	return fleet
}

// syncedSettings adds the watcher's Sync to the settings.
type syncedSettings struct{ *settingsSink }

// Sync implements route.Settings.
func (s *syncedSettings) Sync(ctx context.Context) error { return s.watcher.Sync(ctx) }

// Start opens the listeners and starts to follow the log. Callers are refused
// until the initial state has been read.
func (r *Router) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	budgetCtx, cancelBudget := context.WithCancel(context.Background())
	r.cancelBudget = cancelBudget
	requestsCtx, abortRequests := context.WithCancelCause(context.Background())
	r.abortRequests = abortRequests
	r.callerServer = r.server(http.HandlerFunc(r.serve))
	r.callerServer.BaseContext = func(net.Listener) context.Context { return requestsCtx }
	readyMux := http.NewServeMux()
	readyMux.HandleFunc("GET "+r.options.PathReady, r.serveReady)
	r.readyServer = r.server(readyMux)
	if err := r.listen(r.callerServer, r.options.CallersAddress); err != nil {
		return err
	}
	if err := r.listen(r.readyServer, r.options.ReadyAddress); err != nil {
		return err
	}
	rpcServer := rpc.NewServer(r.options.FleetKey)
	methods := peers.NewMethods(r.balances, r.snapshot, r.quarantine)
	methods.ServeLedger(r.balances)
	methods.ServeSettings(r.settings.valueNewerThan)
	if r.loads != nil {
		methods.ServeLoads(r.loads)
	}
	if err := rpcServer.Register(peers.Service, methods); err != nil {
		return err
	}
	peerMux := http.NewServeMux()
	peerMux.Handle(wire.PathRPC, rpcServer)
	r.peerServer = r.server(peerMux)
	if err := r.listen(r.peerServer, r.options.PeerAddress); err != nil {
		return err
	}
	if _, port, err := net.SplitHostPort(r.options.PeerAddress); err == nil && port == "0" {
		r.peerSet.SetAddress(r.listenAddresses[r.peerServer].String()) // others cannot call port 0
	}
	if r.options.MetricsAddress != "" {
		r.metricsServer = r.server(r.metrics.handler())
		if err := r.listen(r.metricsServer, r.options.MetricsAddress); err != nil {
			return err
		}
	}
	for name, task := range map[string]func(context.Context){
		"follow settings":   r.settings.watcher.Run,
		"follow servers":    r.serverWatcher.Run,
		"follow routers":    r.peerWatcher.Run,
		"clean up":          r.cleanUp,
		"sample pressure":   r.samplePressure,
		"announce pressure": r.announcePressure,
		"report intake":     r.reportIntake,
		"close unread":      r.intake.Run,
		"announce":          r.announce,
		"refresh settings":  r.fetchNewerSettings,
		"follow quarantine": r.quarantineWatcher.Run,
		"share quarantine":  func(ctx context.Context) { r.quarantine.RunGossip(ctx, r.peerClient) },
		"write quarantine":  func(ctx context.Context) { r.quarantine.RunWriter(ctx, r.platform, r.options.StreamQuarantine) },
		"probe servers":     func(ctx context.Context) { r.quarantine.RunProber(ctx, &gatedProber{gate: r.sendGate, prober: r.pool}) },
	} {
		r.background.Go(func() { supervise.Run(ctx, r.log, name, task) })
	}
	if r.loadExchange != nil {
		r.background.Go(func() { supervise.Run(ctx, r.log, "exchange loads", r.loadExchange.Run) })
	}
	r.budgetTasks.Go(func() { r.balances.Run(budgetCtx) })
	r.log.Info().Str("node", r.options.Node).Str("data_centre", r.options.DataCentre).Msg("router started")
	return nil
}

// snapshot returns a snapshot of a stream for another router.
func (r *Router) snapshot(stream logservice.Stream) (watch.Snapshot, bool, error) {
	if stream != r.options.StreamServers {
		return watch.Snapshot{}, false, nil
	}
	return r.serverWatcher.Snapshot()
}

func (r *Router) server(h http.Handler) *http.Server {
	server := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          httpErrorLog(r.log),
	}
	intake.Prepare(server)
	return server
}

func (r *Router) listen(server *http.Server, address string) error {
	listen := r.options.Listen
	if listen == nil {
		listen = intake.Listen
	}
	listener, err := listen("tcp4", address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", address)
	}
	r.listenAddresses[server] = listener.Addr()
	if server == r.callerServer {
		listener = r.pressure.Listener(listener)
	}
	limited := r.intake.Listener(listener, r.intakeOptions(server))
	r.background.Go(func() {
		if err := server.Serve(limited); !errors.Is(err, http.ErrServerClosed) {
			r.serveErrors <- errors.Wrapf(err, "serve on %s", address)
		}
	})
	return nil
}

// announce publishes the address of this router to the other routers. It first waits
// for the list of them: if all routers have started, reads of the list would have to
// wait for their appends.
func (r *Router) announce(ctx context.Context) {
	r.peerSet.AwaitLoaded(ctx, announceDelay)
	for {
		if err := r.peerSet.Announce(ctx, r.platform); err != nil {
			r.log.Warn().Err(err).Msg("router could not announce itself")
		}
		select {
		case <-r.peerSet.Restored():
		case <-ctx.Done():
			return
		}
		if r.stopping.Load() {
			return // the router has announced that it leaves, or is about to
		}
	}
}

// CallersAddress returns the address on which callers are served, after Start.
func (r *Router) CallersAddress() string { return r.listenAddresses[r.callerServer].String() }

// ReadyAddress returns the address of the readiness probe, after Start.
func (r *Router) ReadyAddress() string { return r.listenAddresses[r.readyServer].String() }

// Failed returns the channel that receives the error of a listener that failed.
func (r *Router) Failed() <-chan error { return r.serveErrors }

// loaded reports whether all state that requests need has been read.
func (r *Router) loaded() bool {
	if r.settings.Current() == nil || !r.settingsCompared.Load() || r.serverWatcher.SyncedAt().IsZero() || r.quarantineWatcher.SyncedAt().IsZero() {
		return false
	}
	select {
	case <-r.balances.Loaded():
		return true
	default:
		return false
	}
}

// serveReady answers the platform's readiness probe: whether callers may be
// sent to this router.
func (r *Router) serveReady(w http.ResponseWriter, _ *http.Request) {
	if r.stopping.Load() || r.pressure.Overloaded() || !r.loaded() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
