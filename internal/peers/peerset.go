// Package peers lets routers find and call each other. Each router writes its
// address under its own key of a keyed stream. Nothing depends on an entry
// being right: a peer that cannot be reached is skipped.
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

// Timing of announcements.
const (
	announceTimeout    = 900 * time.Millisecond // of one call; a slow log takes about 300 ms
	announceRetryPause = 250 * time.Millisecond // after a failed call
)

// maxDetailedEntries is up to how many entries of one read are logged one by
// one. So many lines use up some seconds of the log line budget.
const maxDetailedEntries = 100

// Member is a router as it announced itself.
type Member struct {
	Node        string `msgpack:"-"` // key of the entry
	Address     string `msgpack:"a"` // of the listener for calls between routers
	Incarnation string `msgpack:"l"` // differs after each start
	Full        bool   `msgpack:"f"` // the router sends its callers to other routers
	DataCentre  string `msgpack:"z"`

	readAt time.Time // when the entry was read
}

// Announcer appends entries to a keyed stream, regardless of its end offset.
type Announcer interface {
	Append(ctx context.Context, stream logservice.Stream, entries ...logservice.KeyedEntry) error
}

// PeerSet is the set of routers that announced themselves. It implements
// watch.Sink and is safe for concurrent use.
type PeerSet struct {
	self   Member
	stream logservice.Stream
	log    zerolog.Logger

	mu      sync.Mutex // guards all below
	members map[string]Member
	left    map[string]string // incarnations whose entries were removed, by node
	fleet   prepaid.Fleet

	restored chan struct{} // receives a value when the log came back from an older copy
}

// NewPeerSet returns a set without other routers.
func NewPeerSet(self Member, stream logservice.Stream, log zerolog.Logger) *PeerSet {
	r := &PeerSet{
		self:    self,
		stream:  stream,
		log:     log.With().Str("part", "peers").Logger(),
		members: map[string]Member{},
		left:    map[string]string{},

		restored: make(chan struct{}, 1),
	}
	r.updateFleet()
	return r
}

// Fleet returns the names of the known routers, including this one.
func (r *PeerSet) Fleet() prepaid.Fleet {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fleet
}

// updateFleet replaces the list of names if it has changed. It makes a new
// list, since readers may still use the old one. The caller holds the lock,
// except in NewPeerSet.
func (r *PeerSet) updateFleet() {
	names := append(slices.Collect(maps.Keys(r.members)), r.self.Node)
	slices.Sort(names)
	if slices.Equal(names, r.fleet.Routers) {
		return
	}
	r.fleet = prepaid.Fleet{Self: r.self.Node, Routers: names, Version: r.fleet.Version + 1, Loaded: r.fleet.Loaded}
}

// Others returns the other routers, in no particular order.
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
	r.log.Info().Int("routers", len(entries)).Msg("router entries loaded")
}

// Restore implements watch.Sink. Routers that the older copy lacks are kept, and those
// that are known to have left are not added again.
func (r *PeerSet) Restore(entries []logservice.KeyedEntry) {
	r.mu.Lock()
	left := maps.Clone(r.left)
	r.mu.Unlock()
	entries = slices.DeleteFunc(slices.Clone(entries), func(e logservice.KeyedEntry) bool {
		var m Member
		return msgpack.Unmarshal(e.Value, &m) == nil && m.Incarnation != "" && left[e.Key] == m.Incarnation
	})
	r.Apply(entries)
	r.log.Info().Int("routers", len(entries)).Msg("router entries of an older copy of the log loaded")
	select {
	case r.restored <- struct{}{}:
	default:
	}
}

// Restored returns a channel that receives a value whenever the log came back from an
// older copy, which may lack the entry of this router.
func (r *PeerSet) Restored() <-chan struct{} { return r.restored }

// Apply implements watch.Sink.
func (r *PeerSet) Apply(entries []logservice.KeyedEntry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.updateFleet()
	for _, e := range entries {
		if e.Key == "" || e.Key == r.self.Node {
			continue
		}
		if e.Value == nil {
			if m, found := r.members[e.Key]; found {
				r.left[e.Key] = m.Incarnation
			}
			delete(r.members, e.Key)
			r.log.Info().Str("router", e.Key).Msg("router has left")
			continue
		}
		m := Member{Node: e.Key, readAt: time.Now()}
		if err := msgpack.Unmarshal(e.Value, &m); err != nil {
			r.log.Warn().Err(err).Str("router", e.Key).Msg("router entry cannot be decoded")
			continue
		}
		r.members[e.Key] = m
		if len(entries) <= maxDetailedEntries {
			r.log.Info().Str("router", m.Node).Str("address", m.Address).Bool("full", m.Full).Msg("router announced itself")
		}
	}
}

// maxFullShare is the largest share of the routers that may send their callers
// elsewhere at the same time: the others must be able to serve them.
const maxFullShare = 0.25

// FullExpiry is how long a router counts as sending callers elsewhere after it
// announced so: its VM may have been removed since.
const FullExpiry = time.Minute

// MayReportFull reports whether this router may announce that it is full and
// send its callers to others, given the routers that are known to do so
// already.
func (r *PeerSet) MayReportFull() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	full := 1
	for _, m := range r.members {
		if m.Full && time.Since(m.readAt) < FullExpiry {
			full++
		}
	}
	return len(r.members) > 0 && float64(full) <= max(maxFullShare*float64(len(r.members)+1), 1)
}

// SetAddress replaces the address under which this router announces itself. It must be called
// before the first announcement.
func (r *PeerSet) SetAddress(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.self.Address = address
}

// SetFull announces whether this router sends callers to other routers. Calls
// must not overlap, since the entry that is written last counts.
func (r *PeerSet) SetFull(ctx context.Context, log Announcer, full bool) error {
	r.mu.Lock()
	r.self.Full = full
	r.mu.Unlock()
	return r.Announce(ctx, log)
}

// SetReachable implements watch.Sink.
func (r *PeerSet) SetReachable(bool) {}

// Announce writes the entry of this router, and retries until it is written or
// ctx ends. Writing it twice does no harm.
func (r *PeerSet) Announce(ctx context.Context, log Announcer) error {
	r.mu.Lock()
	self := r.self
	r.mu.Unlock()
	raw, err := msgpack.Marshal(&self)
	if err != nil {
		return errors.Wrap(err, "encode entry of this router")
	}
	return r.write(ctx, log, logservice.KeyedEntry{Key: self.Node, Value: raw})
}

// Leave removes the entry of this router, and retries until that is written or
// ctx ends.
func (r *PeerSet) Leave(ctx context.Context, log Announcer) error {
	return r.write(ctx, log, logservice.KeyedEntry{Key: r.self.Node})
}

func (r *PeerSet) write(ctx context.Context, log Announcer, entry logservice.KeyedEntry) error {
	for {
		callCtx, cancel := context.WithTimeout(ctx, announceTimeout)
		err := log.Append(callCtx, r.stream, entry)
		cancel()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(err, "announce")
		case <-time.After(announceRetryPause):
		}
	}
}
