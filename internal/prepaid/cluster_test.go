package prepaid

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/camphorlever/camphorlever/internal/catalog"
	"github.com/camphorlever/camphorlever/internal/logservice"
)

// cluster is a set of routers that share a log and call each other.
type cluster struct {
	log           *fakeLog
	prepaid       int64
	version       int64
	routers       []*LocalBalances
	stops         []context.CancelFunc
	extraAccounts int          // number of accounts besides "maps"
	calls         atomic.Int64 // between routers
	callTime      time.Duration
	fleet         Fleet
	shards        int
	logGap        func(era logservice.Era) time.Duration // nil if unknown

	mu          sync.Mutex  // guards all below
	lostReplies int         // replies to loans still to be lost
	unanswered  []lostReply // loans whose replies were lost
	built       *catalog.Settings
	partitioned bool         // routers cannot call each other
	down        map[int]bool // routers that do not answer calls
}

// clusterPeers implements Peers for one router of a cluster.
type clusterPeers struct {
	cluster *cluster
	self    int
}

func (n clusterPeers) Fleet() Fleet {
	f := n.cluster.fleet
	f.Self, f.Loaded = fmt.Sprint(n.self), true
	return f
}

func (n clusterPeers) Unreachable(name string) bool {
	i, _ := strconv.Atoi(name) // names are indices
	return n.cluster.cutOff(i)
}

func (n clusterPeers) Borrow(ctx context.Context, args BorrowArgs, first []string, others bool, receive func(BorrowReply) int64) (complete bool) {
	if n.cluster.isPartitioned() {
		return false
	}
	complete = true
	for _, i := range n.callOrder(first, others) {
		other := n.cluster.routers[i]
		if args.Want <= 0 {
			continue
		}
		if n.cluster.isDown(i) {
			complete = false
			if !sleepOrWake(ctx, 120*time.Millisecond, nil) { // the timeout of a call
				return complete
			}
			continue
		}
		n.cluster.calls.Add(1)
		if n.cluster.callTime > 0 && !sleepOrWake(ctx, n.cluster.callTime, nil) {
			return false
		}
		reply := other.Lend(args)
		if n.cluster.losesReply(lostReply{borrower: n.self, lender: i, account: args.Account}) {
			complete = false
			continue
		}
		more := receive(reply)
		args.Need -= args.Want - more
		args.Want = more
	}
	return complete
}

// lostReply is a loan whose reply was lost, between routers by their index.
type lostReply struct {
	borrower, lender int
	account          string
}

func (n clusterPeers) Reclaim(_ context.Context, borrower string, receive func(string, BorrowReply)) {
	for _, loan := range n.cluster.takeUnanswered(n.self) {
		receive(loan.account, n.cluster.routers[loan.lender].Lend(BorrowArgs{Borrower: borrower, Account: loan.account}))
	}
}

// takeUnanswered removes and returns the loans of a router whose lenders it can reach.
func (f *cluster) takeUnanswered(borrower int) []lostReply {
	f.mu.Lock()
	defer f.mu.Unlock()
	var rest, taken []lostReply
	for _, loan := range f.unanswered {
		if loan.borrower != borrower || f.partitioned || f.down[loan.lender] {
			rest = append(rest, loan)
			continue
		}
		taken = append(taken, loan)
	}
	f.unanswered = rest
	return taken
}

// losesReply reports whether the reply to a loan is lost.
func (f *cluster) losesReply(loan lostReply) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lostReplies == 0 {
		return false
	}
	f.lostReplies--
	f.unanswered = append(f.unanswered, loan)
	return true
}

func (f *cluster) loseReplies(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lostReplies = n
}

func (f *cluster) setPartitioned(partitioned bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.partitioned = partitioned
}

func (f *cluster) isPartitioned() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.partitioned
}

func (f *cluster) setDown(router int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down == nil {
		f.down = map[int]bool{}
	}
	f.down[router] = true
}

func (f *cluster) isDown(router int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down[router]
}

// cutOff reports whether calls to a router fail.
func (f *cluster) cutOff(router int) bool { return f.isPartitioned() || f.isDown(router) }

// maxOthers is how many routers that were not named are asked.
const maxOthers = 16

// callOrder returns the named routers, followed by some of the others.
func (n clusterPeers) callOrder(first []string, others bool) []int {
	var order []int
	for _, name := range first {
		if i, _ := strconv.Atoi(name); i != n.self && n.cluster.routers[i] != nil { // names are indices
			order = append(order, i)
		}
	}
	if !others {
		return order
	}
	named := len(order)
	for i := range n.cluster.routers {
		i = (n.self + i) % len(n.cluster.routers)
		if i != n.self && n.cluster.routers[i] != nil && !slices.Contains(first, fmt.Sprint(i)) && len(order) < named+maxOthers {
			order = append(order, i)
		}
	}
	return order
}

