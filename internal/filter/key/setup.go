// Package key handles idempotency keys: it finds the first attempt of a
// request that the caller repeats, perhaps through another router.
package key

import (
	"context"
	"time"

	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// lookupTimeout bounds the search for an earlier attempt.
const lookupTimeout = 500 * time.Millisecond

// Owners names the gates at which a keyed request may run, best first. They
// depend only on the key and on the servers that exist, so that any router
// finds the same.
type Owners interface {
	Owners(r *filter.Request) []filter.Target
}

// Gates asks gates about keys.
type Gates interface {
	Lookup(ctx context.Context, target filter.Target, key ident.Key) (wire.LookupReply, error)
}

// Claims knows the claims that have been read from the log.
type Claims interface {
	ClaimedGate(team ident.TeamID, key ident.Key) (ident.Incarnation, bool)
}

// New returns the filter. Attach serves an answer that already exists at the
// request's target.
func New(homes Owners, gates Gates, claims Claims, attach filter.Next) filter.Filter {
	return &handler{homes: homes, gates: gates, claims: claims, attach: attach, counters: filter.Counters("key")}
}
