package prepaid

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
)

// TestLogOutageIsServedFromLocalBalances stops the log for 8 s during a load that
// has used less than half of its tokens.
func TestLogOutageIsServedFromLocalBalances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCluster(40 * 4 * 10 * 1000)
		f.start(t, 4)
		r := rand.New(rand.NewPCG(1, 2))
		time.Sleep(5 * time.Second)
		before := f.sendLoad(t, r, 12*time.Second, 10, 1000)
		f.log.setDown(true)
		during := f.sendLoad(t, r, 8*time.Second, 10, 1000)
		f.log.setDown(false)
		time.Sleep(2 * time.Second)
		after := f.sendLoad(t, r, 5*time.Second, 10, 1000)
		require.Equal(t, before.asked, before.served)
		require.GreaterOrEqual(t, float64(during.served), 0.98*float64(during.asked))
		require.Equal(t, after.asked, after.served)
		f.stopAll()
	})
}

// TestRouterCrashLosesBoundedTokens crashes all routers after 20 s of load. Large
// local balances don't help an account that is about to run out, and are lost in
// the crash.
func TestRouterCrashLosesBoundedTokens(t *testing.T) {
	cases := map[string]struct {
		prepaid int64
		left    float64 // upper limit of the share of prepaid that is unused at the crash
		still   float64 // lower limit of the share of the unused tokens that callers get afterwards
	}{
		"half used":   {40 * 4 * 10 * 1000, 0.6, 0.45},
		"nearly used": {1_000_000, 0.4, 0.55},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newCluster(c.prepaid)
				f.start(t, 4)
				r := rand.New(rand.NewPCG(3, 4))
				time.Sleep(5 * time.Second)
				first := f.sendLoad(t, r, 20*time.Second, 10, 1000)
				left := f.prepaid - first.used
				require.Less(t, float64(left), c.left*float64(f.prepaid))
				f.stopAll()
				f.start(t, 4)
				time.Sleep(time.Second)
				second := f.sendLoad(t, r, 40*time.Second, 10, 1000)
				require.GreaterOrEqual(t, second.used, int64(c.still*float64(left)))
				require.LessOrEqual(t, first.used+second.used, f.prepaid)
				f.stopAll()
			})
		})
	}
}

// TestRemainingTokensServeSmallRequests checks that large requests use nearly all
// tokens, wherever they are held, and that small requests can use the rest.
func TestRemainingTokensServeSmallRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCluster(300_000)
		f.start(t, 4)
		r := rand.New(rand.NewPCG(5, 6))
		time.Sleep(2 * time.Second)
		large := f.sendLoad(t, r, 30*time.Second, 5, 1000)
		require.Less(t, large.served, large.asked)
		require.GreaterOrEqual(t, large.used, int64(0.94*300_000))
		small := f.sendLoad(t, r, 10*time.Second, 2, 100)
		require.Positive(t, small.served, "small requests are still served")
		require.LessOrEqual(t, large.used+small.used, int64(300_000))
		f.stopAll()
	})
}

// TestSmallRequestsAreServedAfterLargeOnesFail crashes all routers when three
// fifths of an account are used. Twenty seconds later large requests are refused,
// and at least half of the small ones are still served.
func TestSmallRequestsAreServedAfterLargeOnesFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCluster(1_000_000)
		r := rand.New(rand.NewPCG(19, 20))
		mixed := func(span time.Duration) (small loadResult) {
			for end := time.Now().Add(span); time.Now().Before(end); {
				f.sendLoad(t, r, 200*time.Millisecond, 1.25, 5000)
				part := f.sendLoad(t, r, 200*time.Millisecond, 2.5, 400)
				small.asked += part.asked
				small.served += part.served
			}
			return small
		}
		f.start(t, 4)
		time.Sleep(time.Second)
		mixed(50 * time.Second)
		f.stopAll()
		f.start(t, 4)
		time.Sleep(time.Second)
		mixed(20 * time.Second)
		last := mixed(10 * time.Second)
		f.stopAll()
		require.GreaterOrEqual(t, float64(last.served), 0.5*float64(last.asked))
	})
}

// TestReserveSucceedsWhenOwnersAreDown crashes half of 24 routers and all owners.
// The others find out by calls that time out. The log is healthy.
func TestReserveSucceedsWhenOwnersAreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCluster(10_000_000)
		f.log.setLatency(4 * time.Millisecond)
		f.start(t, 24)
		time.Sleep(5 * time.Second)
		for i := range 12 {
			f.stops[i]()
			f.setDown(i)
		}
		owners := f.owners("maps")
		for i := range f.routers {
			if slices.Contains(owners, fmt.Sprint(i)) {
				f.stops[i]()
				f.setDown(i)
			}
		}
		for i, router := range f.routers {
			if f.isDown(i) {
				continue
			}
			begun := time.Now()
			reservation, outcome := router.Reserve(t.Context(), "maps", 8000)
			require.Equal(t, Granted, outcome, "router %d", i)
			require.Less(t, time.Since(begun), drawTimeout)
			reservation.Settle(8000)
		}
		f.stopAll()
		time.Sleep(time.Second) // lets the calls in progress end
	})
}

