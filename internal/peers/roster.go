// Package peers lets routers find and call each other. Each router writes where
// it can be reached under its own key of a keyed stream; nothing depends on an
// entry being right, since a peer that cannot be reached is only not asked.
package peers

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/camphorlever/camphorlever/internal/logservice"
)

// Times of announcing.
const (
	announceTimeout = 900 * time.Millisecond // of one call; a slow log takes some 300 ms
	announcePause   = 250 * time.Millisecond // after a call that failed
)

// Member is a router as it announced itself.
type Member struct {
	Node    string `msgpack:"-"` // the key
	Address string `msgpack:"a"` // for calls between routers
	Life    string `msgpack:"l"` // differs with each start
}

// Announcer adds entries to a keyed stream whatever its end.
type Announcer interface {
	Append(ctx context.Context, stream logservice.Stream, entries ...logservice.KeyedEntry) error
}

// Roster is the set of routers that announced themselves. It is a watch.Sink
// and safe for concurrent use.
type Roster struct {
	self   Member
	stream logservice.Stream
	log    zerolog.Logger

	mu      sync.Mutex // guards members
	members map[string]Member
}

// NewRoster returns a roster that knows nobody.
func NewRoster(self Member, stream logservice.Stream, log zerolog.Logger) *Roster {
	return &Roster{
		self:    self,
		stream:  stream,
		log:     log.With().Str("part", "peers").Logger(),
		members: map[string]Member{},
	}
}

// Others lists the other routers.
func (r *Roster) Others() []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	others := make([]Member, 0, len(r.members))
	for _, m := range r.members {
		others = append(others, m)
	}
	return others
}

// Reset implements watch.Sink.
func (r *Roster) Reset(entries []logservice.KeyedEntry) {
	r.mu.Lock()
	r.members = map[string]Member{}
	r.mu.Unlock()
	r.Apply(entries)
}

// Apply implements watch.Sink.
func (r *Roster) Apply(entries []logservice.KeyedEntry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range entries {
		if e.Key == "" || e.Key == r.self.Node {
			continue
		}
		if e.Value == nil {
			delete(r.members, e.Key)
			r.log.Info().Str("router", e.Key).Msg("router has left")
			continue
		}
		m := Member{Node: e.Key}
		if err := msgpack.Unmarshal(e.Value, &m); err != nil {
			r.log.Warn().Err(err).Str("router", e.Key).Msg("entry of a router cannot be read")
			continue
		}
		r.members[e.Key] = m
		r.log.Info().Str("router", m.Node).Str("address", m.Address).Msg("router announced itself")
	}
}

// Reachable implements watch.Sink.
func (r *Roster) Reachable(bool) {}

// Announce writes the own entry until it is written or ctx ends. Writing it
// twice does no harm.
func (r *Roster) Announce(ctx context.Context, log Announcer) error {
	raw, err := msgpack.Marshal(&r.self)
	if err != nil {
		return errors.Wrap(err, "encode own entry")
	}
	return r.write(ctx, log, logservice.KeyedEntry{Key: r.self.Node, Value: raw})
}

// Leave drops the own entry.
func (r *Roster) Leave(ctx context.Context, log Announcer) error {
	return r.write(ctx, log, logservice.KeyedEntry{Key: r.self.Node})
}

func (r *Roster) write(ctx context.Context, log Announcer, entry logservice.KeyedEntry) error {
	for {
		call, cancel := context.WithTimeout(ctx, announceTimeout)
		err := log.Append(call, r.stream, entry)
		cancel()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(err, "announce")
		case <-time.After(announcePause):
		}
	}
}
