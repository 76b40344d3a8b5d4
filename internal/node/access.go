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

// Incarnation returns the incarnation of this process, 0 until it is registered.
func (n *Node) Incarnation() ident.Incarnation {
	return ident.Incarnation(n.incarnation.Load())
}

// Settings returns the newest settings that this process has read.
func (n *Node) Settings() *settings.Tree {
	return n.tree.Load()
}

// Members returns the newest fleet membership that this process has read.
func (n *Node) Members() *fleet.View {
	return n.members.Load()
}

// Ledger returns the process's access to the ledger shards.
func (n *Node) Ledger() *Ledger {
	return n.ledger
}

// Sealed returns a channel that is closed once this incarnation is sealed.
func (n *Node) Sealed() <-chan struct{} {
	return n.sealed
}

// Offsets returns the stream offsets of the values that Settings and Members
// return.
func (n *Node) Offsets() wire.Offsets {
	return wire.Offsets{Settings: n.tree.Load().Offset, Fleet: n.members.Load().Offset}
}

// CatchUp returns once Settings and Members are at least as new as the given
// offsets. It returns an error when ctx ends first.
func (n *Node) CatchUp(ctx context.Context, offsets wire.Offsets) error {
	current := n.Offsets()
	if current.Settings >= offsets.Settings && current.Fleet >= offsets.Fleet {
		return nil
	}
	n.peers.wakeup.raise()
	if err := n.settings.WaitForOffset(ctx, offsets.Settings); err != nil {
		return err
	}
	if err := n.fleet.WaitForOffset(ctx, offsets.Fleet); err != nil {
		return err
	}
	n.publish()
	return nil
}

// Ready returns nil when the process may serve requests. Otherwise it returns
// ErrSealed, ErrNotRegistered, ErrNotLoaded or stream.ErrUnsupported.
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

// SubmitSettings appends records to the settings stream and returns the fold's
// verdicts. Settings and Offsets then reflect these records. Errors are those
// of stream.Writer.Submit.
func (n *Node) SubmitSettings(ctx context.Context, records ...record.Record) ([]settings.Verdict, error) {
	verdicts, err := n.settingsWriter.Submit(ctx, records...)
	n.publish()
	return verdicts, err
}

// ViewSettings calls visit with the settings fold while holding its lock.
func (n *Node) ViewSettings(visit func(*settings.State)) {
	n.settings.View(visit)
}

// SubmitFleet appends records to the fleet stream and returns the fold's
// verdicts. Members and Offsets then reflect these records. Errors are those of
// stream.Writer.Submit.
func (n *Node) SubmitFleet(ctx context.Context, records ...record.Record) ([]fleet.Verdict, error) {
	verdicts, err := n.fleetWriter.Submit(ctx, records...)
	n.publish()
	return verdicts, err
}

// ViewFleet calls visit with the fleet fold while holding its lock.
func (n *Node) ViewFleet(visit func(*fleet.State)) {
	n.fleet.View(visit)
}

// Log returns the log service whose streams the node follows.
func (n *Node) Log() logservice.Log {
	return n.log
}
