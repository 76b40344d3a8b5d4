// Package node manages the fleet membership of one process. It follows the
// settings and fleet streams and the ledger, registers the process, catches up
// from peers while the log service is unavailable, and runs the controllers
// that seal removed incarnations, acknowledge seals and close settled
// incarnations in the ledger.
package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/camphorlever/camphorlever/internal/fleet"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/logservice"
	"github.com/camphorlever/camphorlever/internal/record"
	"github.com/camphorlever/camphorlever/internal/rpc"
	"github.com/camphorlever/camphorlever/internal/settings"
	"github.com/camphorlever/camphorlever/internal/stream"
	"github.com/camphorlever/camphorlever/internal/vmlist"
)

// Names of the net/rpc services.
const (
	ServiceRouter = "Router"
	ServiceSide   = "Side"
)

// Options describe the process.
type Options struct {
	Role         fleet.Role
	VM           ident.VMID
	DataCentre   ident.DataCentreID
	Address      string         // internal listener that peers connect to, host:port
	Server       ident.ServerID // set only for a side process
	LedgerShards int
	FleetKey     string
	// Peers are internal listeners of routers (host:port) that are asked for
	// their state while the log service is unavailable.
	Peers []string
	// Dial returns the rpc client for an address; nil means rpc.NewClient.
	Dial func(address, service string) rpc.Caller
}

// SealBarrier delays the acknowledgement of a seal until a component of the
// process has settled its runs that involve the sealed incarnation.
type SealBarrier interface {
	// Release returns nil once the process starts nothing more that involves
	// the sealed incarnation and every settlement for which the process is
	// responsible is in the ledger.
	//
	// For a side process these are the runs under the sealed router's grants
	// and the runs that the router began, whichever grant they are billed to.
	// For a router these are all runs that it began at the sealed side
	// process.
	Release(ctx context.Context, sealed ident.Incarnation) error
}

// loadCheckInterval is how often Start checks whether the ledger is loaded.
const loadCheckInterval = 20 * time.Millisecond

// Errors of Ready and Start.
var (
	// ErrNotRegistered means that the process has not yet read back its
	// registration.
	ErrNotRegistered = errors.New("process is not registered yet")
	// ErrSealed means that the other members treat this incarnation as ended.
	// The process must stop and restart.
	ErrSealed = errors.New("this life was sealed")
	// ErrRegistrationRefused means that the fleet fold refused the
	// registration.
	ErrRegistrationRefused = errors.New("registration was refused")
	// ErrNotLoaded means that a stream has not been read yet.
	ErrNotLoaded = errors.New("state is not loaded yet")
)

// Node is the fleet membership of one process. Create it with New.
type Node struct {
	options Options
	log     logservice.Log
	vms     vmlist.Lister
	logger  zerolog.Logger

	settings       *stream.Follower[*settings.State, settings.Verdict]
	fleet          *stream.Follower[*fleet.State, fleet.Verdict]
	settingsWriter *stream.Writer[*settings.State, settings.Verdict]
	fleetWriter    *stream.Writer[*fleet.State, fleet.Verdict]
	ledger         *Ledger
	peers          *peerSync
	vmWatcher      *vmWatcher
	acknowledger   *acknowledger

	incarnation atomic.Uint64
	tree        atomic.Pointer[settings.Tree]
	members     atomic.Pointer[fleet.View]
	publishMu   sync.Mutex // serializes publish, so that published states never go back
	changed     *signal    // raised when settings, members or the VM list change

	startOnce sync.Once
	cancel    context.CancelFunc
	work      conc.WaitGroup
	started   chan struct{} // closed once registered or refused
	startErr  error         // set before started is closed
	sealed    chan struct{} // closed once this incarnation is sealed
	sealOnce  sync.Once

	deregistering atomic.Bool // a deregistration was submitted; the end is then expected
}

// New returns a node that does nothing until Start.
func New(options Options, log logservice.Log, vms vmlist.Lister, logger zerolog.Logger) *Node {
	n := &Node{
		options: options,
		log:     log,
		vms:     vms,
		logger:  logger.With().Str("part", "node").Logger(),
		changed: newSignal(),
		started: make(chan struct{}),
		sealed:  make(chan struct{}),
	}
	n.settings = stream.NewFollower(log, SettingsSpec(), logger)
	n.fleet = stream.NewFollower(log, FleetSpec(), logger)
	n.settingsWriter = stream.NewWriter(n.settings, n.Incarnation)
	n.fleetWriter = stream.NewWriter(n.fleet, n.Incarnation)
	n.ledger = newLedger(log, options.LedgerShards, n.Incarnation, logger)
	n.peers = newPeerSync(n)
	n.vmWatcher = newVMWatcher(n)
	n.acknowledger = newAcknowledger(n)
	n.settings.OnReset(n.fence)
	n.fleet.OnReset(n.fence)
	for _, shard := range n.ledger.shards {
		shard.follower.OnReset(n.fence)
	}
	n.settings.OnAdvance(n.publish)
	n.fleet.OnAdvance(n.publish)
	n.publish()
	return n
}

// SettingsSpec returns the stream specification of the settings stream.
func SettingsSpec() stream.Spec[*settings.State, settings.Verdict] {
	return stream.Spec[*settings.State, settings.Verdict]{
		Stream:         settings.Stream,
		New:            settings.New,
		Load:           settings.Load,
		CheckpointKind: settings.KindCheckpoint,
	}
}

