package peers

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/loadview"
	"github.com/camphorlever/camphorlever/internal/rendezvous"
	"github.com/camphorlever/camphorlever/internal/rpc"
)

// Timing and limits of the exchange of loads; docs/design/load-view.md has the figures
// behind them.
const (
	// loadPeriod is the interval of a router's reports, and loadPeriodLarge that in a fleet
	// of more than largeFleet routers, where replies are longer and the effect of one
	// router's requests is smaller.
	loadPeriod      = 120 * time.Millisecond
	loadPeriodLarge = 300 * time.Millisecond
	largeFleet      = 200
	// loadDirect is the number of routers up to which all report to one. Above, they report
	// to about as many leaders as the square root of their number, which report to one. The
	// calls that one router serves thus stay few; its processor may be a tenth of a core.
	loadDirect = 12
	// loadTimeout bounds one call. Reports after it are more useful than a late reply.
	loadTimeout = 120 * time.Millisecond
	// loadAvoidPeriod is how long a router is not called after a failed call. It doubles
	// with each further failure, up to maxLoadAvoidPeriod.
	loadAvoidPeriod    = time.Second
	maxLoadAvoidPeriod = 8 * time.Second
	// loadTries is how many routers are called in one period if calls fail.
	loadTries = 2
	// fleetCheckPeriod is how often the list of routers is looked at.
	fleetCheckPeriod = time.Second
)

// loadSeed is the rendezvous seed of the tree in which loads are exchanged.
var loadSeed = []byte("loads")

// LoadsArgs is the report of a router's load, as encoded by loadview.
type LoadsArgs struct {
	From   string
	Report []byte
}

// LoadsReply is the load of all other routers.
type LoadsReply struct {
	Loads []byte
}

// LoadSink accepts the reports of other routers. It is implemented by loadview.Tracker.
type LoadSink interface {
	Serve(from string, report []byte) ([]byte, error)
}

// ServeLoads makes the methods accept reports of loads. It must be called before the first
// call arrives.
func (m *Methods) ServeLoads(sink LoadSink) { m.loads = sink }

var errNoLoads = errors.New("router exchanges no loads")

// Loads accepts the load of another router and of those that report to it.
func (m *Methods) Loads(args *LoadsArgs, reply *LoadsReply) error {
	return contained(func() (err error) {
		if m.loads == nil {
			return errNoLoads
		}
		reply.Loads, err = m.loads.Serve(args.From, args.Report)
		return err
	})
}

// LoadExchange reports this router's load to other routers and receives theirs. It uses
// connections of its own: a call that misses its deadline breaks its connection, and other
// calls must not be lost with it.
type LoadExchange struct {
	peerSet  *PeerSet
	fleetKey string
	tracker  *loadview.Tracker
	log      zerolog.Logger
	events   *counter.Set

	// The fields below are used by Run only.
	version   uint64 // of the fleet for which parents was computed
	parents   []string
	conn      *peerConn // to the router called last
	avoid     map[string]avoidance
	parent    string // the router that answered last; empty if there is none
	active    bool
	refreshed time.Time // when the list of routers was last looked at
	addresses map[string]Member
	routers   int
}

// avoidance says how long a router is not called.
type avoidance struct {
	until  time.Time
	period time.Duration
}

// NewLoadExchange returns the exchange of a tracker's loads with the members of a peer set.
func NewLoadExchange(peerSet *PeerSet, fleetKey string, tracker *loadview.Tracker, log zerolog.Logger) *LoadExchange {
	return &LoadExchange{
		peerSet: peerSet, fleetKey: fleetKey, tracker: tracker,
		log: log.With().Str("part", "loads").Logger(), events: counter.NewSet("loads"), avoid: map[string]avoidance{},
	}
}

// Run exchanges loads until ctx ends.
func (x *LoadExchange) Run(ctx context.Context) {
	defer x.disconnect()
	for ctx.Err() == nil {
		begun := time.Now()
		x.refresh(begun)
		if x.active && x.tracker.Due() {
			x.exchange(ctx)
		}
		x.pause(ctx, begun)
	}
}

// period returns the interval of reports.
func (x *LoadExchange) period() time.Duration {
	if x.routers > largeFleet {
		return loadPeriodLarge
	}
	return loadPeriod
}

