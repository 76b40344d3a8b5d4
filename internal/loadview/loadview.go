// Package loadview estimates the load of backend servers from the requests of all
// routers. Each router counts its own requests; routers exchange sums of these counts
// along a tree (package peers makes the calls). On each edge of the tree, a router says
// what it and the routers behind it have sent, and is told what all others have sent, so
// that no request is counted twice. The package does no I/O and takes the time as a
// function.
package loadview

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Constants of the estimate. They are meant to be tuned here.
const (
	// MinFleet is the number of routers above which loads are exchanged. Up to it, a
	// router's own requests are a sufficient sample of the load.
	MinFleet = 8
	// TokensPerRequest is how many unread prompt tokens count as one request in flight.
	// Servers read prompts in chunks of about this size between two steps of all their
	// requests, so a chunk delays the others by about one step. In simulations with long prompts,
	// 500 to 2,000 gave as many answers in time, and higher values fewer; lower ones cost
	// cache hits (docs/design/load-view.md).
	TokensPerRequest = 2000
	// freshAge is the age up to which the loads reported by others count in full, and
	// staleAge that from which they count no more. In between their weight falls
	// linearly. Requests last some seconds, so older loads say little.
	freshAge = 800 * time.Millisecond
	staleAge = 3 * time.Second
	// ratioExpiry is the age of the last report from which on the load of the others is no
	// longer estimated from the router's own.
	ratioExpiry = 10 * time.Second
	// ratioSmoothing is the weight of one report in the mean ratio of the others' load to
	// the router's own. The latter is a few requests and fluctuates.
	ratioSmoothing = 0.1
	// ratioPeriod is the least interval in which a router without a parent measures that
	// ratio. Many may report to it, and a measurement looks at all servers.
	ratioPeriod = 100 * time.Millisecond
	// maxScale limits the factor by which loads are raised if not all routers have
	// reported.
	maxScale = 4.0
	// partExpiry is how long a router's part counts after its last report.
	partExpiry = 1200 * time.Millisecond
	// idlePartExpiry is the same for a part without requests, since an idle router reports
	// nothing.
	idlePartExpiry = time.Minute
	// aloneAfter is how long the loads of a lost parent are used if others report to this
	// router. It exceeds the pause after one failed call. Loads of routers that now report
	// to this one count twice meanwhile, at all servers alike.
	aloneAfter = 1500 * time.Millisecond
	// idlePartAge is the age that a part without requests counts with. The router is idle and
	// will report when that changes, so the time since its last report does not matter.
	idlePartAge = 100 * time.Millisecond
	// keepAlive is the interval of reports of a router whose load does not change.
	keepAlive = 400 * time.Millisecond
	// maxServers limits the incarnations of servers that are remembered, and maxRequests and
	// maxUnits the load of one, whatever others report.
	maxServers  = 1 << 14
	maxRequests = 1 << 16
	maxUnits    = 1 << 18
	// plausibleLoad and plausibleExcess limit what counts of a router's report: a load in
	// requests, and that of a mean router with the latter number of times as much on top, less
	// for parts of several routers.
	plausibleLoad   = 32
	plausibleExcess = 4
	// tokenUnit is the unit in which unread tokens are exchanged. Up to 127 units take one
	// byte. A smaller unit would report changes that do not influence a choice.
	tokenUnit = 256
	// expirePeriod is how often expired parts are looked for.
	expirePeriod = 20 * time.Millisecond
	// minUnused is the least number of unused incarnations that is worth renumbering
	// the others, since all loads are sent again afterwards.
	minUnused = 64
)

// ID identifies one incarnation of a server.
type ID struct {
	Server    string
	StartedMS int64
}

// Load is the demand of requests in flight on one server.
type Load struct {
	Requests     int
	UnreadTokens int64 // prompt tokens sent and probably not read yet
}

// load is a Load as it is exchanged.
type load struct {
	requests int32
	units    int32 // of tokenUnit
}

// unknown is the load of a server of which it is not known what the receiver has.
var unknown = load{requests: -1}

func (l load) plus(o load) load  { return load{l.requests + o.requests, l.units + o.units} }
func (l load) minus(o load) load { return load{l.requests - o.requests, l.units - o.units} }

// clamped returns the load without negative or implausible values.
func (l load) clamped() load {
	return load{min(max(l.requests, 0), maxRequests), min(max(l.units, 0), maxUnits)}
}

// cost returns the load in requests.
func (l load) cost() float64 {
	return float64(l.requests) + float64(l.units)*(float64(tokenUnit)/TokensPerRequest)
}

// Server is one incarnation of a server in a Tracker.
type Server struct {
	id          ID
	position    int   // in Tracker.servers, -1 if it was removed
	ownRequests int32 // of this router
	ownTokens   int64 // unread, of this router
	above       load  // of the routers that the parent reports
	below       load  // of the routers that report to this one
}