// FleetSpec returns the stream specification of the fleet stream.
func FleetSpec() stream.Spec[*fleet.State, fleet.Verdict] {
	return stream.Spec[*fleet.State, fleet.Verdict]{
		Stream:         fleet.Stream,
		New:            fleet.New,
		Load:           fleet.Load,
		CheckpointKind: fleet.KindCheckpoint,
	}
}

// AddSealBarrier registers a barrier that must release a sealed incarnation
// before the node acknowledges the seal. It must be called before Start.
func (n *Node) AddSealBarrier(barrier SealBarrier) {
	n.acknowledger.barriers = append(n.acknowledger.barriers, barrier)
}

// Start follows the streams, registers the process and returns once the
// registration was read back and the settings and the ledger are loaded. When
// ctx ends first it returns ErrNotRegistered, and registration is still retried
// in the background until Stop. A refused registration is
// ErrRegistrationRefused.
func (n *Node) Start(ctx context.Context) error {
	n.startOnce.Do(n.run)
	select {
	case <-n.started:
		return n.startErr
	case <-ctx.Done():
		return errors.Wrap(ErrNotRegistered, ctx.Err().Error())
	}
}

// run starts the background goroutines.
func (n *Node) run() {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.work.Go(func() { n.settings.Run(ctx) })
	n.work.Go(func() { n.fleet.Run(ctx) })
	n.work.Go(func() { n.settingsWriter.Run(ctx) })
	n.work.Go(func() { n.fleetWriter.Run(ctx) })
	n.ledger.run(ctx, &n.work)
	n.work.Go(func() { n.peers.run(ctx) })
	n.work.Go(func() { n.vmWatcher.run(ctx) })
	n.work.Go(func() { n.registerOnce(ctx) })
}

// registerOnce registers the process and then starts the controllers that write
// records under its incarnation.
func (n *Node) registerOnce(ctx context.Context) {
	err := n.register(ctx)
	n.startErr = err
	if err == nil {
		n.work.Go(func() { n.acknowledger.run(ctx) })
		n.runCheckpointers(ctx)
		if n.options.Role == fleet.RoleRouter {
			n.work.Go(func() { newCloser(n).run(ctx) })
		}
		for errors.Is(n.Ready(), ErrNotLoaded) && pauseFor(ctx, loadCheckInterval, nil) {
		}
	}
	close(n.started)
}

// publish makes the newest states visible to readers. It never replaces a state
// by an older one.
func (n *Node) publish() {
	n.publishMu.Lock()
	defer n.publishMu.Unlock()
	var tree *settings.Tree
	n.settings.View(func(s *settings.State) { tree = s.Tree() })
	if old := n.tree.Load(); old == nil || tree.Offset > old.Offset {
		n.tree.Store(tree)
	}
	n.publishMembers()
	n.checkOwnSeal()
	n.changed.raise()
}

func (n *Node) publishMembers() {
	old := n.members.Load()
	if old != nil && n.fleet.Offset() <= old.Offset {
		return
	}
	var view *fleet.View
	n.fleet.View(func(s *fleet.State) { view = s.View() })
	n.members.Store(view)
}

func (n *Node) checkOwnSeal() {
	own := n.Incarnation()
	if own == 0 || n.deregistering.Load() || !n.members.Load().Sealed(own) {
		return
	}
	n.sealOnce.Do(func() {
		n.logger.Warn().Uint64("incarnation", uint64(own)).Msg("own incarnation was sealed")
		close(n.sealed)
	})
}

// fence ends this incarnation after a restore of the log has lost entries on which the
// process may have acted. It may hold tokens that the ledger shows as free, and its
// incarnation may be given to another process.
func (n *Node) fence() {
	if n.Incarnation() == 0 {
		return
	}
	n.settingsWriter.Fence()
	n.fleetWriter.Fence()
	for _, shard := range n.ledger.shards {
		shard.writer.Fence()
	}
	n.sealOnce.Do(func() {
		n.logger.Error().Uint64("incarnation", uint64(n.Incarnation())).Msg("log has lost entries that this process had read; the process must restart")
		close(n.sealed)
	})
}

// Leave announces to the fleet that the process accepts no new work.
func (n *Node) Leave(ctx context.Context) error {
	r, err := record.New(fleet.KindLeave, fleet.Leave{Incarnation: n.Incarnation()})
	if err != nil {
		return err
	}
	_, err = n.SubmitFleet(ctx, r)
	return err
}

// Stop deregisters the process and stops. The caller must have settled every
// run and returned every grant; if that failed, it calls Abandon instead.
func (n *Node) Stop(ctx context.Context) error {
	defer n.Abandon()
	if n.Incarnation() == 0 {
		return nil
	}
	return n.Deregister(ctx)
}

// Deregister ends this incarnation. It may be called again after an error.
func (n *Node) Deregister(ctx context.Context) error {
	r, err := record.New(fleet.KindDeregister, fleet.Deregister{Incarnation: n.Incarnation()})
	if err != nil {
		return err
	}
	n.deregistering.Store(true)
	_, err = n.SubmitFleet(ctx, r)
	return errors.Wrap(err, "deregister")
}

// Abandon stops without deregistering. Routers seal the incarnation once its VM
// is removed or another incarnation has registered with its address.
func (n *Node) Abandon() {
	n.startOnce.Do(func() { n.cancel = func() {} })
	n.cancel()
	n.work.Wait()
	n.peers.close()
}
