// Package once is the filter for requests that must run at most once. It claims
// them in the ledger before any gate is asked to run them.
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
	// lookupTimeout bounds the lookup of an earlier run at the gates while the
	// log is unavailable.
	lookupTimeout = time.Second
)

// Claim is the ledger's verdict on a claim.
type Claim struct {
	Won  bool
	Gate ident.Incarnation // gate named by the first claim in log order
}

// Claims writes claims to the ledger and reads them.
type Claims interface {
	// Claim claims the key for a gate. An error means that the verdict is not
	// known: the claim may or may not have been written.
	Claim(ctx context.Context, team ident.TeamID, key ident.Key, gate ident.Incarnation) (Claim, error)
	// ClaimedGate returns the gate named by the key's claim, if that claim has
	// already been read from the log.
	ClaimedGate(team ident.TeamID, key ident.Key) (ident.Incarnation, bool)
	// CatchUp reads the team's ledger to its current end.
	CatchUp(ctx context.Context, team ident.TeamID) error
}

// Gates sends requests about keys to gates.
type Gates interface {
	Lookup(ctx context.Context, target filter.Target, key ident.Key) (wire.LookupReply, error)
	// WithdrawClaim asks a gate to seal the key and, if the gate has not started
	// it, to withdraw the claim. The gate then never starts the key.
	WithdrawClaim(ctx context.Context, target filter.Target, team ident.TeamID, key ident.Key) Withdrawal
}

// Withdrawal is the result of a request to withdraw a claim.
type Withdrawal uint8

// Results of Gates.WithdrawClaim.
const (
	Unconfirmed Withdrawal = iota // the gate has not confirmed that the key was not started
	NotStarted                    // the key was not started at the gate and never will be; the claim may still be valid
	Withdrawn                     // as NotStarted, and the withdrawal of the claim has been read from the log
)

// Members finds gates.
type Members interface {
	// Gate returns false if that incarnation has ended or is sealed.
	Gate(gate ident.Incarnation) (filter.Target, bool)
	// CandidateGates returns all gates that may already have run the request.
	CandidateGates(r *filter.Request) []filter.Target
}

// New returns the filter.
func New(claims Claims, members Members, gates Gates) filter.Filter {
	return &handler{claims: claims, members: members, gates: gates, counters: filter.Counters("once")}
}
