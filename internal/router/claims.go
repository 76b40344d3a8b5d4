package router

import (
	"context"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/filter/once"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/record"
)

// submitter writes to the ledger and reads its fold.
type submitter interface {
	Submit(ctx context.Context, team ident.TeamID, records ...record.Record) ([]ledger.Verdict, error)
	View(team ident.TeamID, visit func(*ledger.State))
	CatchUp(ctx context.Context, team ident.TeamID) error
}

// claims writes claims to the ledger.
type claims struct {
	ledger submitter
}

// Claim implements once.Claims.
func (c *claims) Claim(ctx context.Context, team ident.TeamID, key ident.Key, gate ident.Incarnation) (once.Claim, error) {
	r, err := record.New(ledger.KindClaim, ledger.Claim{Team: team, Key: key, Gate: gate})
	if err != nil {
		return once.Claim{}, err
	}
	verdicts, err := c.ledger.Submit(ctx, team, r)
	if err != nil {
		return once.Claim{}, err
	}
	if len(verdicts) != 1 {
		return once.Claim{}, errors.Errorf("claim has %d verdicts", len(verdicts))
	}
	switch v := verdicts[0]; v.Outcome {
	case ledger.Accepted:
		return once.Claim{Won: true, Gate: gate}, nil
	case ledger.AlreadyClaimed:
		return once.Claim{Gate: v.Gate}, nil
	default:
		return once.Claim{}, errors.Errorf("claim was refused with outcome %d", v.Outcome)
	}
}

// ClaimedGate implements once.Claims.
func (c *claims) ClaimedGate(team ident.TeamID, key ident.Key) (gate ident.Incarnation, known bool) {
	c.ledger.View(team, func(s *ledger.State) {
		var holder ledger.ClaimHolder
		holder, known = s.Claim(key)
		gate = holder.Gate
	})
	return gate, known
}

// CatchUp implements once.Claims.
func (c *claims) CatchUp(ctx context.Context, team ident.TeamID) error {
	return c.ledger.CatchUp(ctx, team)
}
