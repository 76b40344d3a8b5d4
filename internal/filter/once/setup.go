// Package once claims requests that must not be repeated in the ledger,
// before any gate hears of them.
package once

import (
	"context"

	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/ident"
)

// Claim is the ledger's verdict on a claim.
type Claim struct {
	Won  bool
	Gate ident.Incarnation // whom the first claim in log order names
}

// Claims writes claims. An error means that the verdict is not known.
type Claims interface {
	Claim(ctx context.Context, team ident.TeamID, key ident.Key, gate ident.Incarnation) (Claim, error)
	// Known returns the gate of a claim that this router has read already.
	Known(team ident.TeamID, key ident.Key) (ident.Incarnation, bool)
}

// Members finds the gate that an earlier claim names.
type Members interface {
	// Gate returns false if that life is over or sealed.
	Gate(gate ident.Incarnation) (filter.Target, bool)
}

// New returns the filter.
func New(claims Claims, members Members) filter.Filter {
	return &handler{claims: claims, members: members, counters: filter.Counters("once")}
}