// own returns the load of this router's own requests.
func (s *Server) own() load {
	return load{s.ownRequests, int32(min((s.ownTokens+tokenUnit/2)/tokenUnit, maxUnits))}
}

// Tracker counts this router's requests and holds what other routers reported. It is safe
// for concurrent use.
type Tracker struct {
	self string
	now  func() time.Time

	mu       sync.Mutex // guards all below, and the fields of all Servers and Entries
	byID     map[ID]*Server
	servers  []*Server // by position
	epoch    uint32    // changes whenever positions do
	number   uint64    // of the last message sent to any router
	fleet    int       // routers known, with this one
	began    bool      // requests have begun since the last report
	parent   *link     // the router that this one reports to; nil if there is none
	trial    *link     // the link over which a call is in progress; nil if there is none
	children map[string]*link
	ratio    float64   // smoothed load of all others over own
	ratioAt  time.Time // when ratio was measured; zero if never

	reportedAt time.Time // when the call over trial began

	expiredAt    time.Time // when expired parts were last looked for
	summarizedAt time.Time
	routers      int           // whose reports are known, without this one
	meanAge      time.Duration // of these reports, at summarizedAt
}

// New returns a tracker of a router without servers. The function now returns the time.
func New(self string, now func() time.Time) *Tracker {
	return &Tracker{
		self: self, now: now, byID: map[ID]*Server{}, children: map[string]*link{},
		epoch: rand.Uint32(),
	}
}

// SetFleet sets the number of known routers, including this one.
func (t *Tracker) SetFleet(routers int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fleet = routers
}

// Active reports whether the fleet is so large that loads are exchanged.
func (t *Tracker) Active() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fleet > MinFleet
}

// Server returns the state of an incarnation of a server, which it creates if needed.
func (t *Tracker) Server(id ID) *Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.server(id)
}

func (t *Tracker) server(id ID) *Server {
	s := t.byID[id]
	if s == nil {
		s = &Server{id: id, position: -1}
		t.register(s)
	}
	return s
}

// register gives a server a position.
func (t *Tracker) register(s *Server) {
	s.position = len(t.servers)
	t.servers = append(t.servers, s)
	t.byID[s.id] = s
}

// Entry is a request of this router in flight at a server.
type Entry struct {
	tracker *Tracker
	server  *Server
	unread  int64
	ended   bool
}

// Begin counts a request that is sent to a server, and the prompt tokens that it will have
// to read. Entry.End must follow.
func (t *Tracker) Begin(id ID, tokens int64) *Entry { return t.BeginAt(t.Server(id), tokens) }

// BeginAt is Begin for a server of this tracker.
func (t *Tracker) BeginAt(s *Server, tokens int64) *Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.position < 0 {
		s = t.server(s.id) // it was forgotten
	}
	tokens = max(tokens, 0)
	s.ownRequests++
	s.ownTokens += tokens
	t.began = true
	return &Entry{tracker: t, server: s, unread: tokens}
}

// Read records that the server has read the prompt. Repeated calls have no effect.
func (e *Entry) Read() {
	e.tracker.mu.Lock()
	defer e.tracker.mu.Unlock()
	e.read()
}

func (e *Entry) read() {
	e.server.ownTokens -= e.unread
	e.unread = 0
}

// End records that the request is no longer in flight. Repeated calls have no effect.
func (e *Entry) End() {
	e.tracker.mu.Lock()
	defer e.tracker.mu.Unlock()
	if e.ended {
		return
	}
	e.ended = true
	e.read()
	e.server.ownRequests--
}

// Others returns the load of a server from the requests of other routers as they last
// reported it, and the age of the reports.
func (t *Tracker) Others(id ID) (Load, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.expire(now)
	age, _ := t.othersAge(now)
	s := t.byID[id]
	if s == nil {
		return Load{}, age
	}
	l := s.above.plus(s.below).clamped()
	return Load{Requests: int(l.requests), UnreadTokens: int64(l.units) * tokenUnit}, age
}

// View says how well a set of loads is known.
type View struct {
	// Shared is the part of the estimate that comes from reports of other routers, from 0
	// (only this router's requests are known) to 1.
	Shared float64
	Age    time.Duration // mean age of these reports
	// OwnWeight is what one request of this router adds to the estimate: 1 if the others are
	// known, more if their requests are estimated from this router's.
	OwnWeight float64
}