// TestReservedForSmallRequiresFreshLedger: a router read that an account is nearly
// spent, and another router has returned tokens since. The router must read the
// ledger again before it refuses a large request.
func TestReservedForSmallRequiresFreshLedger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCluster(100_000)
		f.start(t, 1)
		time.Sleep(maxSettleWait + minRebalanceInterval/2) // tokens are drawn in advance; between two rounds of the router
		other := newTestLedger(f.log, "other/1")
		change := Change{Account: "maps", Paid: f.prepaid, SettingsVersion: 1, Draw: f.prepaid, MinDraw: 1}
		results, err := other.Apply(t.Context(), []Change{change})
		require.NoError(t, err)
		router := f.routers[0]
		held := router.View("maps").LocalBalance
		require.Positive(t, held)
		reservation, outcome := router.Reserve(t.Context(), "maps", held-int64(smallReserveShare*float64(f.prepaid))/2)
		require.Equal(t, Granted, outcome)
		_, outcome = router.Reserve(t.Context(), "maps", 50_000)
		require.Equal(t, Exhausted, outcome)
		time.Sleep(5 * time.Second) // so that the router stops reading the ledger
		_, outcome = router.Reserve(t.Context(), "maps", 2000*10)
		require.Equal(t, ReservedForSmall, outcome)
		_, err = other.Apply(t.Context(), []Change{{Account: "maps", Paid: f.prepaid, SettingsVersion: 1, Return: results[0].Granted}})
		require.NoError(t, err)
		time.Sleep(2 * maxLedgerAge)
		again, outcome := router.Reserve(t.Context(), "maps", 2000*10)
		require.Equal(t, Granted, outcome)
		again.Settle(0)
		reservation.Settle(0)
		f.log.setDown(true)
		f.stopAll()
	})
}

// TestNextLoanRecoversLostReply loses the first reply to a loan. The total in the
// next reply makes up for it.
func TestNextLoanRecoversLostReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCluster(1000)
		f.start(t, 2)
		time.Sleep(2 * time.Second) // until tokens are drawn in advance
		lender := f.routers[0]
		lender.balance("maps").deposit(500) // as if drawn earlier
		f.log.setDown(true)
		f.awaitOutageDetection(t)
		total := func() int64 {
			return lender.View("maps").LocalBalance + f.routers[1].View("maps").LocalBalance
		}
		before := total()
		f.loseReplies(1)
		_, outcome := f.routers[1].Reserve(t.Context(), "maps", 200)
		require.Equal(t, Unreachable, outcome)
		require.Less(t, total(), before, "the lost reply carried tokens")
		reservation, outcome := f.routers[1].Reserve(t.Context(), "maps", 200)
		require.Equal(t, Granted, outcome)
		reservation.Settle(0)
		require.Equal(t, before, total())
		f.stopAll()
	})
}

// TestLostReplyIsCollectedWithoutAnotherRequest loses the reply to a loan, after which no
// request asks for tokens. They are collected as soon as the lender can be reached again,
// since it may stop, or lose its power, before the next request.
func TestLostReplyIsCollectedWithoutAnotherRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCluster(1000)
		f.start(t, 2)
		time.Sleep(2 * time.Second)               // until tokens are drawn in advance
		f.routers[0].balance("maps").deposit(500) // as if drawn earlier
		f.log.setDown(true)
		f.awaitOutageDetection(t)
		total := func() int64 {
			return f.routers[0].View("maps").LocalBalance + f.routers[1].View("maps").LocalBalance
		}
		before := total()
		f.loseReplies(1)
		_, outcome := f.routers[1].Reserve(t.Context(), "maps", 200)
		require.Equal(t, Unreachable, outcome)
		require.Less(t, total(), before, "the lost reply carried tokens")
		f.setPartitioned(true)
		time.Sleep(3 * reclaimInterval)
		require.Less(t, total(), before, "the lender cannot be reached")
		f.setPartitioned(false)
		time.Sleep(2 * reclaimInterval)
		require.Equal(t, before, total())
		f.stopAll()
	})
}

// awaitOutageDetection makes all routers try to draw while the log is down.
func (f *cluster) awaitOutageDetection(t *testing.T) {
	f.setPartitioned(true)
	defer f.setPartitioned(false)
	for _, router := range f.routers {
		_, outcome := router.Reserve(t.Context(), "maps", 10*f.prepaid)
		require.Equal(t, Unreachable, outcome)
		require.True(t, router.logUnavailable("maps"))
	}
}

func shortContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	t.Cleanup(cancel)
	return ctx
}

