package peers

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/logservice"
	"github.com/camphorlever/camphorlever/internal/rendezvous"
	"github.com/camphorlever/camphorlever/internal/watch"
)

// Timing and limits of the exchange of snapshots. Without it, routers that start at
// the same time would all read the same entries from the log, whose read rate they
// share. The routers of a data centre form a tree by the rendezvous order of the
// stream: the first ones read the log, each other one asks its parent.
const (
	// snapshotLoaders is how many routers of a data centre read a stream from the
	// log if no peer has a snapshot.
	snapshotLoaders = 2
	// snapshotChildren is how many routers ask the same parent. Each snapshot takes
	// a part of a slow link for some tens of milliseconds.
	snapshotChildren = 4
	// snapshotHold is how long a router that is still loading delays its reply.
	snapshotHold = 800 * time.Millisecond
	// snapshotHoldPeriod is how often it checks meanwhile.
	snapshotHoldPeriod = 20 * time.Millisecond
	// snapshotTimeout bounds one call, with the delay of the reply.
	snapshotTimeout = snapshotHold + 600*time.Millisecond
	// snapshotRetryPause is the pause after a call without a snapshot.
	snapshotRetryPause = 80 * time.Millisecond
	// minSnapshotWait and maxSnapshotWait bound how long a router waits for a
	// snapshot before it reads the log. The wait is random, so that routers that
	// wait in vain do not all read at the same time.
	minSnapshotWait = 2 * time.Second
	maxSnapshotWait = 4 * time.Second
	// peerSetTimeout bounds the wait for the list of routers.
	peerSetTimeout = time.Second
)

// SnapshotArgs is the request for a snapshot of a stream.
type SnapshotArgs struct {
	Stream string
	Hold   bool // the reply may be delayed until the router has loaded the stream
}

// SnapshotReply is the reply to a request for a snapshot.
type SnapshotReply struct {
	Found    bool // the router has loaded the stream
	Snapshot watch.Snapshot
}

// Snapshots returns this router's snapshot of a stream. It returns false if it has
// none.
type Snapshots func(stream logservice.Stream) (watch.Snapshot, bool, error)

var errNoSnapshot = errors.New("router has no snapshot")

// Fetch implements watch.SnapshotSource.
func (c *Client) Fetch(ctx context.Context, stream logservice.Stream) (watch.Snapshot, bool) {
	c.peerSet.AwaitLoaded(ctx, peerSetTimeout)
	ctx, cancel := context.WithTimeout(ctx, minSnapshotWait+rand.N(maxSnapshotWait-minSnapshotWait))
	defer cancel()
	ancestors, others := c.peerSet.snapshotOrder(string(stream))
	if len(ancestors) == 0 {
		return c.fetchAny(ctx, others, stream)
	}
	for ctx.Err() == nil {
		for _, name := range ancestors {
			if snapshot, err := c.fetchFrom(ctx, name, SnapshotArgs{Stream: string(stream), Hold: true}); err == nil {
				return snapshot, true
			}
			select {
			case <-time.After(snapshotRetryPause):
			case <-ctx.Done():
			}
		}
	}
	c.events.Inc("snapshot_timeout")
	return watch.Snapshot{}, false
}

// fetchAny asks a few routers without waiting for any to load the stream.
func (c *Client) fetchAny(ctx context.Context, names []string, stream logservice.Stream) (watch.Snapshot, bool) {
	for _, name := range names[:min(len(names), snapshotLoaders)] {
		if snapshot, err := c.fetchFrom(ctx, name, SnapshotArgs{Stream: string(stream)}); err == nil {
			return snapshot, true
		}
	}
	return watch.Snapshot{}, false
}

// fetchFrom gets a snapshot from one router.
func (c *Client) fetchFrom(ctx context.Context, name string, args SnapshotArgs) (watch.Snapshot, error) {
	order := c.callOrder([]string{name}, false)
	if len(order) == 0 || order[0] == nil {
		return watch.Snapshot{}, errNoSnapshot
	}
	timeout := snapshotTimeout
	if !args.Hold {
		timeout -= snapshotHold
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var reply SnapshotReply
	if err := order[0].client.Call(ctx, Service+".Snapshot", &args, &reply); err != nil {
		return watch.Snapshot{}, errors.Wrapf(err, "snapshot from router %s", name)
	}
	if !reply.Found {
		return watch.Snapshot{}, errNoSnapshot
	}
	c.events.Inc("snapshot_received")
	return reply.Snapshot, nil
}

// AwaitLoaded waits until the other routers have been read, but not beyond limit.
func (r *PeerSet) AwaitLoaded(ctx context.Context, limit time.Duration) {
	for end := time.Now().Add(limit); !r.Fleet().Loaded && time.Now().Before(end) && ctx.Err() == nil; {
		time.Sleep(snapshotHoldPeriod)
	}
}

// snapshotOrder returns the routers to ask for a snapshot of a stream: this router's
// ancestors in the tree of its data centre, nearest first. They are none if this
// router is one of those that read the log; then it may ask others, in random order,
// which have a snapshot unless all routers have just started.
func (r *PeerSet) snapshotOrder(stream string) (ancestors, others []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := []string{r.self.Node}
	for _, m := range r.members {
		if m.DataCentre == r.self.DataCentre {
			all = append(all, m.Node)
			others = append(others, m.Node)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	tree := rendezvous.First([]byte(stream), all, len(all), func(name string) string { return name })
	for i := slices.Index(tree, r.self.Node); i >= snapshotLoaders; {
		i = (i - snapshotLoaders) / snapshotChildren
		ancestors = append(ancestors, tree[i])
	}
	return ancestors, others
}

// Snapshot returns this router's snapshot of a stream.
func (m *Methods) Snapshot(args *SnapshotArgs, reply *SnapshotReply) error {
	return contained(func() error { return m.awaitSnapshot(args, reply) })
}

// awaitSnapshot waits for a snapshot up to snapshotHold if the caller allows that.
func (m *Methods) awaitSnapshot(args *SnapshotArgs, reply *SnapshotReply) (err error) {
	for end := time.Now().Add(snapshotHold); ; time.Sleep(snapshotHoldPeriod) {
		reply.Snapshot, reply.Found, err = m.snapshots(logservice.Stream(args.Stream))
		if err != nil || reply.Found || !args.Hold || time.Now().After(end) {
			return err
		}
	}
}
