// Package once claims requests that must not be repeated in the ledger,
// before any gate hears of them.
package once

import (
	"context"
	"time"

	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/wire"
)

const (
	// claimTimeout bounds the wait for the ledger's verdict.
	claimTimeout = 5 * time.Second
	// lookupTimeout bounds the search for an earlier run while the log
	// cannot be asked.
	lookupTimeout = time.Second
)

// Claim is the ledger's verdict on a claim.
type Claim struct {
	Won  bool
	Gate ident.Incarnation // whom the first claim in log order names
}

// Claims writes claims. An error means that the verdict is not known.
type Claims interface {
	Claim(ctx context.Context, team ident.TeamID, key ident.Key, gate ident.Incarnation) (Claim, error)
	// ClaimedGate returns the gate of a claim that has been read from the log.
	ClaimedGate(team ident.TeamID, key ident.Key) (ident.Incarnation, bool)
	// CatchUp reads the team's ledger to its present end.
	CatchUp(ctx context.Context, team ident.TeamID) error
}

// Gates asks gates about keys.
type Gates interface {
	Lookup(ctx context.Context, target filter.Target, key ident.Key) (wire.LookupReply, error)
	// WithdrawClaim makes a gate withdraw its claim of a key that it has not started
	// and now never will.
	WithdrawClaim(ctx context.Context, target filter.Target, team ident.TeamID, key ident.Key) Withdrawal
}

// Withdrawal tells what became of the request to withdraw a claim.
type Withdrawal uint8

// Outcomes of Gates.Void.
const (
	Unconfirmed Withdrawal = iota // the gate has not said that the key is unstarted
	NotStarted                    // the key has not run there and never will; the claim may stand
	Withdrawn                     // and the claim is gone, which has been read here
)

// Members finds the gate that an earlier claim names.
type Members interface {
	// Gate returns false if that life is over or sealed.
	Gate(gate ident.Incarnation) (filter.Target, bool)
	// CandidateGates returns all that may have run the request before.
	CandidateGates(r *filter.Request) []filter.Target
}

// New returns the filter.
func New(claims Claims, members Members, gates Gates) filter.Filter {
	return &handler{claims: claims, members: members, gates: gates, counters: filter.Counters("once")}
}
