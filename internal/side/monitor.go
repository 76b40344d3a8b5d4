package side

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/camphorlever/camphorlever/internal/engine"
	"github.com/camphorlever/camphorlever/internal/gate"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/wire"
)

const (
	pollInterval = 500 * time.Millisecond
	// unreachableAfter is how long an engine may leave polls unanswered
	// before it is reported as unreachable.
	unreachableAfter = 3 * time.Second
)

// Monitor polls the engine for its load, what it has loaded and its cache
// events, and answers routers from what it last saw.
type Monitor struct {
	client *engine.Client
	gate   *gate.Gate
	server ident.ServerID
	cache  *engine.CacheView
	log    zerolog.Logger

	mu        sync.Mutex // guards the fields below
	load      engine.Load
	inventory engine.Inventory
	answered  time.Time // of the last answered poll
}

// NewMonitor returns a monitor that polls nothing until Run.
func NewMonitor(client *engine.Client, g *gate.Gate, server ident.ServerID, logger zerolog.Logger) *Monitor {
	return &Monitor{
		client:   client,
		gate:     g,
		server:   server,
		cache:    engine.NewCacheView(),
		log:      logger.With().Str("part", "monitor").Logger(),
		answered: time.Now(),
	}
}

// Run polls until ctx ends.
func (m *Monitor) Run(ctx context.Context) {
	for ctx.Err() == nil {
		m.poll(ctx)
		pauseFor(ctx, pollInterval)
	}
}

func (m *Monitor) poll(ctx context.Context) {
	load, err := m.client.Load(ctx)
	if err != nil {
		return
	}
	m.mu.Lock()
	m.load = load
	m.answered = time.Now()
	m.mu.Unlock()
	if inventory, err := m.client.Inventory(ctx); err == nil {
		m.mu.Lock()
		m.inventory = inventory
		m.mu.Unlock()
	}
	// A failed poll of the events is made up for by the next one.
	_ = m.cache.Poll(ctx, m.client)
}

// Load implements LoadSource. The engine's count of runs lags, so that the
// gate's own count stands in if it is higher.
func (m *Monitor) Load(known wire.CacheMark) wire.LoadReply {
	m.mu.Lock()
	defer m.mu.Unlock()
	return wire.LoadReply{
		Server:      m.server,
		Running:     max(m.load.Running, m.gate.Running()-m.load.Queued),
		Queued:      m.load.Queued,
		Slots:       m.load.Slots,
		Models:      m.inventory.Models,
		Adapters:    m.inventory.Adapters,
		Role:        m.inventory.Role,
		Service:     m.gate.TimeToFirstEvent(),
		Changes:     m.cache.ChangesSince(known),
		Unreachable: time.Since(m.answered) > unreachableAfter,
	}
}

// plainLoad is the load source of a plain service, which reports none.
type plainLoad struct {
	gate   *gate.Gate
	server ident.ServerID
}

// Load implements LoadSource.
func (p plainLoad) Load(wire.CacheMark) wire.LoadReply {
	return wire.LoadReply{Server: p.server, Running: p.gate.Running(), Service: p.gate.TimeToFirstEvent()}
}
