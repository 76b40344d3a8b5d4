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

// TestOutageOfTheLogIsBridged plays 8 s without the log in the middle of a load
// that has used less than half of its tokens.
func TestOutageOfTheLogIsBridged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(40 * 4 * 10 * 1000)
		f.start(t, 4)
		r := rand.New(rand.NewPCG(1, 2))
		time.Sleep(5 * time.Second)
		before := f.play(t, r, 12*time.Second, 10, 1000)
		f.log.setDown(true)
		during := f.play(t, r, 8*time.Second, 10, 1000)
		f.log.setDown(false)
		time.Sleep(2 * time.Second)
		after := f.play(t, r, 5*time.Second, 10, 1000)
		require.Equal(t, before.asked, before.served)
		require.GreaterOrEqual(t, float64(during.served), 0.98*float64(during.asked))
		require.Equal(t, after.asked, after.served)
		f.kill()
	})
}

// TestDeathOfAllRoutersLeavesTokens kills all routers after 20 s of load. An
// account that will run out anyway gains nothing from full hands, and loses them
// then.
func TestDeathOfAllRoutersLeavesTokens(t *testing.T) {
	cases := map[string]struct {
		prepaid int64
		left    float64 // most of it that is not used when they die
		still   float64 // least part of what was left that callers get afterwards
	}{
		"half used":   {40 * 4 * 10 * 1000, 0.6, 0.45},
		"nearly used": {1_000_000, 0.4, 0.55},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(c.prepaid)
				f.start(t, 4)
				r := rand.New(rand.NewPCG(3, 4))
				time.Sleep(5 * time.Second)
				first := f.play(t, r, 20*time.Second, 10, 1000)
				left := f.prepaid - first.used
				require.Less(t, float64(left), c.left*float64(f.prepaid))
				f.kill()
				f.start(t, 4)
				time.Sleep(time.Second)
				second := f.play(t, r, 40*time.Second, 10, 1000)
				require.GreaterOrEqual(t, second.used, int64(c.still*float64(left)))
				require.LessOrEqual(t, first.used+second.used, f.prepaid)
				f.kill()
			})
		})
	}
}

// TestLastTokensAreUsed: what is left in the end is too little for a request,
// wherever it lies, and small requests are served longest.
func TestLastTokensAreUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(300_000)
		f.start(t, 4)
		r := rand.New(rand.NewPCG(5, 6))
		time.Sleep(2 * time.Second)
		large := f.play(t, r, 30*time.Second, 5, 1000)
		require.Less(t, large.served, large.asked)
		require.GreaterOrEqual(t, large.used, int64(0.94*300_000))
		small := f.play(t, r, 10*time.Second, 2, 100)
		require.Positive(t, small.served, "small requests still find tokens")
		require.LessOrEqual(t, large.used+small.used, int64(300_000))
		f.kill()
	})
}

// TestSmallRequestsOutlastLargeOnes kills all routers when three fifths of an
// account are used. Twenty seconds later large requests find nothing any more, and a
// good part of the small ones still does.
func TestSmallRequestsOutlastLargeOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1_000_000)
		r := rand.New(rand.NewPCG(19, 20))
		mixed := func(span time.Duration) (small figures) {
			for end := time.Now().Add(span); time.Now().Before(end); {
				f.play(t, r, 200*time.Millisecond, 1.25, 5000)
				part := f.play(t, r, 200*time.Millisecond, 2.5, 400)
				small.asked += part.asked
				small.served += part.served
			}
			return small
		}
		f.start(t, 4)
		time.Sleep(time.Second)
		mixed(50 * time.Second)
		f.kill()
		f.start(t, 4)
		time.Sleep(time.Second)
		mixed(20 * time.Second)
		last := mixed(10 * time.Second)
		f.kill()
		require.GreaterOrEqual(t, float64(last.served), 0.5*float64(last.asked))
	})
}

