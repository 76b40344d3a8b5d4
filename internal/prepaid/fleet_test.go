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

// fleet is routers that share a log and can reach each other.
type fleet struct {
	log     *fakeLog
	prepaid int64
	version int64
	routers []*LocalBalances
	stops   []context.CancelFunc
	lose    int          // replies to loans that are lost
	more    int          // accounts beside "maps"
	calls   int          // from router to router
	apart   bool         // routers cannot call each other
	dead    map[int]bool // routers that do not answer calls
}

// neighbours are the other routers of one router.
type neighbours struct {
	fleet *fleet
	self  int
}

func (n neighbours) Fleet() Fleet {
	f := Fleet{Self: fmt.Sprint(n.self), Loaded: true}
	for i := range n.fleet.routers {
		f.Routers = append(f.Routers, fmt.Sprint(i))
	}
	return f
}

func (n neighbours) Borrow(ctx context.Context, args BorrowArgs, first []string, all bool, take func(BorrowReply) int64) (complete bool) {
	if n.fleet.apart {
		return false
	}
	complete = true
	order := append([]string(nil), first...)
	for i := range n.fleet.routers {
		if name := fmt.Sprint(i); all && !slices.Contains(first, name) {
			order = append(order, name)
		}
	}
	for _, name := range order {
		i, _ := strconv.Atoi(name) // the names are ours
		other := n.fleet.routers[i]
		if i == n.self || other == nil || args.Want <= 0 {
			continue
		}
		if n.fleet.dead[i] {
			complete = false
			if !wait(ctx, 120*time.Millisecond, nil) { // as calls time out
				return complete
			}
			continue
		}
		n.fleet.calls++
		reply := other.Lend(args)
		if n.fleet.lose > 0 {
			n.fleet.lose--
			complete = false
			continue
		}
		args.Want = take(reply)
	}
	return complete
}

func (n neighbours) Transfer(_ context.Context, args TransferArgs) error {
	n.fleet.routers[(n.self+1)%len(n.fleet.routers)].Receive(args)
	return nil
}

func (f *fleet) settings() *catalog.Settings {
	accounts := []*catalog.Account{{Name: "maps", PrepaidTokens: f.prepaid, Metered: true}}
	for i := range f.more {
		accounts = append(accounts, &catalog.Account{Name: fmt.Sprint(i), PrepaidTokens: f.prepaid, Metered: true})
	}
	return catalog.Build(catalog.Draft{Version: f.version, Accounts: accounts})
}

// start begins the lives of n routers.
func (f *fleet) start(t *testing.T, n int) {
	f.routers, f.stops = make([]*LocalBalances, n), make([]context.CancelFunc, n)
	for i := range n {
		name := fmt.Sprintf("%d/%s/%d", i, t.Name(), time.Now().UnixNano())
		f.routers[i] = NewLocalBalances(newTestLedger(f.log, name), f.settings, neighbours{f, i}, zerolog.Nop())
		ctx, cancel := context.WithCancel(t.Context())
		f.stops[i] = cancel
		go f.routers[i].Run(ctx)
	}
}

// kill ends all lives; what they hold is gone.
func (f *fleet) kill() {
	for _, stop := range f.stops {
		stop()
	}
	synctest.Wait()
}

func newFleet(prepaid int64) *fleet {
	return &fleet{log: &fakeLog{}, prepaid: prepaid, version: 1}
}

// figures are what callers got.
type figures struct {
	asked, served, used int64
}

// play sends requests for a time: each router gets some of them a second, which
// use most of their bound.
func (f *fleet) play(t *testing.T, r *rand.Rand, span time.Duration, perSecond float64, bound int64) figures {
	var out figures
	end := time.Now().Add(span)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(float64(time.Second) / perSecond / float64(len(f.routers)))) // perSecond at each router
		router := f.routers[r.IntN(len(f.routers))]
		tokens := bound/2 + r.Int64N(bound)
		out.asked++
		hold, outcome := router.Reserve(t.Context(), "maps", tokens)
		if outcome != Granted {
			continue
		}
		used := tokens * 9 / 10
		out.served++
		out.used += used
		hold.Settle(used)
	}
	return out
}
