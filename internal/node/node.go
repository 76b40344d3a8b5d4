// Package node is one process's membership in the fleet: it follows the
// settings and fleet streams and the ledger, registers the process, keeps its
// state up to date with its peers' and runs the controllers that seal lives
// which are gone, acknowledge seals and close what is decided.
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
	Address      string         // internal listener as peers reach it, host:port
	Server       ident.ServerID // of a side process
	LedgerShards int
	FleetKey     string
	// Peers are internal listeners of routers, asked for their state while
	// the log service is out.
	Peers []string
	// Dial makes the rpc client of an address; nil makes rpc.Client.
	Dial func(address, service string) rpc.Caller
}

// SealBarrier is a part of the process that owes something for runs which involve
// other lives.
type SealBarrier interface {
	// Release returns once the process will never again deal with the
	// sealed life and every settlement it owes for it is in the ledger.
	//
	// Of a side process this covers the runs under the sealed router's
	// grants and the runs that the router began, whoever's grant paid. Of a
	// router it covers every run that it began at the sealed side process.
	Release(ctx context.Context, sealed ident.Incarnation) error
}

// loadedInterval is how often Start looks whether the ledger is loaded.
const loadedInterval = 20 * time.Millisecond

// Errors of Ready and Start.
var (
	// ErrNotRegistered means that the process has not read its registration
	// back.
	ErrNotRegistered = errors.New("process is not registered yet")
	// ErrSealed means that others hold this life for over. The process must
	// stop and start anew.
	ErrSealed = errors.New("this life was sealed")
	// ErrRegistrationRefused means that the fleet does not take the registration.
	ErrRegistrationRefused = errors.New("registration was refused")
	// ErrNotLoaded means that a stream has not been read yet.
	ErrNotLoaded = errors.New("state is not loaded yet")
)

// Node is one process's membership. Use New.
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
	peers          *peers
	watch          *vmWatch
	acks           *acknowledger

	incarnation atomic.Uint64
	tree        atomic.Pointer[settings.Tree]
	members     atomic.Pointer[fleet.View]
	publishing  sync.Mutex // makes published states go forward only
	changed     *signal    // members or VM list changed

	start     sync.Once
	cancel    context.CancelFunc
	work      conc.WaitGroup
	startedAt chan struct{} // closed once registered or refused
	startErr  error         // set before startedAt is closed
	sealed    chan struct{} // closed once the own life is sealed
	sealOnce  sync.Once

	deregisters atomic.Bool // the own life ends by its own word
}

// New returns a node that does nothing until Start.
func New(options Options, log logservice.Log, vms vmlist.Lister, logger zerolog.Logger) *Node {
	n := &Node{
		options:   options,
		log:       log,
		vms:       vms,
		logger:    logger.With().Str("part", "node").Logger(),
		changed:   newSignal(),
		startedAt: make(chan struct{}),
		sealed:    make(chan struct{}),
	}
	n.settings = stream.NewFollower(log, SettingsSpec(), logger)
	n.fleet = stream.NewFollower(log, FleetSpec(), logger)
	n.settingsWriter = stream.NewWriter(n.settings, n.Incarnation)
	n.fleetWriter = stream.NewWriter(n.fleet, n.Incarnation)
	n.ledger = newLedger(log, options.LedgerShards, n.Incarnation, logger)
	n.peers = newPeers(n)
	n.watch = newVMWatch(n)
	n.acks = newAcknowledger(n)
	n.settings.OnAdvance(n.publish)
	n.fleet.OnAdvance(n.publish)
	n.publish()
	return n
}

// SettingsSpec describes the settings stream.
func SettingsSpec() stream.Spec[*settings.State, settings.Verdict] {
	return stream.Spec[*settings.State, settings.Verdict]{
		Stream:         settings.Stream,
		New:            settings.New,
		Load:           settings.Load,
		CheckpointKind: settings.KindCheckpoint,
	}
}

