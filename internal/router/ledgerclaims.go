package router

import (
	"context"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/filter/once"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/record"
)

// teamLedger submits records to the ledger and reads the state of its fold.
type teamLedger interface {
	Submit(ctx context.Context, team ident.TeamID, records ...record.Record) ([]ledger.Verdict, error)
	View(team ident.TeamID, visit func(*ledger.State))
	CatchUp(ctx context.Context, team ident.TeamID) error
}

// ledgerClaims implements once.Claims with claim records in the ledger.
type ledgerClaims struct {
	ledger teamLedger
}

// Claim implements once.Claims. After an error it is unknown whether the claim
// takes effect.
func (c *ledgerClaims) Claim(ctx context.Context, team ident.TeamID, key ident.Key, gate ident.Incarnation) (once.Claim, error) {
	r, err := record.New(ledger.KindClaim, ledger.Claim{Team: team, Key: key, Gate: gate})
	if err != nil {
		return once.Claim{}, err
	}
	verdicts, err := c.ledger.Submit(ctx, team, r)
	if err != nil {
		return once.Claim{}, err
	}
	if len(verdicts) != 1 {
		return once.Claim{}, errors.Errorf("ledger returned %d verdicts for one claim", len(verdicts))
	}
	switch v := verdicts[0]; v.Outcome {
	case ledger.Accepted:
		return once.Claim{Won: true, Gate: gate}, nil
	case ledger.AlreadyClaimed:
		return once.Claim{Gate: v.Gate}, nil
	default:
		return once.Claim{}, errors.Errorf("ledger refused the claim with outcome %d", v.Outcome)
	}
}

// ClaimedGate implements once.Claims. It reads the local copy of the ledger.
func (c *ledgerClaims) ClaimedGate(team ident.TeamID, key ident.Key) (gate ident.Incarnation, known bool) {
	c.ledger.View(team, func(s *ledger.State) {
		var holder ledger.ClaimHolder
		holder, known = s.Claim(key)
		gate = holder.Gate
	})
	return gate, known
}

// CatchUp implements once.Claims.
func (c *ledgerClaims) CatchUp(ctx context.Context, team ident.TeamID) error {
	return c.ledger.CatchUp(ctx, team)
}
