// Package entry is the router process on the users' platform: it passes
// callers' requests on to backend servers as they came, within prepaid budgets.
// The router itself begins the runs; there is no process beside the servers.
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
	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/filter/forward"
	"github.com/camphorlever/camphorlever/internal/filter/recovery"
	"github.com/camphorlever/camphorlever/internal/filter/route"
	"github.com/camphorlever/camphorlever/internal/filter/spend"
	"github.com/camphorlever/camphorlever/internal/logservice"
	"github.com/camphorlever/camphorlever/internal/membership"
	"github.com/camphorlever/camphorlever/internal/peers"
	"github.com/camphorlever/camphorlever/internal/prepaid"
	"github.com/camphorlever/camphorlever/internal/pressure"
	"github.com/camphorlever/camphorlever/internal/retry"
	"github.com/camphorlever/camphorlever/internal/rpc"
	"github.com/camphorlever/camphorlever/internal/upstream"
	"github.com/camphorlever/camphorlever/internal/watch"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// Times and limits of the process.
const (
	// settleEvery is how often lapsed servers and idle connections are looked
	// at.
	settleEvery = 200 * time.Millisecond
	// headerTimeout and idleTimeout bound what a caller may take. They are
	// above what deployments allow their callers, since the settings are not
	// known yet when the first connection comes.
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	// writeTimeout bounds one write to a caller that does not read.
	writeTimeout = 5 * time.Second
	// maxHeaderBytes bounds a request's header.
	maxHeaderBytes = 64 << 10
	// routers is how many routers share the retry budget at most, as long as
	// they do not know of each other: the entry VMs of a small deployment and
	// as many spare ones.
	routers = 8
	// retryMargin is left of the shared retry budget, since windows are
	// counted in steps.
	retryMargin = 0.8
)

// How the streams are read. The gaps are small against the seconds in which a
// change must be in force, and take in many entries at once. The holds let a
// silent connection be noticed within that time; where routers are to be found
// is not urgent.
var (
	settingsPace = watch.PollTiming{MinInterval: 100 * time.Millisecond, LongPoll: 900 * time.Millisecond}
	serversPace  = watch.PollTiming{MinInterval: 500 * time.Millisecond, LongPoll: 900 * time.Millisecond}
	routersPace  = watch.PollTiming{MinInterval: time.Second, LongPoll: 10 * time.Second}
)

// Log is the platform's log.
type Log interface {
	watch.Log
	prepaid.Log
	peers.Announcer
}

// Codec translates headers at the boundary.
type Codec interface {
	forward.Codec
	// Call reads what a caller's headers say.
	Call(h http.Header) filter.Call
	upstream.ResponseParser
	Refuse(h http.Header, attempt string, retryAfter time.Duration)
}

// Options is what a router needs to know of its place.
type Options struct {
	Node               string
	DataCentre         string
	CallersAddress     string
	ReadyAddress       string
	PeerAddress        string // for calls between routers
	FleetKey           string // that calls between routers must carry
	PathReady          string
	MetricsAddress     string        // empty: no metrics are served
	LinkBytesPerSecond float64       // that the VM's link carries a second, each way; zero if not known
	GracePeriod        time.Duration // from the signal to stop until the process is killed
	RetryLimits        retry.Limits  // over all routers, for each service

	StreamSettings logservice.Stream
	StreamServers  logservice.Stream
	StreamBudgets  logservice.Stream
	StreamRouters  logservice.Stream
	Decoder        Decoder
}