// FleetSpec describes the fleet stream.
func FleetSpec() stream.Spec[*fleet.State, fleet.Verdict] {
	return stream.Spec[*fleet.State, fleet.Verdict]{
		Stream:         fleet.Stream,
		New:            fleet.New,
		Load:           fleet.Load,
		CheckpointKind: fleet.KindCheckpoint,
	}
}

// AddSealBarrier registers a part that must release a sealed life before the node
// acknowledges it. It must be called before Start.
func (n *Node) AddSealBarrier(w SealBarrier) {
	n.acks.witnesses = append(n.acks.witnesses, w)
}

// Start follows the streams, registers the process and returns once the
// registration was read back, and the settings and the ledger are loaded. When
// ctx ends first it returns ErrNotRegistered, and goes on trying until Stop.
func (n *Node) Start(ctx context.Context) error {
	n.start.Do(n.run)
	select {
	case <-n.startedAt:
		return n.startErr
	case <-ctx.Done():
		return errors.Wrap(ErrNotRegistered, ctx.Err().Error())
	}
}

// run starts all that goes on in the background.
func (n *Node) run() {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.work.Go(func() { n.settings.Run(ctx) })
	n.work.Go(func() { n.fleet.Run(ctx) })
	n.work.Go(func() { n.settingsWriter.Run(ctx) })
	n.work.Go(func() { n.fleetWriter.Run(ctx) })
	n.ledger.run(ctx, &n.work)
	n.work.Go(func() { n.peers.run(ctx) })
	n.work.Go(func() { n.watch.run(ctx) })
	n.work.Go(func() { n.registerOnce(ctx) })
}

// registerOnce registers the process and then starts the controllers that
// write in its name.
func (n *Node) registerOnce(ctx context.Context) {
	err := n.register(ctx)
	n.startErr = err
	if err == nil {
		n.work.Go(func() { n.acks.run(ctx) })
		n.runCheckpointers(ctx)
		if n.options.Role == fleet.RoleRouter {
			n.work.Go(func() { newCloser(n).run(ctx) })
		}
		for errors.Is(n.Ready(), ErrNotLoaded) && pauseFor(ctx, loadedInterval, nil) {
		}
	}
	close(n.startedAt)
}

// publish makes the newest states visible. It never goes back.
func (n *Node) publish() {
	n.publishing.Lock()
	defer n.publishing.Unlock()
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
	if own == 0 || n.deregisters.Load() || !n.members.Load().Sealed(own) {
		return
	}
	n.sealOnce.Do(func() {
		n.logger.Warn().Uint64("incarnation", uint64(own)).Msg("own life was sealed")
		close(n.sealed)
	})
}

// Leave announces that the process takes no new work.
func (n *Node) Leave(ctx context.Context) error {
	r, err := record.New(fleet.KindLeave, fleet.Leave{Incarnation: n.Incarnation()})
	if err != nil {
		return err
	}
	_, err = n.SubmitFleet(ctx, r)
	return err
}

// Stop deregisters the process and stops. The caller must have settled every
// run and returned every grant: if it could not, it calls Abandon instead.
func (n *Node) Stop(ctx context.Context) error {
	defer n.Abandon()
	if n.Incarnation() == 0 {
		return nil
	}
	return n.Deregister(ctx)
}

// Deregister ends the own life. It may be called again after it failed.
func (n *Node) Deregister(ctx context.Context) error {
	r, err := record.New(fleet.KindDeregister, fleet.Deregister{Incarnation: n.Incarnation()})
	if err != nil {
		return err
	}
	n.deregisters.Store(true)
	_, err = n.SubmitFleet(ctx, r)
	return errors.Wrap(err, "deregister")
}

// Abandon stops without deregistering. The life is sealed by others once its
// VM is gone or another life has its address.
func (n *Node) Abandon() {
	n.start.Do(func() { n.cancel = func() {} })
	n.cancel()
	n.work.Wait()
	n.peers.close()
}