func TestReleaseReturnsLocalBalance(t *testing.T) {
	for name, down := range map[string]bool{"to the ledger": false, "to another router": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newCluster(100_000)
				f.start(t, 2)
				time.Sleep(2 * time.Second)
				held := f.routers[0].View("maps").LocalBalance
				require.Positive(t, held)
				f.log.setDown(down)
				if down {
					f.awaitOutageDetection(t)
				}
				other := f.routers[1].View("maps").LocalBalance
				f.stops[0]()
				synctest.Wait()
				f.routers[0].Release(shortContext(t))
				require.Zero(t, f.routers[0].View("maps").LocalBalance)
				if down {
					require.Equal(t, other+held, f.routers[1].View("maps").LocalBalance)
				} else {
					ledger := f.routers[0].shardOf("maps").ledger
					require.NoError(t, ledger.Load(t.Context()))
					drawn, _ := ledger.Drawn("maps")
					require.Equal(t, other, drawn)
				}
				f.stopAll()
			})
		})
	}
}

// TestExhaustedAccountIsRefusedImmediately sends concurrent requests for an account
// that has fewer tokens left than one request needs. They are refused without a
// read of the ledger for each.
func TestExhaustedAccountIsRefusedImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCluster(50_000)
		f.start(t, 2)
		time.Sleep(2 * time.Second)
		for {
			reservation, outcome := f.routers[0].Reserve(t.Context(), "maps", 1000)
			if outcome != Granted {
				break
			}
			reservation.Settle(990)
		}
		f.log.mu.Lock()
		f.log.reads = 0
		f.log.mu.Unlock()
		for range 3 {
			var waits conc.WaitGroup
			for range 20 {
				waits.Go(func() {
					begun := time.Now()
					hold, outcome := f.routers[0].Reserve(t.Context(), "maps", 400)
					if outcome == Granted {
						hold.Settle(400)
					} else {
						require.NotEqual(t, Unreachable, outcome, "the ledger shows that no tokens are left")
						require.Less(t, time.Since(begun), drawTimeout/2)
					}
				})
			}
			waits.Wait()
			time.Sleep(time.Second)
		}
		f.stopAll()
		_, reads := f.log.callCounts()
		require.Less(t, reads, 60, "the ledger is not read for each request")
	})
}

// TestLogCallRateIsBounded runs 24 routers with 24 accounts in use. The log handles
// 40 appends per second without strain.
func TestLogCallRateIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCluster(5_000_000)
		f.extraAccounts = 23
		f.start(t, 24)
		r := rand.New(rand.NewPCG(7, 8))
		const span = 20
		use := func() {
			for end := time.Now().Add(span * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
				account := "maps"
				if n := r.IntN(24); n > 0 {
					account = fmt.Sprint(n - 1)
				}
				reservation, outcome := f.routers[r.IntN(24)].Reserve(t.Context(), account, 2000)
				require.Equal(t, Granted, outcome)
				reservation.Settle(1000 + r.Int64N(1000))
			}
		}
		use() // warm-up, until the rates are known
		f.log.mu.Lock()
		f.log.appends, f.log.reads = 0, 0
		f.log.mu.Unlock()
		use()
		f.stopAll()
		appends, reads := f.log.callCounts()
		require.LessOrEqual(t, appends, 40*span)
		require.LessOrEqual(t, reads, 40*span)
	})
}

// TestSmallAccountSharedByManyRouters sends requests of an account of which one
// router's share is smaller than a request, with a healthy log and then during an
// outage.
func TestSmallAccountSharedByManyRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCluster(2_500_000)
		f.log.setLatency(4 * time.Millisecond)
		f.start(t, 24)
		r := rand.New(rand.NewPCG(9, 10))
		time.Sleep(5 * time.Second)
		begun := time.Now()
		first := f.sendLoad(t, r, 15*time.Second, 6./24, 8000)
		waited := time.Since(begun) - time.Duration(first.asked)*time.Second/6
		f.log.setDown(true)
		during := f.sendLoad(t, r, 6*time.Second, 6./24, 8000)
		f.log.setDown(false)
		f.stopAll()
		time.Sleep(time.Second) // lets the calls in progress end
		require.Equal(t, first.asked, first.served)
		require.Less(t, waited/time.Duration(first.asked), 5*time.Millisecond, "no longer than calls to a healthy log take")
		require.GreaterOrEqual(t, float64(during.served), 0.98*float64(during.asked))
	})
}

// TestReserveBorrowsWhileLogIsSlow: another router lends tokens while an append is
// slow.
func TestReserveBorrowsWhileLogIsSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCluster(1_000_000)
		f.start(t, 4)
		time.Sleep(2 * time.Second) // until tokens are drawn in advance
		f.log.setLatency(300 * time.Millisecond)
		begun := time.Now()
		reservation, outcome := f.routers[0].Reserve(t.Context(), "maps", 60_000) // each holds 40,000
		require.Equal(t, Granted, outcome)
		require.Less(t, time.Since(begun), 150*time.Millisecond)
		reservation.Settle(60_000)
		f.stopAll()
		time.Sleep(time.Second) // lets the calls in progress end
	})
}
