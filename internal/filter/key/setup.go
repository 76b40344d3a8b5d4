// Package key is the filter for idempotency keys. It finds the earlier attempt of
// a request that the caller repeats, also if that attempt came through another
// router.
package key

import (
	"context"
	"time"

	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// lookupTimeout bounds the lookup of an earlier attempt at the owner gates.
const lookupTimeout = 500 * time.Millisecond

// Owners returns the owner gates of a keyed request, the only gates at which it
// may run, in order of preference. The owners depend only on the key and on the
// existing servers, so every router finds the same.
type Owners interface {
	Owners(r *filter.Request) []filter.Target
}

// Gates looks up keys at gates.
type Gates interface {
	Lookup(ctx context.Context, target filter.Target, key ident.Key) (wire.LookupReply, error)
}

// Claims returns claims that have been read from the log.
type Claims interface {
	// ClaimedGate returns the gate named by the key's claim, if that claim has
	// been read.
	ClaimedGate(team ident.TeamID, key ident.Key) (ident.Incarnation, bool)
}

// New returns the filter. The filter calls serveAnswer to serve the answer that the
// request's target gate already has.
func New(owners Owners, gates Gates, claims Claims, serveAnswer filter.Next) filter.Filter {
	return &handler{owners: owners, gates: gates, claims: claims, serveAnswer: serveAnswer, counters: filter.Counters("key")}
}
