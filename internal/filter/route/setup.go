// Package route is the filter that finds the route and the client account of a
// request that is passed on as it came.
package route

import (
	"context"
	"time"

	"github.com/camphorlever/camphorlever/internal/catalog"
	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/filter"
)

// defaultMaxBody bounds a body, in bytes, where the settings do not.
const defaultMaxBody = 4 << 20

// Settings is what the operators have published.
type Settings interface {
	// Current returns the newest settings, nil before any were read.
	Current() *catalog.Settings
	// SyncedAt returns up to when all changes are known.
	SyncedAt() time.Time
	// Sync waits until all changes before now are known.
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
