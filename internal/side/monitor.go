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
	// unreachableAfter is the time without an answered poll after which the
	// engine is reported as unreachable.
	unreachableAfter = 3 * time.Second
)

// Monitor polls the engine for its load, its inventory and its cache events. It
// answers routers' load requests from the last poll.
type Monitor struct {
	client *engine.Client
	gate   *gate.Gate
	server ident.ServerID
	cache  *engine.CacheView
	log    zerolog.Logger

	mu         sync.Mutex // guards the fields below
	load       engine.Load
	inventory  engine.Inventory
	lastAnswer time.Time // when the engine last answered a load poll
}

// NewMonitor returns a monitor. It polls nothing until Run is called.
func NewMonitor(client *engine.Client, g *gate.Gate, server ident.ServerID, logger zerolog.Logger) *Monitor {
	return &Monitor{
		client:     client,
		gate:       g,
		server:     server,
		cache:      engine.NewCacheView(),
		log:        logger.With().Str("part", "monitor").Logger(),
		lastAnswer: time.Now(),
	}
}

// Run polls until ctx ends.
func (m *Monitor) Run(ctx context.Context) {
	for ctx.Err() == nil {
		m.poll(ctx)
		sleep(ctx, pollInterval)
	}
}

func (m *Monitor) poll(ctx context.Context) {
	load, err := m.client.Load(ctx)
	if err != nil {
		return
	}
	m.mu.Lock()
	m.load = load
	m.lastAnswer = time.Now()
	m.mu.Unlock()
	if inventory, err := m.client.Inventory(ctx); err == nil {
		m.mu.Lock()
		m.inventory = inventory
		m.mu.Unlock()
	}
	// The next poll also returns the events that a failed poll missed.
	_ = m.cache.Poll(ctx, m.client)
}

// Load implements LoadSource. The engine's count of running requests lags, so
// the gate's own count is used if it is higher.
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
		Unreachable: time.Since(m.lastAnswer) > unreachableAfter,
	}
}

// serviceLoad is the LoadSource for a plain HTTP service, which reports no load
// of its own.
type serviceLoad struct {
	gate   *gate.Gate
	server ident.ServerID
}

// Load implements LoadSource.
func (p serviceLoad) Load(wire.CacheMark) wire.LoadReply {
	return wire.LoadReply{Server: p.server, Running: p.gate.Running(), Service: p.gate.TimeToFirstEvent()}
}
