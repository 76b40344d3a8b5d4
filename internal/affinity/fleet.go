package affinity

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/camphorlever/camphorlever/internal/loadview"
)

// Constants of the choice by the loads of all routers. Those of the estimate of loads are
// in package loadview.
const (
	// fleetBound and fleetSlack limit the load of a server that is preferred for its cache, as
	// loadBound and loadSlack do, but in requests of all routers. In simulations of a minute, a
	// slack of 2 cost up to 3 in 100 cache hits, 3 cost 2, and 6 cost 1 but loaded the busiest
	// server 1.5 to 1.9 times as much as the mean, instead of 1.4 to 1.7.
	fleetBound = loadBound
	fleetSlack = 3
	// boundSpread is by how much the load bound varies at random between requests, as a
	// part of the mean load. Routers see a server pass a fixed bound at the same moment and
	// would all leave it, and all return. A larger spread costs cache hits: 0.15 cost 1 in
	// 100 in TestEnginesAreLoadedEvenly.
	boundSpread = 0.05
	// arrivalsMargin multiplies the requests that are expected until the next view. Above 1,
	// a router trusts an old view less: views are older than the mean at some routers.
	arrivalsMargin = 2
	// minRoom is the least room of a candidate, as a part of the highest. No server is
	// left out because of what other routers report, which may be wrong.
	minRoom = 0.02
	// maxRoomRatio limits the room of a candidate as a multiple of the mean room, so that a
	// server that seems to be idle gets no more than that multiple of its share.
	maxRoomRatio = 3.0
	// ownRoom is the room above the mean load if no requests arrive until the next view, in
	// requests of this router.
	ownRoom = 0.5
	// viewInterval is the mean time for which a view is used before the next arrives.
	viewInterval = 100 * time.Millisecond
	// minPace and maxPace limit the influence of the measured latency of a server relative
	// to the healthy ones, which comes from few requests. Far slower ones get a penalty.
	minPace, maxPace = 0.8, 1.5
	// cachedPeriod is how long a shared prompt part counts as cached at a server to which
	// this router sent it, and maxCachedParts limits the parts that are remembered, at
	// about 100 bytes each.
	cachedPeriod   = time.Minute
	maxCachedParts = 4096
)

// fleetLoads chooses servers by the loads of all routers. The placer's lock guards it. A
// nil value knows no loads.
type fleetLoads struct {
	tracker *loadview.Tracker
	servers []*loadview.Server // buffer
	loads   []float64          // buffer
	room    []float64          // buffer
	cached  *simplelru.LRU[cachedPart, time.Time]
}

// cachedPart is a shared prompt part at a server.
type cachedPart struct {
	server *loadview.Server
	key    uint64 // hash
}

// ShareLoads makes the placer count its requests in a tracker, and choose by the loads that
// it estimates while it is active. It must be called before the first request.
func (p *Placer) ShareLoads(tracker *loadview.Tracker) {
	cached, err := simplelru.NewLRU[cachedPart, time.Time](maxCachedParts, nil)
	if err != nil {
		panic(err) // only if the size is not positive
	}
	p.fleet = &fleetLoads{tracker: tracker, cached: cached}
}

// setLoads sets the loads of all candidates and returns their mean, and whether loads are
// exchanged. Otherwise the candidates have this router's requests in flight.
func (f *fleetLoads) setLoads(candidates []candidate, meanInFlight float64) (mean float64, view loadview.View, exchanged bool) {
	if f == nil || !f.tracker.Active() {
		return meanInFlight, loadview.View{}, false
	}
	f.servers = f.servers[:0]
	for i := range candidates {
		f.servers = append(f.servers, f.server(&candidates[i]))
	}
	if len(f.loads) < len(candidates) {
		f.loads, f.room = make([]float64, len(candidates)), make([]float64, len(candidates))
	}
	view = f.tracker.Loads(f.servers, f.loads)
	for i := range candidates {
		candidates[i].requests = f.loads[i]
		mean += f.loads[i]
	}
	return mean / float64(len(candidates)), view, true
}

// server returns a candidate in the tracker.
func (f *fleetLoads) server(c *candidate) *loadview.Server {
	if c.node.shared == nil {
		c.node.shared = f.tracker.Server(loadview.ID{Server: c.server.ID, StartedMS: c.server.StartedMS})
	}
	return c.node.shared
}

// choose returns the candidate for a request: the one preferred for the key if its load is
// within the bound, otherwise a random one by the room left.
func (f *fleetLoads) choose(candidates []candidate, key string, mean float64, view loadview.View, duration time.Duration) candidate {
	if key != "" {
		bound := fleetBound + boundSpread*(2*rand.Float64()-1)
		if best := withinLimit(candidates, key, bound*mean+fleetSlack*view.OwnWeight); best >= 0 {
			return candidates[best]
		}
	}
	return candidates[f.byRoom(candidates, mean, view, duration)]
}

// byRoom returns the index of a candidate, chosen with a weight by its room: up to the load
// that all would have if the requests that arrive until the next view were spread evenly,
// which is the mean load and these requests. If routers choose so by the same view, the
// least loaded servers get the most requests, but not more than they are short of. The
// requests in flight take a mean time, so load / duration arrive in a unit of time.
//
// The choice is not independent of the ones before: each candidate has a credit, which grows
// by its part of the weight with every request and falls by one when it is chosen, and the
// highest is chosen. Each router's requests are thus spread as evenly as its weights say.
// Credits begin at random, so that routers with the same view do not choose in step.
func (f *fleetLoads) byRoom(candidates []candidate, mean float64, view loadview.View, duration time.Duration) int {
	horizon := arrivalsMargin * view.Shared * float64(view.Age+viewInterval)
	level := mean*(1+horizon/float64(max(duration, time.Millisecond))) + ownRoom*view.OwnWeight
	slots, sum := 0.0, 0.0
	for i := range candidates {
		slots += float64(max(candidates[i].server.Slots, 1))
	}
	room := f.room[:len(candidates)]
	for i := range candidates {
		c := &candidates[i]
		share := float64(max(c.server.Slots, 1)) * float64(len(candidates)) / slots
		room[i] = max(level*share-c.load(), minRoom*level) / min(max(c.pace, minPace), maxPace)
		sum += room[i]
	}
	limit, total := maxRoomRatio*sum/float64(len(candidates)), 0.0
	for i := range room {
		room[i] = min(room[i], limit)
		total += room[i]
	}
	best := 0
	for i := range room {
		n := candidates[i].node
		n.credit += room[i] / total
		if n.credit > candidates[best].node.credit {
			best = i
		}
	}
	candidates[best].node.credit--
	return best
}

// begin counts a request at the chosen server. It returns nil without a tracker.
func (f *fleetLoads) begin(c candidate, q Query, now time.Time) *loadview.Entry {
	if f == nil {
		return nil
	}
	server := f.server(&c)
	return f.tracker.BeginAt(server, f.unreadTokens(server, q, now))
}

// unreadTokens estimates how many tokens of a prompt a server has to read. Its shared parts
// are taken to be cached if this router has sent them there recently.
func (f *fleetLoads) unreadTokens(server *loadview.Server, q Query, now time.Time) int64 {
	if q.Key == "" || q.PromptTokens <= 0 {
		return q.PromptTokens
	}
	part := cachedPart{server, xxhash.Sum64String(q.Key)}
	sentAt, sent := f.cached.Get(part)
	f.cached.Add(part, now)
	if sent && now.Sub(sentAt) < cachedPeriod {
		return min(max(q.UniqueTokens, 0), q.PromptTokens)
	}
	return q.PromptTokens
}
