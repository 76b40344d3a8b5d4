package entry

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/camphorlever/camphorlever/internal/affinity"
	"github.com/camphorlever/camphorlever/internal/catalog"
	"github.com/camphorlever/camphorlever/internal/logservice"
	"github.com/camphorlever/camphorlever/internal/membership"
	"github.com/camphorlever/camphorlever/internal/watch"
)

// Decoder decodes the values in the platform's log.
type Decoder struct {
	Settings    func(raw []byte) (*catalog.Settings, error)
	Server      func(id string, raw []byte) (membership.Server, error)
	KeySettings string // key of the settings in their stream
}

// settingsSink holds the newest settings that were read.
type settingsSink struct {
	decoder  Decoder
	log      zerolog.Logger
	current  atomic.Pointer[catalog.Settings]
	watcher  *watch.Watcher
	onChange func(*catalog.Settings)
}

// Current implements route.Settings.
func (p *settingsSink) Current() *catalog.Settings { return p.current.Load() }

// SyncedAt implements route.Settings.
func (p *settingsSink) SyncedAt() time.Time { return p.watcher.SyncedAt() }

// Reset implements watch.Sink.
func (p *settingsSink) Reset(entries []logservice.KeyedEntry) { p.Apply(entries) }

// SetReachable implements watch.Sink.
func (p *settingsSink) SetReachable(bool) {}

// Apply implements watch.Sink. Settings that cannot be decoded are ignored, and
// an older version never replaces a newer one.
func (p *settingsSink) Apply(entries []logservice.KeyedEntry) {
	for _, e := range entries {
		if e.Key != p.decoder.KeySettings || e.Value == nil {
			continue
		}
		s, err := p.decoder.Settings(e.Value)
		if err != nil {
			p.log.Warn().Err(err).Int64("offset", int64(e.Offset)).Msg("settings cannot be decoded")
			continue
		}
		previous := p.current.Load()
		if previous != nil && s.Version <= previous.Version {
			continue
		}
		p.current.Store(s)
		p.log.Info().Int64("settings", s.Version).Int64("offset", int64(e.Offset)).Msg("settings in force")
		p.onChange(s)
	}
}

// serverSink applies the entries of backend servers to the table.
type serverSink struct {
	decoder Decoder
	table   *membership.Table
}

// Reset implements watch.Sink.
func (s *serverSink) Reset(entries []logservice.KeyedEntry) { s.table.Reset(s.updates(entries)...) }

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
			}
		}
		updates = append(updates, update)
	}
	return updates
}

// SetReachable implements watch.Sink.
func (s *serverSink) SetReachable(ok bool) { s.table.SetReachable(ok) }

// serverObserver passes on what servers say of themselves in their responses.
type serverObserver struct {
	servers *membership.Table
	placer  *affinity.Placer
	log     zerolog.Logger
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