// TestDeadHomesAreNotWaitedFor kills half of 24 routers; the others learn of it by
// calls that get no answer. The log is well.
func TestDeadHomesAreNotWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(10_000_000)
		f.log.setTakes(4 * time.Millisecond)
		f.start(t, 24)
		time.Sleep(5 * time.Second)
		f.dead = map[int]bool{}
		for i := range 12 {
			f.stops[i]()
			f.dead[i] = true
		}
		homes := homesOf("maps", neighbours{f, 0}.Fleet().Routers)
		for i := range f.routers {
			if slices.Contains(homes, fmt.Sprint(i)) {
				f.stops[i]()
				f.dead[i] = true
			}
		}
		for i, router := range f.routers {
			if f.dead[i] {
				continue
			}
			begun := time.Now()
			hold, outcome := router.Reserve(t.Context(), "maps", 8000)
			require.Equal(t, Granted, outcome, "router %d", i)
			require.Less(t, time.Since(begun), waitForDraw)
			hold.Settle(8000)
		}
		f.kill()
		time.Sleep(time.Second) // the calls in progress end
	})
}

// TestTokensAreKeptOnlyIfTheViewIsFresh: a router saw an account nearly spent;
// meanwhile another one has given back.
func TestTokensAreKeptOnlyIfTheViewIsFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(100_000)
		f.start(t, 1)
		time.Sleep(4*tickEvery + tickEvery/2) // between two looks of the router
		other := newTestLedger(f.log, "other/1")
		change := Change{Account: "maps", Paid: f.prepaid, SettingsVersion: 1, Draw: f.prepaid, MinDraw: 1}
		results, err := other.Apply(t.Context(), []Change{change})
		require.NoError(t, err)
		router := f.routers[0]
		hold, outcome := router.Reserve(t.Context(), "maps", router.View("maps").LocalBalance-int64(keptShare*float64(f.prepaid))/2)
		require.Equal(t, Granted, outcome)
		_, outcome = router.Reserve(t.Context(), "maps", 50_000)
		require.Equal(t, Exhausted, outcome)
		time.Sleep(5 * time.Second) // so that the router looks no more
		_, outcome = router.Reserve(t.Context(), "maps", 2000*10)
		require.Equal(t, ReservedForSmall, outcome)
		_, err = other.Apply(t.Context(), []Change{{Account: "maps", Paid: f.prepaid, SettingsVersion: 1, Return: results[0].Granted}})
		require.NoError(t, err)
		time.Sleep(2 * keptAge)
		again, outcome := router.Reserve(t.Context(), "maps", 2000*10)
		require.Equal(t, Granted, outcome)
		again.Settle(0)
		hold.Settle(0)
		f.log.setDown(true)
		f.kill()
	})
}

// TestLostReplyToALoanIsMadeUpFor lends with the first replies lost.
func TestLostReplyToALoanIsMadeUpFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1000)
		f.start(t, 2)
		time.Sleep(time.Second)
		lender := f.routers[0]
		lender.hand("maps").give(500) // as drawn earlier
		f.log.setDown(true)
		f.noticeOutage(t)
		total := func() int64 {
			return lender.View("maps").LocalBalance + f.routers[1].View("maps").LocalBalance
		}
		before := total()
		f.lose = 1
		_, outcome := f.routers[1].Reserve(t.Context(), "maps", 200)
		require.Equal(t, Unreachable, outcome)
		require.Less(t, total(), before, "on the way")
		hold, outcome := f.routers[1].Reserve(t.Context(), "maps", 200)
		require.Equal(t, Granted, outcome)
		hold.Settle(0)
		require.Equal(t, before, total())
		f.kill()
	})
}

// noticeOutage lets all routers try to draw from a log that is down.
func (f *fleet) noticeOutage(t *testing.T) {
	f.apart = true
	defer func() { f.apart = false }()
	for _, router := range f.routers {
		_, outcome := router.Reserve(t.Context(), "maps", 10*f.prepaid)
		require.Equal(t, Unreachable, outcome)
		require.True(t, router.ledger.Unavailable())
	}
}

func short(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	t.Cleanup(cancel)
	return ctx
}