// Router is a router process.
type Router struct {
	options   Options
	platform  Log
	codec     Codec
	log       zerolog.Logger
	settings  *published
	table     *membership.Table
	serverLog *watch.Watcher
	routerLog *watch.Watcher
	roster    *peers.PeerSet
	hands     *prepaid.LocalBalances
	placer    *affinity.Placer
	pool      *upstream.Pool
	chain     filter.Next
	pressure  *pressure.Monitor
	outcomes  *outcomes

	active   atomic.Int64 // requests in progress
	stopping atomic.Bool  // the platform is told not to send callers
	lastCall *lastCall

	callers *http.Server
	inner   *http.Server
	ready   *http.Server
	metrics *http.Server
	bound   map[*http.Server]net.Addr // where the listeners stand, since Start
	failed  chan error
	work    conc.WaitGroup
	budget  conc.WaitGroup
	cancel  context.CancelFunc
	halt    context.CancelFunc // ends the draws
}

// New returns a router that does nothing until Start.
func New(o Options, log Log, codec Codec, logger zerolog.Logger) *Router {
	r := &Router{
		options:  o,
		platform: log,
		codec:    codec,
		log:      logger.With().Str("part", "entry").Logger(),
		table:    membership.New(logger),
		placer:   affinity.New(o.DataCentre),
		pool:     upstream.NewPool(codec),
		outcomes: newOutcomes(),
		lastCall: newLastCall(),
		bound:    map[*http.Server]net.Addr{},
		failed:   make(chan error, 3),
	}
	r.settings = &published{decoder: o.Decoder, log: r.log, changed: func(*catalog.Settings) {}}
	r.settings.watcher = watch.New(log, o.StreamSettings, r.settings, settingsPace, logger)
	r.serverLog = watch.New(log, o.StreamServers, &servers{decoder: o.Decoder, table: r.table}, serversPace, logger)
	life := o.Node + "/" + uuid.NewString()
	r.roster = peers.NewPeerSet(peers.Member{Node: o.Node, Address: o.PeerAddress, Incarnation: life}, o.StreamRouters, logger)
	r.pressure = pressure.New(o.LinkBytesPerSecond, r.roster.MayReportFull, logger)
	r.routerLog = watch.New(log, o.StreamRouters, r.roster, routersPace, logger)
	ledger := prepaid.NewLedger(log, o.StreamBudgets, life, logger)
	r.hands = prepaid.NewLocalBalances(ledger, r.settings.Current, peers.NewClient(r.roster, o.FleetKey), logger)
	r.chain = filter.Chain(
		recovery.New(r.log),
		route.New(&freshSettings{r.settings}),
		r.lastCall,
		spend.New(r.hands),
		forward.New(forward.Deps{
			Codec:   codec,
			Servers: r.table,
			Placer:  r.placer,
			Pool:    r.pool,
			Retries: ownShare(o.RetryLimits),
			Log:     logger,
		}),
	)
	return r
}

// ownShare is this router's part of the retry budget of all. Requests are
// counted by the router that got them, so the ratio needs no splitting.
func ownShare(all retry.Limits) retry.Limits {
	all.Ratio *= retryMargin
	all.MinRetries = int64(retryMargin * float64(all.MinRetries) / routers)
	return all
}

// freshSettings adds the watcher's wait to the settings.
type freshSettings struct{ *published }

// Sync implements route.Settings.
func (s *freshSettings) Sync(ctx context.Context) error { return s.watcher.Sync(ctx) }

