// Package route is the filter that determines the route and the client account of
// a request that is forwarded without being parsed.
package route

import (
	"context"
	"time"

	"github.com/camphorlever/camphorlever/internal/catalog"
	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/filter"
)

// defaultMaxBody is the maximum body size, in bytes, if the settings contain none.
const defaultMaxBody = 4 << 20

// Settings provides the settings that the operators have published.
type Settings interface {
	// Current returns the latest settings, nil before any were read.
	Current() *catalog.Settings
	// SyncedAt returns the time up to which all changes have been read.
	SyncedAt() time.Time
	// Sync waits until all changes made before the call have been read. It fails
	// if the context ends first.
	Sync(ctx context.Context) error
}

type handler struct {
	settings Settings
	counters *counter.Set
}

// New returns the filter.
func New(settings Settings) filter.Filter {
	return &handler{settings: settings, counters: filter.Counters("route")}
}