func TestTokensAreGivenBackAtAStop(t *testing.T) {
	for name, down := range map[string]bool{"to the ledger": false, "to another router": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(100_000)
				f.start(t, 2)
				time.Sleep(2 * time.Second)
				held := f.routers[0].View("maps").LocalBalance
				require.Positive(t, held)
				f.log.setDown(down)
				if down {
					f.noticeOutage(t)
				}
				other := f.routers[1].View("maps").LocalBalance
				f.stops[0]()
				synctest.Wait()
				f.routers[0].Release(short(t))
				require.Zero(t, f.routers[0].View("maps").LocalBalance)
				if down {
					require.Equal(t, other+held, f.routers[1].View("maps").LocalBalance)
				} else {
					require.NoError(t, f.routers[0].ledger.Load(t.Context()))
					drawn, _ := f.routers[0].ledger.Drawn("maps")
					require.Equal(t, other, drawn)
				}
				f.kill()
			})
		})
	}
}

// TestManyRequestsWithoutTokensAreAnsweredAtOnce sends requests together to an
// account that is used up but for less than one of them needs.
func TestManyRequestsWithoutTokensAreAnsweredAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(50_000)
		f.start(t, 2)
		time.Sleep(2 * time.Second)
		for {
			hold, outcome := f.routers[0].Reserve(t.Context(), "maps", 1000)
			if outcome != Granted {
				break
			}
			hold.Settle(990)
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
						require.NotEqual(t, Unreachable, outcome, "it is known that there are none")
						require.Less(t, time.Since(begun), waitForDraw/2)
					}
				})
			}
			waits.Wait()
			time.Sleep(time.Second)
		}
		f.kill()
		require.Less(t, f.log.reads, 60, "the ledger is not asked for each request")
	})
}

// TestCallsOfManyRoutersAreBounded plays 24 routers with 24 accounts in use, on
// a log whose calls are priced and which makes 40 appends a second at ease.
func TestCallsOfManyRoutersAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(5_000_000)
		f.more = 23
		f.start(t, 24)
		r := rand.New(rand.NewPCG(7, 8))
		const span = 20
		use := func() {
			for end := time.Now().Add(span * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
				account := "maps"
				if n := r.IntN(24); n > 0 {
					account = fmt.Sprint(n - 1)
				}
				hold, outcome := f.routers[r.IntN(24)].Reserve(t.Context(), account, 2000)
				require.Equal(t, Granted, outcome)
				hold.Settle(1000 + r.Int64N(1000))
			}
		}
		use() // until the rates are known
		f.log.mu.Lock()
		f.log.appends, f.log.reads = 0, 0
		f.log.mu.Unlock()
		use()
		f.kill()
		require.LessOrEqual(t, f.log.appends, 40*span)
		require.LessOrEqual(t, f.log.reads, 40*span)
	})
}

// TestSmallAccountBeforeManyRouters plays an account of which one router's share
// is less than a request: on a calm log, and then without it.
func TestSmallAccountBeforeManyRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2_500_000)
		f.log.setTakes(4 * time.Millisecond)
		f.start(t, 24)
		r := rand.New(rand.NewPCG(9, 10))
		time.Sleep(5 * time.Second)
		begun := time.Now()
		first := f.play(t, r, 15*time.Second, 6./24, 8000)
		waited := time.Since(begun) - time.Duration(first.asked)*time.Second/6
		f.log.setDown(true)
		during := f.play(t, r, 6*time.Second, 6./24, 8000)
		f.log.setDown(false)
		f.kill()
		time.Sleep(time.Second) // the calls in progress end
		require.Equal(t, first.asked, first.served)
		require.Less(t, waited/time.Duration(first.asked), 5*time.Millisecond, "no more than the calls of a healthy log take")
		require.GreaterOrEqual(t, float64(during.served), 0.98*float64(during.asked))
	})
}

// TestSlowLogIsNotWaitedForLong: another router lends while an append takes
// long.
func TestSlowLogIsNotWaitedForLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1_000_000)
		f.start(t, 4)
		time.Sleep(time.Second)
		f.log.setTakes(300 * time.Millisecond)
		begun := time.Now()
		hold, outcome := f.routers[0].Reserve(t.Context(), "maps", 60_000) // each has 40,000 in hand
		require.Equal(t, Granted, outcome)
		require.Less(t, time.Since(begun), 150*time.Millisecond)
		hold.Settle(60_000)
		f.kill()
		time.Sleep(time.Second) // the calls in progress end
	})
}