// Start opens the listeners and follows the log. Until everything was read,
// callers are refused.
func (r *Router) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	drawing, halt := context.WithCancel(context.Background())
	r.halt = halt
	r.callers = r.server(http.HandlerFunc(r.serve))
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+r.options.PathReady, r.answerReady)
	r.ready = r.server(ready)
	if err := r.listen(r.callers, r.options.CallersAddress); err != nil {
		return err
	}
	if err := r.listen(r.ready, r.options.ReadyAddress); err != nil {
		return err
	}
	control := rpc.NewServer(r.options.FleetKey)
	if err := control.Register(peers.Service, peers.NewMethods(r.hands)); err != nil {
		return err
	}
	inner := http.NewServeMux()
	inner.Handle(wire.PathRPC, control)
	r.inner = r.server(inner)
	if err := r.listen(r.inner, r.options.PeerAddress); err != nil {
		return err
	}
	if r.options.MetricsAddress != "" {
		r.metrics = r.server(r.outcomes.handler())
		if err := r.listen(r.metrics, r.options.MetricsAddress); err != nil {
			return err
		}
	}
	r.work.Go(func() { r.settings.watcher.Run(ctx) })
	r.work.Go(func() { r.serverLog.Run(ctx) })
	r.work.Go(func() { r.settle(ctx) })
	r.work.Go(func() { r.watchPressure(ctx) })
	r.work.Go(func() { r.tellPressure(ctx) })
	r.work.Go(func() { r.announce(ctx) })
	r.work.Go(func() { r.routerLog.Run(ctx) })
	r.budget.Go(func() { r.hands.Run(drawing) })
	r.log.Info().Str("node", r.options.Node).Str("data_centre", r.options.DataCentre).Msg("router started")
	return nil
}

func (r *Router) server(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          quietLog(r.log),
	}
}

func (r *Router) listen(server *http.Server, address string) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", address)
	}
	r.bound[server] = listener.Addr()
	if server == r.callers {
		listener = r.pressure.Listener(listener)
	}
	r.work.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			r.failed <- errors.Wrapf(err, "serve on %s", address)
		}
	})
	return nil
}

// announce lets the other routers know of this one.
func (r *Router) announce(ctx context.Context) {
	if err := r.roster.Announce(ctx, r.platform); err != nil {
		r.log.Warn().Err(err).Msg("router could not announce itself")
	}
}

// CallersAddress returns where callers are served, once started.
func (r *Router) CallersAddress() string { return r.bound[r.callers].String() }

// ReadyAddress returns where readiness is told, once started.
func (r *Router) ReadyAddress() string { return r.bound[r.ready].String() }

// Failed tells of a listener that broke.
func (r *Router) Failed() <-chan error { return r.failed }

// settle removes what is not needed any more, now and then.
func (r *Router) settle(ctx context.Context) {
	ticker := time.NewTicker(settleEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.table.RemoveExpired()
			r.pool.RetainServers(r.table.Usable)
			r.placer.RetainServers(r.table.Known)
		}
	}
}

// watchPressure follows how full the link is.
func (r *Router) watchPressure(ctx context.Context) {
	ticker := time.NewTicker(pressure.SampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			r.pressure.Sample(now)
		}
	}
}

// Pace of telling the other routers how full the link is.
const (
	// tellEvery is how soon they are told, or told again if that failed.
	tellEvery = 200 * time.Millisecond
	// tellAgain is how often they are told that it is still full.
	tellAgain = peers.FullExpiry / 2
	// tellTimeout bounds one try; a slow log takes some 300 ms.
	tellTimeout = time.Second
)

// tellPressure tells the other routers, one state after the other.
func (r *Router) tellPressure(ctx context.Context) {
	ticker := time.NewTicker(tellEvery)
	defer ticker.Stop()
	told, at := false, time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		over := r.pressure.Overloaded()
		if over == told && (!over || time.Since(at) < tellAgain) {
			continue
		}
		call, cancel := context.WithTimeout(ctx, tellTimeout)
		err := r.roster.SetFull(call, r.platform, over)
		cancel()
		if err != nil {
			r.log.Warn().Err(err).Bool("full", over).Msg("other routers could not be told how full the link is")
			continue
		}
		told, at = over, time.Now()
	}
}

// loaded reports whether everything that requests need was read.
func (r *Router) loaded() bool {
	if r.settings.Current() == nil || r.serverLog.SyncedAt().IsZero() {
		return false
	}
	select {
	case <-r.hands.Loaded():
		return true
	default:
		return false
	}
}

// answerReady tells the platform whether callers may be sent here.
func (r *Router) answerReady(w http.ResponseWriter, _ *http.Request) {
	if r.stopping.Load() || r.pressure.Overloaded() || !r.loaded() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
