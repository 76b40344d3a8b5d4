package entry

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/camphorlever/camphorlever/internal/affinity"
	"github.com/camphorlever/camphorlever/internal/catalog"
	"github.com/camphorlever/camphorlever/internal/coldlimit"
	"github.com/camphorlever/camphorlever/internal/evacuation"
	"github.com/camphorlever/camphorlever/internal/logservice"
	"github.com/camphorlever/camphorlever/internal/membership"
	"github.com/camphorlever/camphorlever/internal/watch"
)

// Decoder decodes the values in the platform's log.
type Decoder struct {
	Settings    func(raw []byte) (*catalog.Settings, error)
	Server      func(id string, raw []byte) (membership.Server, error)
	KeySettings string // key of the settings in their stream
	// Evacuation returns the data centre that a key in the stream of the settings orders
	// to be evacuated. It returns false for other keys. CheckOrder reports why the value
	// of such an order is malformed. Both are nil if there are no such orders.
	Evacuation func(key string) (dataCentre string, isOrder bool)
	CheckOrder func(raw []byte) error
}

// settingsSink holds the newest settings that were read.
type settingsSink struct {
	decoder  Decoder
	log      zerolog.Logger
	mu       sync.Mutex // serializes changes of current
	current  atomic.Pointer[catalog.Settings]
	watcher  *watch.Watcher
	onChange func(*catalog.Settings)
	orders   *evacuationSink
	// onRestore is called after the log came back from an older copy; nil if nothing
	// depends on it.
	onRestore func()
	raw       atomic.Pointer[settingsValue] // of current
}

// settingsValue is the value of the settings in the log.
type settingsValue struct {
	version int64
	value   []byte
}

// Current implements route.Settings.
func (p *settingsSink) Current() *catalog.Settings { return p.current.Load() }

// SyncedAt implements route.Settings.
func (p *settingsSink) SyncedAt() time.Time { return p.watcher.SyncedAt() }

// Reset implements watch.Sink. A read without settings, after they were known, is not
// complete: the log has lost its history. It revokes no orders.
func (p *settingsSink) Reset(entries []logservice.KeyedEntry) {
	hasSettings := slices.ContainsFunc(entries, func(e logservice.KeyedEntry) bool { return e.Key == p.decoder.KeySettings })
	if p.current.Load() == nil || hasSettings {
		p.orders.reset(entries)
	} else {
		p.log.Warn().Int("entries", len(entries)).Msg("newest entries lack the settings; evacuation orders stay in force")
		p.orders.apply(entries)
	}
	p.applySettings(entries)
}

// Restore implements watch.Sink. An order that the older copy lacks stays in force until
// its revocation is read.
func (p *settingsSink) Restore(entries []logservice.KeyedEntry) {
	p.Apply(entries)
	if p.onRestore != nil {
		p.onRestore()
	}
}

// SetReachable implements watch.Sink.
func (p *settingsSink) SetReachable(bool) {}

// Apply implements watch.Sink.
func (p *settingsSink) Apply(entries []logservice.KeyedEntry) {
	p.orders.apply(entries)
	p.applySettings(entries)
}

// applySettings applies new settings. Those that cannot be decoded are ignored, and an
// older version never replaces a newer one.
func (p *settingsSink) applySettings(entries []logservice.KeyedEntry) {
	for _, e := range entries {
		if e.Key != p.decoder.KeySettings || e.Value == nil {
			continue
		}
		switch adopted, err := p.adopt(e.Value); {
		case err != nil:
			p.log.Warn().Err(err).Int64("offset", int64(e.Offset)).Msg("settings cannot be decoded")
		case adopted:
			p.log.Info().Int64("settings", p.current.Load().Version).Int64("offset", int64(e.Offset)).Msg("settings in force")
		}
	}
}

