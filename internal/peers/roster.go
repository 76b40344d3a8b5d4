// Package peers lets routers find and call each other. Each router writes where
// it can be reached under its own key of a keyed stream; nothing depends on an
// entry being right, since a peer that cannot be reached is only not asked.
package peers

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/camphorlever/camphorlever/internal/logservice"
	"github.com/camphorlever/camphorlever/internal/prepaid"
)

// Times of announcing.
const (
	announceTimeout = 900 * time.Millisecond // of one call; a slow log takes some 300 ms
	announcePause   = 250 * time.Millisecond // after a call that failed
)

// detailAtLoad is up to how many entries that are read together are logged one by
// one: some seconds of what the log lines may take.
const detailAtLoad = 100

// Member is a router as it announced itself.
type Member struct {
	Node        string `msgpack:"-"` // the key
	Address     string `msgpack:"a"` // for calls between routers
	Incarnation string `msgpack:"l"` // differs with each start
	Full        bool   `msgpack:"f"` // it sends callers to other routers

	seen time.Time // when the entry was read
}

// Announcer adds entries to a keyed stream whatever its end.
type Announcer interface {
	Append(ctx context.Context, stream logservice.Stream, entries ...logservice.KeyedEntry) error
}

// PeerSet is the set of routers that announced themselves. It is a watch.Sink
// and safe for concurrent use.
type PeerSet struct {
	self   Member
	stream logservice.Stream
	log    zerolog.Logger

	mu      sync.Mutex // guards all below
	members map[string]Member
	fleet   prepaid.Fleet
}

// NewPeerSet returns a roster that knows nobody.
func NewPeerSet(self Member, stream logservice.Stream, log zerolog.Logger) *PeerSet {
	r := &PeerSet{
		self:    self,
		stream:  stream,
		log:     log.With().Str("part", "peers").Logger(),
		members: map[string]Member{},
	}
	r.changed()
	return r
}

// Fleet returns the names of the routers.
func (r *PeerSet) Fleet() prepaid.Fleet {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fleet
}

// changed makes a new list of names, since others may read the old one. The
// lock is held, but at the beginning.
func (r *PeerSet) changed() {
	names := append(slices.Collect(maps.Keys(r.members)), r.self.Node)
	slices.Sort(names)
	if slices.Equal(names, r.fleet.Routers) {
		return
	}
	r.fleet = prepaid.Fleet{Self: r.self.Node, Routers: names, Version: r.fleet.Version + 1, Loaded: r.fleet.Loaded}
}

// Others lists the other routers.
func (r *PeerSet) Others() []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	others := make([]Member, 0, len(r.members))
	for _, m := range r.members {
		others = append(others, m)
	}
	return others
}

// Reset implements watch.Sink.
func (r *PeerSet) Reset(entries []logservice.KeyedEntry) {
	r.mu.Lock()
	r.members = map[string]Member{}
	r.fleet.Loaded = true
	r.mu.Unlock()
	r.Apply(entries)
	r.log.Info().Int("routers", len(entries)).Msg("routers read")
}

// Apply implements watch.Sink.
func (r *PeerSet) Apply(entries []logservice.KeyedEntry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.changed()
	for _, e := range entries {
		if e.Key == "" || e.Key == r.self.Node {
			continue
		}
		if e.Value == nil {
			delete(r.members, e.Key)
			r.log.Info().Str("router", e.Key).Msg("router has left")
			continue
		}
		m := Member{Node: e.Key, seen: time.Now()}
		if err := msgpack.Unmarshal(e.Value, &m); err != nil {
			r.log.Warn().Err(err).Str("router", e.Key).Msg("entry of a router cannot be read")
			continue
		}
		r.members[e.Key] = m
		if len(entries) <= detailAtLoad {
			r.log.Info().Str("router", m.Node).Str("address", m.Address).Bool("full", m.Full).Msg("router announced itself")
		}
	}
}

// fullShare is the part of the routers that may send callers elsewhere at a
// time: the others must be able to take them.
const fullShare = 0.25

// FullExpiry is for how long a router counts as sending callers elsewhere after it
// said so: its VM may have gone since.
const FullExpiry = time.Minute

// MayReportFull reports whether this router may send its callers to others, as far as
// it is known which do so already.
func (r *PeerSet) MayReportFull() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	full := 1
	for _, m := range r.members {
		if m.Full && time.Since(m.seen) < FullExpiry {
			full++
		}
	}
	return len(r.members) > 0 && float64(full) <= max(fullShare*float64(len(r.members)+1), 1)
}

// SetFull tells the other routers whether this one sends callers to them. Calls
// must not overlap: the entry that is written last counts.
func (r *PeerSet) SetFull(ctx context.Context, log Announcer, full bool) error {
	r.mu.Lock()
	r.self.Full = full
	r.mu.Unlock()
	return r.Announce(ctx, log)
}

// Reachable implements watch.Sink.
func (r *PeerSet) SetReachable(bool) {}

// Announce writes the own entry until it is written or ctx ends. Writing it
// twice does no harm.
func (r *PeerSet) Announce(ctx context.Context, log Announcer) error {
	r.mu.Lock()
	self := r.self
	r.mu.Unlock()
	raw, err := msgpack.Marshal(&self)
	if err != nil {
		return errors.Wrap(err, "encode own entry")
	}
	return r.write(ctx, log, logservice.KeyedEntry{Key: self.Node, Value: raw})
}

// Leave drops the own entry.
func (r *PeerSet) Leave(ctx context.Context, log Announcer) error {
	return r.write(ctx, log, logservice.KeyedEntry{Key: r.self.Node})
}

func (r *PeerSet) write(ctx context.Context, log Announcer, entry logservice.KeyedEntry) error {
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
