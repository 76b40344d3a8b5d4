package entry

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/camphorlever/camphorlever/internal/catalog"
	"github.com/camphorlever/camphorlever/internal/logservice"
	"github.com/camphorlever/camphorlever/internal/membership"
	"github.com/camphorlever/camphorlever/internal/watch"
)

// Decoder reads what the platform's log holds.
type Decoder struct {
	Settings    func(raw []byte) (*catalog.Settings, error)
	Server      func(id string, raw []byte) (membership.Server, error)
	KeySettings string
}

// published holds the newest settings.
type published struct {
	decoder Decoder
	log     zerolog.Logger
	current atomic.Pointer[catalog.Settings]
	watcher *watch.Watcher
	changed func(*catalog.Settings)
}

// Current implements route.Settings.
func (p *published) Current() *catalog.Settings { return p.current.Load() }

// SyncedAt implements route.Settings.
func (p *published) SyncedAt() time.Time { return p.watcher.SyncedAt() }

// Reset implements watch.Sink.
func (p *published) Reset(entries []logservice.KeyedEntry) { p.Apply(entries) }

// SetReachable implements watch.Sink.
func (p *published) SetReachable(bool) {}

// Apply implements watch.Sink. Settings that cannot be read change nothing, and
// a version never follows a newer one.
func (p *published) Apply(entries []logservice.KeyedEntry) {
	for _, e := range entries {
		if e.Key != p.decoder.KeySettings || e.Value == nil {
			continue
		}
		s, err := p.decoder.Settings(e.Value)
		if err != nil {
			p.log.Warn().Err(err).Int64("offset", int64(e.Offset)).Msg("settings cannot be read")
			continue
		}
		before := p.current.Load()
		if before != nil && s.Version <= before.Version {
			continue
		}
		p.current.Store(s)
		p.log.Info().Int64("settings", s.Version).Int64("offset", int64(e.Offset)).Msg("settings in force")
		p.changed(s)
	}
}

// servers feeds the table of backend servers.
type servers struct {
	decoder Decoder
	table   *membership.Table
}

// Reset implements watch.Sink.
func (s *servers) Reset(entries []logservice.KeyedEntry) { s.table.Reset(s.updates(entries)...) }

// Apply implements watch.Sink.
func (s *servers) Apply(entries []logservice.KeyedEntry) { s.table.Apply(s.updates(entries)...) }

func (s *servers) updates(entries []logservice.KeyedEntry) []membership.Update {
	updates := make([]membership.Update, 0, len(entries))
	for _, e := range entries {
		if e.Key == "" {
			continue // not a keyed entry; it names no server
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
func (s *servers) SetReachable(ok bool) { s.table.SetReachable(ok) }