// adopt puts settings in force, and reports whether it did: not if newer ones are.
func (p *settingsSink) adopt(value []byte) (bool, error) {
	s, err := p.decoder.Settings(value)
	if err != nil {
		return false, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if previous := p.current.Load(); previous != nil && s.Version <= previous.Version {
		return false, nil
	}
	p.current.Store(s)
	p.raw.Store(&settingsValue{version: s.Version, value: value})
	p.onChange(s)
	return true, nil
}

// valueNewerThan returns the value of the settings in force if their version is newer
// than the given one, nil otherwise.
func (p *settingsSink) valueNewerThan(version int64) []byte {
	if raw := p.raw.Load(); raw != nil && raw.version > version {
		return raw.value
	}
	return nil
}

// evacuationSink applies the operators' evacuation orders.
type evacuationSink struct {
	decoder Decoder
	orders  *evacuation.Set
	servers *membership.Table
	placer  *affinity.Placer
	log     zerolog.Logger
}

// apply applies records in the order of the log.
func (s *evacuationSink) apply(entries []logservice.KeyedEntry) {
	if updates := s.updates(entries); len(updates) > 0 {
		s.changed(s.orders.Apply(updates...))
	}
}

// reset applies the newest record of each key.
func (s *evacuationSink) reset(entries []logservice.KeyedEntry) {
	s.changed(s.orders.Reset(s.updates(entries)...))
}

// changed brings the table up to date. Load returns gradually to the servers of data
// centres whose orders were revoked, as it does after a pause.
func (s *evacuationSink) changed(ordered, revoked []string) {
	for _, dataCentre := range revoked {
		for _, server := range s.servers.InDataCentre(dataCentre) {
			s.placer.Pause(server, time.Now())
		}
	}
	if len(ordered) > 0 || len(revoked) > 0 {
		s.servers.Reevaluate()
	}
}

func (s *evacuationSink) updates(entries []logservice.KeyedEntry) []evacuation.Update {
	if s.decoder.Evacuation == nil {
		return nil
	}
	var updates []evacuation.Update
	for _, e := range entries {
		dataCentre, isOrder := s.decoder.Evacuation(e.Key)
		if !isOrder {
			continue
		}
		update := evacuation.Update{DataCentre: dataCentre, InForce: len(e.Value) > 0}
		if update.InForce {
			update.Err = s.decoder.CheckOrder(e.Value)
		}
		s.log.Info().Str("data_centre", dataCentre).Bool("revoked", !update.InForce).Int64("offset", int64(e.Offset)).
			Msg("evacuation order read")
		updates = append(updates, update)
	}
	return updates
}

// serverSink applies the entries of backend servers to the table.
type serverSink struct {
	decoder Decoder
	table   *membership.Table
	cold    *coldlimit.Limiter // nil if cold servers are not limited
}

// Reset implements watch.Sink.
func (s *serverSink) Reset(entries []logservice.KeyedEntry) { s.table.Reset(s.updates(entries)...) }

// Restore implements watch.Sink.
func (s *serverSink) Restore(entries []logservice.KeyedEntry) { s.table.Restore(s.updates(entries)...) }

// Apply implements watch.Sink.
func (s *serverSink) Apply(entries []logservice.KeyedEntry) { s.table.Apply(s.updates(entries)...) }

func (s *serverSink) updates(entries []logservice.KeyedEntry) []membership.Update {
	updates := make([]membership.Update, 0, len(entries))
	for _, e := range entries {
		if e.Key == "" {
			continue // an entry without a key belongs to no server
		}
		update := membership.Update{ID: e.Key}
		if e.Value != nil {
			server, err := s.decoder.Server(e.Key, e.Value)
			if err != nil {
				update.Err = err
			} else {
				update.Server = &server
				s.observeCold(server)
			}
		}
		updates = append(updates, update)
	}
	return updates
}

// observeCold tells the limiter, before the server may be chosen, for how long it is cold.
func (s *serverSink) observeCold(server membership.Server) {
	if s.cold != nil {
		s.cold.ObserveEntry(server)
	}
}

// routerSink passes the list of routers to the limiter of cold servers too, which divides
// their rate among the routers.
type routerSink struct {
	watch.Sink
	cold *coldlimit.Limiter
}

// Reset implements watch.Sink.
func (s *routerSink) Reset(entries []logservice.KeyedEntry) {
	var names []string
	for _, e := range entries {
		if e.Key != "" && len(e.Value) > 0 {
			names = append(names, e.Key)
		}
	}
	s.cold.ResetRouters(names)
	s.Sink.Reset(entries)
}

// Restore implements watch.Sink. Routers that the older copy lacks keep their share of the
// rate.
func (s *routerSink) Restore(entries []logservice.KeyedEntry) {
	for _, e := range entries {
		if e.Key != "" && len(e.Value) > 0 {
			s.cold.SetRouter(e.Key, true)
		}
	}
	s.Sink.Restore(entries)
}

// Apply implements watch.Sink.
func (s *routerSink) Apply(entries []logservice.KeyedEntry) {
	for _, e := range entries {
		if e.Key != "" {
			s.cold.SetRouter(e.Key, len(e.Value) > 0)
		}
	}
	s.Sink.Apply(entries)
}

// coldRates returns the rates of the services' cold servers.
func coldRates(s *catalog.Settings) map[string]float64 {
	rates := map[string]float64{}
	s.ForEachService(func(service *catalog.Service) {
		if service.ColdRate > 0 {
			rates[service.Name] = service.ColdRate
		}
	})
	return rates
}

// SetReachable implements watch.Sink.
func (s *serverSink) SetReachable(ok bool) { s.table.SetReachable(ok) }

// serverObserver passes on what servers say of themselves in their responses.
type serverObserver struct {
	servers *membership.Table
	placer  *affinity.Placer
	cold    *coldlimit.Limiter // nil if cold servers are not limited
	log     zerolog.Logger
}

// ServerCold implements upstream.Observer.
func (o *serverObserver) ServerCold(server membership.Server, coldFor time.Duration) {
	if o.cold != nil {
		o.cold.Observe(server, coldFor)
	}
}

// ServerLeaving implements upstream.Observer.
func (o *serverObserver) ServerLeaving(server membership.Server) { o.servers.MarkLeaving(server) }

// ServerPaused implements upstream.Observer.
func (o *serverObserver) ServerPaused(server membership.Server, until time.Time) {
	if !o.placer.Pause(server, until) {
		return // requests that were in flight are turned away too
	}
	o.log.Info().Str("server", server.ID).Str("address", server.Address).Dur("for", time.Until(until)).
		Msg("backend server asked for a pause")
}
