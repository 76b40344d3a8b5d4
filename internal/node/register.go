package node

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/fleet"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/record"
)

// retryRegistration is the pause between attempts to read the streams to
// their ends.
const retryRegistration = 500 * time.Millisecond

// register reads both streams to an end that the log names, registers and
// reads the registration back. It gives up only when refused or ctx ends.
func (n *Node) register(ctx context.Context) error {
	for {
		for n.readToEnd(ctx) != nil {
			if !pauseFor(ctx, retryRegistration, nil) {
				return errors.Wrap(ErrNotRegistered, ctx.Err().Error())
			}
		}
		verdict, err := n.tryRegister(ctx)
		switch {
		case ctx.Err() != nil:
			return errors.Wrap(ErrNotRegistered, ctx.Err().Error())
		case err == nil && verdict.Outcome == fleet.RefusedStale:
			continue // void for good; the next attempt has a new nonce
		case err != nil || verdict.Incarnation == 0:
			return errors.Wrapf(ErrRegistrationRefused, "outcome %d", verdict.Outcome)
		}
		n.incarnation.Store(uint64(verdict.Incarnation))
		n.publish()
		n.logger.Info().Uint64("incarnation", uint64(verdict.Incarnation)).Msg("registered")
		return nil
	}
}

func (n *Node) readToEnd(ctx context.Context) error {
	if err := n.settings.CatchUp(ctx); err != nil {
		return err
	}
	return n.fleet.CatchUp(ctx)
}

// tryRegister writes one registration until its fate is known.
func (n *Node) tryRegister(ctx context.Context) (fleet.Verdict, error) {
	nonce := ident.NewNonce()
	r, err := record.New(fleet.KindRegister, fleet.Register{
		Nonce:        nonce,
		Role:         n.options.Role,
		VM:           n.options.VM,
		DataCentre:   n.options.DataCentre,
		Address:      n.options.Address,
		Server:       n.options.Server,
		MaxLevel:     fleet.MaxLevel,
		LedgerShards: n.options.LedgerShards,
		Seen:         n.fleet.Offset(),
	})
	if err != nil {
		return fleet.Verdict{}, err
	}
	for ctx.Err() == nil {
		verdicts, err := n.fleetWriter.SubmitAs(ctx, registrationIdentity(nonce), r)
		if err == nil {
			return verdicts[0], nil
		}
		// The state may have jumped over the registration. If it has not,
		// writing it once more does no harm: the nonce is the same.
		if found := n.byNonce(nonce); found != 0 {
			return fleet.Verdict{Incarnation: found}, nil
		}
	}
	return fleet.Verdict{}, ctx.Err()
}

func (n *Node) byNonce(nonce uuid.UUID) ident.Incarnation {
	var found ident.Incarnation
	n.fleet.View(func(s *fleet.State) { found = s.ByNonce(nonce) })
	return found
}

// registrationIdentity is the identity of a batch without a writer.
func registrationIdentity(nonce uuid.UUID) record.Identity {
	return record.Identity{Sequence: binary.BigEndian.Uint64(nonce[:8])}
}
