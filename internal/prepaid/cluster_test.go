package prepaid

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/camphorlever/camphorlever/internal/catalog"
)

// cluster is a set of routers that share a log and call each other.
type cluster struct {
	log           *fakeLog
	prepaid       int64
	version       int64
	routers       []*LocalBalances
	stops         []context.CancelFunc
	lostReplies   int          // replies to loans still to be lost
	extraAccounts int          // number of accounts besides "maps"
	calls         int          // between routers
	partitioned   bool         // routers cannot call each other
	down          map[int]bool // routers that do not answer calls
}

// clusterPeers implements Peers for one router of a cluster.
type clusterPeers struct {
	cluster *cluster
	self    int
}

func (n clusterPeers) Fleet() Fleet {
	f := Fleet{Self: fmt.Sprint(n.self), Loaded: true}
	for i := range n.cluster.routers {
		f.Routers = append(f.Routers, fmt.Sprint(i))
	}
	return f
}

func (n clusterPeers) Borrow(ctx context.Context, args BorrowArgs, first []string, all bool, receive func(BorrowReply) int64) (complete bool) {
	if n.cluster.partitioned {
		return false
	}
	complete = true
	order := append([]string(nil), first...)
	for i := range n.cluster.routers {
		if name := fmt.Sprint(i); all && !slices.Contains(first, name) {
			order = append(order, name)
		}
	}
	for _, name := range order {
		i, _ := strconv.Atoi(name) // names are indices
		other := n.cluster.routers[i]
		if i == n.self || other == nil || args.Want <= 0 {
			continue
		}
		if n.cluster.down[i] {
			complete = false
			if !sleepOrWake(ctx, 120*time.Millisecond, nil) { // the timeout of a call
				return complete
			}
			continue
		}
		n.cluster.calls++
		reply := other.Lend(args)
		if n.cluster.lostReplies > 0 {
			n.cluster.lostReplies--
			complete = false
			continue
		}
		args.Want = receive(reply)
	}
	return complete
}

func (n clusterPeers) Transfer(_ context.Context, args TransferArgs) error {
	n.cluster.routers[(n.self+1)%len(n.cluster.routers)].Receive(args)
	return nil
}

func (f *cluster) settings() *catalog.Settings {
	accounts := []*catalog.Account{{Name: "maps", PrepaidTokens: f.prepaid, Metered: true}}
	for i := range f.extraAccounts {
		accounts = append(accounts, &catalog.Account{Name: fmt.Sprint(i), PrepaidTokens: f.prepaid, Metered: true})
	}
	return catalog.Build(catalog.Draft{Version: f.version, Accounts: accounts})
}

// start starts new incarnations of n routers.
func (f *cluster) start(t *testing.T, n int) {
	f.routers, f.stops = make([]*LocalBalances, n), make([]context.CancelFunc, n)
	for i := range n {
		name := fmt.Sprintf("%d/%s/%d", i, t.Name(), time.Now().UnixNano())
		f.routers[i] = NewLocalBalances(newTestLedger(f.log, name), f.settings, clusterPeers{f, i}, zerolog.Nop())
		ctx, cancel := context.WithCancel(t.Context())
		f.stops[i] = cancel
		go f.routers[i].Run(ctx)
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
