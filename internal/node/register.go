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

// registerRetryDelay is the delay between attempts to read the streams up to
// their ends.
const registerRetryDelay = 500 * time.Millisecond

// register reads the settings and fleet streams up to the end offsets that the
// log reports, registers the process and reads the registration back. It gives
// up only when the registration is refused or ctx ends.
func (n *Node) register(ctx context.Context) error {
	for {
		for n.catchUpStreams(ctx) != nil {
			if !pauseFor(ctx, registerRetryDelay, nil) {
				return errors.Wrap(ErrNotRegistered, ctx.Err().Error())
			}
		}
		verdict, err := n.tryRegister(ctx)
		switch {
		case ctx.Err() != nil:
			return errors.Wrap(ErrNotRegistered, ctx.Err().Error())
		case err == nil && verdict.Outcome == fleet.RefusedStale:
			continue // it can never take effect; the next attempt has a new nonce
		case err != nil || verdict.Incarnation == 0:
			return errors.Wrapf(ErrRegistrationRefused, "outcome %d", verdict.Outcome)
		}
		n.incarnation.Store(uint64(verdict.Incarnation))
		n.publish()
		n.logger.Info().Uint64("incarnation", uint64(verdict.Incarnation)).Msg("registered")
		return nil
	}
}

func (n *Node) catchUpStreams(ctx context.Context) error {
	if err := n.settings.CatchUp(ctx); err != nil {
		return err
	}
	return n.fleet.CatchUp(ctx)
}

// tryRegister writes one registration and retries it until its outcome is known.
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
		// An adopted snapshot may already include the registration, and then
		// its verdict is not delivered. If it does not, repeating the write is
		// harmless, because the nonce is the same.
		if found := n.registeredAs(nonce); found != 0 {
			return fleet.Verdict{Incarnation: found}, nil
		}
	}
	return fleet.Verdict{}, ctx.Err()
}

func (n *Node) registeredAs(nonce uuid.UUID) ident.Incarnation {
	var found ident.Incarnation
	n.fleet.View(func(s *fleet.State) { found = s.ByNonce(nonce) })
	return found
}

// registrationIdentity returns the batch identity of a registration. It has no
// writer, because the process has no incarnation yet; the sequence comes from
// the nonce.
func registrationIdentity(nonce uuid.UUID) record.Identity {
	return record.Identity{Sequence: binary.BigEndian.Uint64(nonce[:8])}
}