func (n clusterPeers) Transfer(_ context.Context, first []string, others bool, args func(string) TransferArgs) (bool, error) {
	for _, i := range n.callOrder(first, others) {
		if n.cluster.cutOff(i) {
			continue
		}
		receiver := n.cluster.routers[i]
		return true, receiver.Receive(args(receiver.incarnation))
	}
	return false, nil
}

func (n clusterPeers) Copies(_ context.Context, names []string, args CopyArgs, receive func(string, CopyReply)) {
	for _, name := range names {
		i, _ := strconv.Atoi(name)
		if n.cluster.routers[i] == nil || n.cluster.cutOff(i) || n.cluster.isDown(n.self) {
			continue
		}
		if reply, err := n.cluster.routers[i].LedgerCopy(args); err == nil {
			receive(name, reply)
		}
	}
}

func (n clusterPeers) Witness(_ context.Context, names []string, args WitnessArgs) (reply WitnessReply, answered bool) {
	for _, i := range n.callOrder(names, false) {
		if n.cluster.cutOff(i) || n.cluster.isDown(n.self) {
			continue
		}
		if r, err := n.cluster.routers[i].Witness(args); err == nil {
			reply, answered = r, true
		}
	}
	return reply, answered
}

func (f *cluster) settings() *catalog.Settings {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.built != nil {
		return f.built
	}
	accounts := []*catalog.Account{{Name: "maps", PrepaidTokens: f.prepaid, Metered: true}}
	for i := range f.extraAccounts {
		accounts = append(accounts, &catalog.Account{Name: fmt.Sprint(i), PrepaidTokens: f.prepaid, Metered: true})
	}
	f.built = catalog.Build(catalog.Draft{Version: f.version, Accounts: accounts})
	return f.built
}

// start starts new incarnations of n routers.
func (f *cluster) start(t *testing.T, n int) {
	f.routers, f.stops = make([]*LocalBalances, n), make([]context.CancelFunc, n)
	f.fleet = Fleet{Version: f.fleet.Version + 1}
	for i := range n {
		f.fleet.Routers = append(f.fleet.Routers, fmt.Sprint(i))
	}
	for i := range n {
		name := fmt.Sprintf("%d/%s/%d", i, t.Name(), time.Now().UnixNano())
		f.routers[i] = NewLocalBalances(f.log, Streams{Budgets: stream, Layout: "layout", Shards: f.shards}, name, f.settings, clusterPeers{f, i}, zerolog.Nop())
		if f.logGap != nil {
			f.routers[i].ObserveLogGap(f.logGap)
		}
	}
	for i, router := range f.routers {
		ctx, cancel := context.WithCancel(t.Context())
		f.stops[i] = cancel
		go router.Run(ctx)
	}
}

// stopAll stops all routers without Release, so their local balances are lost.
func (f *cluster) stopAll() {
	for _, stop := range f.stops {
		stop()
	}
	synctest.Wait()
}

func newCluster(prepaid int64) *cluster {
	return &cluster{log: &fakeLog{}, prepaid: prepaid, version: 1}
}

// loadResult counts requests asked and served, and tokens used.
type loadResult struct {
	asked, served, used int64
}

func (r loadResult) plus(o loadResult) loadResult {
	return loadResult{r.asked + o.asked, r.served + o.served, r.used + o.used}
}

// sendLoad sends requests to random routers for span, perSecond to each router on
// average. A request uses 90% of its bound, which is random around the given
// bound.
func (f *cluster) sendLoad(t *testing.T, r *rand.Rand, span time.Duration, perSecond float64, bound int64) loadResult {
	var out loadResult
	end := time.Now().Add(span)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(float64(time.Second) / perSecond / float64(len(f.routers)))) // perSecond at each router
		router := f.routers[r.IntN(len(f.routers))]
		tokens := bound/2 + r.Int64N(bound)
		out.asked++
		reservation, outcome := router.Reserve(t.Context(), "maps", tokens)
		if outcome != Granted {
			continue
		}
		used := tokens * 9 / 10
		out.served++
		out.used += used
		reservation.Settle(used)
	}
	return out
}

// owners returns the owners of an account.
func (f *cluster) owners(account string) []string {
	owners, _ := f.routers[0].owners(f.routers[0].balance(account))
	return owners
}
