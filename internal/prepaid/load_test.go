package prepaid

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
)

// fleetLoad is the load of a large deployment: many routers share the accounts,
// and the callers of a few large accounts reach one router each.
type fleetLoad struct {
	perSecond float64 // requests to all routers
	accounts  int
	sticky    float64       // share of an account's requests that reach its main router
	duration  time.Duration // of a run
}

// servedShares is the share of requests that got tokens, by second.
type servedShares struct {
	mu            sync.Mutex
	asked, served map[int]int
	outcomes      map[Outcome]int
	waited        time.Duration
}

func (s *servedShares) record(second int, outcome Outcome, waited time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked[second]++
	s.outcomes[outcome]++
	s.waited += waited
	if outcome == Granted {
		s.served[second]++
	}
}

// share returns the share of requests served in the seconds from up to before to.
func (s *servedShares) share(from, to int) float64 {
	asked, served := 0, 0
	for second := from; second < to; second++ {
		asked += s.asked[second]
		served += s.served[second]
	}
	return float64(served) / float64(asked)
}

// play sends the load for a number of seconds and calls at with the start of each.
func (l fleetLoad) play(t *testing.T, f *cluster, r *rand.Rand, seconds int, at func(second int)) *servedShares {
	shares := &servedShares{asked: map[int]int{}, served: map[int]int{}, outcomes: map[Outcome]int{}}
	var requests conc.WaitGroup
	for second := range seconds {
		at(second)
		for range int(l.perSecond) {
			time.Sleep(time.Duration(float64(time.Second) / l.perSecond))
			n := int(float64(l.accounts) * r.Float64() * r.Float64()) // few accounts are large
			account, router := fmt.Sprint(n), r.IntN(len(f.routers))
			if n < 3 && r.Float64() < l.sticky {
				router = (n * 31) % len(f.routers)
			}
			tokens := 1000 + int64(r.ExpFloat64()*8000)
			requests.Go(func() {
				begun := time.Now()
				reservation, outcome := f.routers[router].Reserve(t.Context(), account, tokens)
				shares.record(second, outcome, time.Since(begun))
				if outcome == Granted {
					time.Sleep(l.duration)
					reservation.Settle(tokens * 9 / 10)
				}
			})
		}
	}
	requests.Wait()
	return shares
}

// TestHundredRoutersServeThroughAnOutageOfTheLog plays the rates of a deployment with
// 103 routers and 40 accounts, on a log that takes 4 ms for an append also if its
// condition fails. The log is away for 8 s. Nearly all requests get tokens during
// the outage and at once after it: routers that all draw at the same time would
// fill the log's queue with appends that fail.
func TestHundredRoutersServeThroughAnOutageOfTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCluster(60_000_000)
		f.extraAccounts, f.shards, f.callTime = 40, 16, time.Millisecond
		f.log.setLatency(time.Millisecond)
		f.log.appendTime = 4 * time.Millisecond
		f.start(t, 103)
		time.Sleep(5 * time.Second)
		load := fleetLoad{perSecond: 1300, accounts: 40, sticky: 0.6, duration: 150 * time.Millisecond}
		shares := load.play(t, f, rand.New(rand.NewPCG(21, 22)), 24, func(second int) {
			switch second {
			case 6:
				f.log.setDown(true)
			case 14:
				f.log.setDown(false)
			}
		})
		f.stopAll()
		time.Sleep(time.Second) // lets the calls in progress end
		synctest.Wait()
		t.Log(shares.outcomes, "appends", f.log.appends, "reads", f.log.reads, "calls", f.calls.Load(), "waited", shares.waited)
		require.GreaterOrEqual(t, shares.share(0, 6), 0.99, "before the outage")
		require.GreaterOrEqual(t, shares.share(6, 14), 0.98, "during the outage")
		require.GreaterOrEqual(t, shares.share(14, 24), 0.99, "after the outage")
		require.LessOrEqual(t, f.log.appends+f.log.reads, 103*5*29, "calls to the log, 5 for each router and second")
	})
}

// TestSparseAccountsAreNotSpreadOverRouters: 300 routers get one request in 30 s of
// each account. The tokens that they hold, and that a power loss would cost, are not
// much more than the reserve of the owners.
func TestSparseAccountsAreNotSpreadOverRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const perSecond, meanTokens = 100, 9000
		f := newCluster(60 * perSecond * meanTokens / 10)
		f.extraAccounts, f.shards, f.callTime = 10, 16, time.Millisecond
		f.log.setLatency(time.Millisecond)
		f.log.appendTime = 4 * time.Millisecond
		f.start(t, 300)
		time.Sleep(5 * time.Second)
		load := fleetLoad{perSecond: perSecond, accounts: 10, duration: 150 * time.Millisecond}
		shares := load.play(t, f, rand.New(rand.NewPCG(23, 24)), 12, func(int) {})
		var owners, others int64
		for account := range 10 {
			name := fmt.Sprint(account)
			for _, router := range f.routers {
				if _, isOwner := router.owners(router.balance(name)); isOwner {
					owners += router.balance(name).available()
				} else {
					others += router.balance(name).available()
				}
			}
		}
		f.stopAll()
		time.Sleep(time.Second) // lets the calls in progress end
		t.Log(shares.outcomes, "owners hold", owners, "others", others, "calls", f.calls.Load())
		require.GreaterOrEqual(t, shares.share(0, 12), 0.99)
		require.Less(t, others, int64(3*perSecond*meanTokens), "three seconds of use")
	})
}