// Loads estimates the load of servers in requests, from this router's requests in flight
// and those of all others. It writes them to dst, which has the length of servers.
func (t *Tracker) Loads(servers []*Server, dst []float64) View {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.expire(now)
	age, routers := t.othersAge(now)
	view := View{Shared: freshness(age, routers), Age: age}
	view.OwnWeight = 1 + (1-view.Shared)*t.lastRatio(now)
	fromReports := view.Shared * t.scale(routers)
	for i, s := range servers {
		if s.position < 0 { // it was forgotten, and may have been needed again since
			if s = t.byID[s.id]; s == nil {
				dst[i] = 0
				continue
			}
		}
		dst[i] = view.OwnWeight*s.own().cost() + fromReports*s.above.plus(s.below).clamped().cost()
	}
	return view
}

// freshness returns the weight of reports with a mean age.
func freshness(age time.Duration, routers int) float64 {
	if routers == 0 {
		return 0
	}
	return min(max(float64(staleAge-age)/float64(staleAge-freshAge), 0), 1)
}

// scale returns the factor that makes up for routers that have not reported. All routers
// get about the same mix of requests.
func (t *Tracker) scale(routers int) float64 {
	if routers == 0 {
		return 0
	}
	return min(max(float64(t.fleet-1)/float64(routers), 1), maxScale)
}

// lastRatio returns the ratio of the others' load to this router's, which falls to zero
// while there are no reports.
func (t *Tracker) lastRatio(now time.Time) float64 {
	if t.ratioAt.IsZero() {
		return 0
	}
	age := now.Sub(t.ratioAt)
	return t.ratio * min(max(float64(ratioExpiry-age)/float64(ratioExpiry-staleAge), 0), 1)
}

// measureRatio updates the ratio of the others' load to this router's after a report.
func (t *Tracker) measureRatio(now time.Time) {
	_, routers := t.othersAge(now)
	own, others := 0.0, 0.0
	for _, s := range t.servers {
		own += s.own().cost()
		others += s.above.plus(s.below).clamped().cost()
	}
	if own <= 0 || routers == 0 {
		return
	}
	ratio := min(t.scale(routers)*others/own, float64(max(t.fleet-1, 0)))
	if t.ratioAt.IsZero() || now.Sub(t.ratioAt) > ratioExpiry {
		t.ratio = ratio
	}
	t.ratio += ratioSmoothing * (ratio - t.ratio)
	t.ratioAt = now
}

// summarize updates the number and the mean age of the reports. It is called after each
// change of them, so that an estimate need not look at all.
func (t *Tracker) summarize(now time.Time) {
	sum, routers := t.sumAges(now, nil)
	if t.parent != nil {
		sum += time.Duration(t.parent.in.routers) * t.parent.in.ageAt(now)
		routers += t.parent.in.routers
	}
	t.routers, t.summarizedAt, t.meanAge = routers, now, 0
	if routers > 0 {
		t.meanAge = sum / time.Duration(routers)
	}
}

// sumAges returns the number of routers whose loads others report to this one, except by
// one link, and the sum of the ages.
func (t *Tracker) sumAges(now time.Time, except *link) (sum time.Duration, routers int) {
	for _, child := range t.children {
		if child != except {
			sum += time.Duration(child.in.routers) * child.in.partAge(now)
			routers += child.in.routers
		}
	}
	return sum, routers
}

// othersAge returns how many other routers' reports are known, and their mean age.
func (t *Tracker) othersAge(now time.Time) (age time.Duration, routers int) {
	if t.routers == 0 {
		return 0, 0
	}
	return t.meanAge + max(now.Sub(t.summarizedAt), 0), t.routers
}

// Retain forgets the incarnations of servers that are without load and either not retained
// or older than another of the same server, once there are many.
func (t *Tracker) Retain(retain func(server string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(t.now())
	newest := map[string]int64{}
	for _, s := range t.servers {
		if started, ok := newest[s.id.Server]; !ok || s.id.StartedMS > started {
			newest[s.id.Server] = s.id.StartedMS
		}
	}
	isUnused := func(s *Server) bool {
		return s.ownRequests == 0 && s.above == load{} && s.below == load{} &&
			(s.id.StartedMS < newest[s.id.Server] || !retain(s.id.Server))
	}
	unused := 0
	for _, s := range t.servers {
		if isUnused(s) {
			unused++
		}
	}
	if unused < minUnused || unused < len(t.servers)/2 {
		return
	}
	kept := make([]*Server, 0, len(t.servers)-unused)
	moved := make([]int, len(t.servers))
	for i, s := range t.servers {
		if isUnused(s) {
			s.position = -1
			delete(t.byID, s.id)
		} else {
			s.position = len(kept)
			kept = append(kept, s)
		}
		moved[i] = s.position
	}
	t.servers = kept
	t.epoch++
	for _, child := range t.children {
		child.renumber(moved)
	}
	if t.parent != nil {
		t.parent.renumber(moved)
	}
	t.trial = nil
}