// pause waits until the next report is due, which has a random part so that the routers
// do not call at the same moment.
func (x *LoadExchange) pause(ctx context.Context, begun time.Time) {
	period := fleetCheckPeriod
	if x.active {
		period = x.period()*9/10 + rand.N(x.period()/5)
	}
	timer := time.NewTimer(period - min(time.Since(begun), period))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// refresh updates the list of routers, and whether loads are exchanged.
func (x *LoadExchange) refresh(now time.Time) {
	if now.Sub(x.refreshed) < fleetCheckPeriod {
		return
	}
	x.refreshed = now
	fleet := x.peerSet.Fleet()
	x.routers = len(fleet.Routers)
	x.tracker.SetFleet(x.routers)
	x.addresses = map[string]Member{}
	for _, m := range x.peerSet.Others() {
		x.addresses[m.Node] = m
	}
	if version := uint64(fleet.Version); version != x.version || x.parents == nil {
		x.version = version
		x.parents = loadParents(fleet.Self, fleet.Routers)
	}
	for name := range x.avoid {
		if _, ok := x.addresses[name]; !ok {
			delete(x.avoid, name)
		}
	}
	if active := x.routers > loadview.MinFleet; active != x.active {
		x.active = active
		x.log.Info().Bool("active", active).Int("routers", x.routers).Msg("exchange of server loads with other routers changed")
	}
}

// loadParents returns the routers that a router may report to, in the order of preference.
// All come before it in the rendezvous order, so that reports never run in a circle, even
// if routers know different lists.
func loadParents(self string, routers []string) []string {
	order := rendezvous.First(loadSeed, routers, len(routers), func(name string) string { return name })
	rank := slices.Index(order, self)
	if rank <= 0 {
		return []string{}
	}
	before := order[:rank]
	if len(order) <= loadDirect {
		return before
	}
	leaders := int(math.Ceil(math.Sqrt(float64(len(order)))))
	if rank <= leaders {
		return before
	}
	// The leaders are the routers 1 to leaders. Each other router prefers one of them, and
	// has the next as a stand-by.
	own := (rank - 1 - leaders) % leaders
	parents := make([]string, 0, rank)
	for i := range leaders {
		parents = append(parents, order[1+(own+i)%leaders])
	}
	parents = append(parents, order[0])
	return append(parents, order[1+leaders:rank]...)
}

// exchange makes one report, to the first router that can be reached.
func (x *LoadExchange) exchange(ctx context.Context) {
	now := time.Now()
	tries := 0
	for _, name := range x.parents {
		member, known := x.addresses[name]
		if !known || now.Before(x.avoid[name].until) {
			continue
		}
		if tries++; tries > loadTries {
			return // others are tried in the next period
		}
		err := x.call(ctx, member)
		if ctx.Err() != nil {
			return // this router stops, so an error does not concern the other
		}
		if err != nil {
			x.failed(name, err)
			continue
		}
		x.events.Inc("answered")
		delete(x.avoid, name)
		if x.parent != name {
			x.parent = name
			x.log.Info().Str("router", name).Int("routers", x.routers).Msg("server loads are exchanged with another router")
		}
		return
	}
	if tries == 0 {
		x.tracker.Alone()
		x.parent = ""
	}
}

// failed records that a router did not answer.
func (x *LoadExchange) failed(name string, err error) {
	x.events.Inc("failed")
	a := x.avoid[name]
	a.period = min(max(2*a.period, loadAvoidPeriod), maxLoadAvoidPeriod)
	a.until = time.Now().Add(a.period)
	x.avoid[name] = a
	if x.parent == name {
		x.parent = ""
		x.log.Info().Str("router", name).Err(err).Msg("router does not answer reports of server loads, another is asked")
	}
}

// call reports to one router and applies its reply.
func (x *LoadExchange) call(ctx context.Context, member Member) error {
	if x.conn == nil || x.conn.member.Node != member.Node || x.conn.member.Incarnation != member.Incarnation || x.conn.member.Address != member.Address {
		x.disconnect()
		x.conn = &peerConn{member: member, client: rpc.NewClient(rpc.Options{Address: member.Address, FleetKey: x.fleetKey})}
	}
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	args := LoadsArgs{From: x.peerSet.self.Node, Report: x.tracker.Report(member.Node)}
	var reply LoadsReply
	if err := x.conn.client.Call(ctx, Service+".Loads", &args, &reply); err != nil {
		x.tracker.Failed()
		return errors.Wrapf(err, "report loads to router %s", member.Node)
	}
	x.events.Add("bytes", int64(len(args.Report)+len(reply.Loads)))
	if err := x.tracker.Accept(reply.Loads); err != nil {
		x.events.Inc("unusable") // everything is sent in the next report
	}
	return nil
}

func (x *LoadExchange) disconnect() {
	if x.conn != nil {
		_ = x.conn.client.Close() // nothing is in progress on it
		x.conn = nil
	}
}
