package node

import (
	"context"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/fleet"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/logservice"
	"github.com/camphorlever/camphorlever/internal/record"
	"github.com/camphorlever/camphorlever/internal/settings"
	"github.com/camphorlever/camphorlever/internal/stream"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// Incarnation returns the process's incarnation, 0 until it is registered.
func (n *Node) Incarnation() ident.Incarnation {
	return ident.Incarnation(n.incarnation.Load())
}

// Settings returns the configuration in force here.
func (n *Node) Settings() *settings.Tree {
	return n.tree.Load()
}

// Members returns the membership as known here.
func (n *Node) Members() *fleet.View {
	return n.members.Load()
}

// Ledger returns the access to the ledger.
func (n *Node) Ledger() *Ledger {
	return n.ledger
}

// Sealed is closed once the own life is sealed.
func (n *Node) Sealed() <-chan struct{} {
	return n.sealed
}

// Offsets returns the offsets of what Settings and Members return.
func (n *Node) Offsets() wire.Offsets {
	return wire.Offsets{Settings: n.tree.Load().Offset, Fleet: n.members.Load().Offset}
}

// CatchUp returns once Settings and Members are at least as new as the given
// offsets. It fails when ctx ends first.
func (n *Node) CatchUp(ctx context.Context, offsets wire.Offsets) error {
	own := n.Offsets()
	if own.Settings >= offsets.Settings && own.Fleet >= offsets.Fleet {
		return nil
	}
	n.peers.hurry.raise()
	if err := n.settings.WaitForOffset(ctx, offsets.Settings); err != nil {
		return err
	}
	if err := n.fleet.WaitForOffset(ctx, offsets.Fleet); err != nil {
		return err
	}
	n.publish()
	return nil
}

// Ready returns nil when the process may serve.
func (n *Node) Ready() error {
	select {
	case <-n.sealed:
		return ErrSealed
	default:
	}
	if n.Incarnation() == 0 {
		return ErrNotRegistered
	}
	if n.settings.Offset() == ident.NoOffset && n.settings.SyncedAt().IsZero() {
		return errors.Wrap(ErrNotLoaded, "settings")
	}
	if !supported(n.settings) || !supported(n.fleet) {
		return stream.ErrUnsupported
	}
	return n.ledger.ready()
}

func supported[F stream.Fold[V], V any](f *stream.Follower[F, V]) bool {
	ok := false
	f.View(func(fold F) { ok = fold.Supported() })
	return ok
}

// SubmitSettings writes records to the settings stream. When it returns
// verdicts, Settings and Offsets include them.
func (n *Node) SubmitSettings(ctx context.Context, records ...record.Record) ([]settings.Verdict, error) {
	verdicts, err := n.settingsWriter.Submit(ctx, records...)
	n.publish()
	return verdicts, err
}

// ViewSettings calls visit with the settings fold under its lock.
func (n *Node) ViewSettings(visit func(*settings.State)) {
	n.settings.View(visit)
}

// SubmitFleet writes records to the fleet stream. When it returns verdicts,
// Members and Offsets include them.
func (n *Node) SubmitFleet(ctx context.Context, records ...record.Record) ([]fleet.Verdict, error) {
	verdicts, err := n.fleetWriter.Submit(ctx, records...)
	n.publish()
	return verdicts, err
}

// ViewFleet calls visit with the fleet fold under its lock.
func (n *Node) ViewFleet(visit func(*fleet.State)) {
	n.fleet.View(visit)
}

// Log returns the log service that the node follows.
func (n *Node) Log() logservice.Log {
	return n.log
}
