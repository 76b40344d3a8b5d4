package prepaid

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// lossyPeers delivers calls between the routers of a transfer schedule. A call or
// its reply may be lost, and a delivered call may be delivered again later, also to
// the next incarnation of its receiver.
type lossyPeers struct {
	schedule *transferSchedule
	self     int
}

type transferSchedule struct {
	r       *rand.Rand
	routers []*LocalBalances
	repeats []func() // calls that may be delivered again
}

func (p lossyPeers) Fleet() Fleet {
	f := Fleet{Self: fmt.Sprint(p.self), Version: 1, Loaded: true}
	for i := range p.schedule.routers {
		f.Routers = append(f.Routers, fmt.Sprint(i))
	}
	return f
}

func (p lossyPeers) Unreachable(string) bool { return p.lost() }

// Reclaim asks all other routers again, whether or not a reply was lost.
func (p lossyPeers) Reclaim(_ context.Context, borrower string, receive func(string, BorrowReply)) {
	for i, router := range p.schedule.routers {
		if i == p.self || p.lost() {
			continue
		}
		reply := router.Lend(BorrowArgs{Borrower: borrower, Account: "maps"})
		p.schedule.repeats = append(p.schedule.repeats, func() { receive("maps", reply) })
		if !p.lost() {
			receive("maps", reply)
		}
	}
}

// lost reports whether a message is lost.
func (p lossyPeers) lost() bool { return p.schedule.r.IntN(4) == 0 }

func (p lossyPeers) Borrow(_ context.Context, args BorrowArgs, _ []string, _ bool, receive func(BorrowReply) int64) bool {
	complete := true
	for i := range p.schedule.routers {
		if i == p.self || args.Want <= 0 {
			continue
		}
		if p.lost() {
			complete = false
			continue
		}
		reply := p.schedule.routers[i].Lend(args)
		if p.lost() {
			complete = false
			continue
		}
		args.Want = receive(reply)
		p.schedule.repeats = append(p.schedule.repeats, func() { receive(reply) })
	}
	return complete
}

// Copies implements Peers: the log is down, so that it loses nothing.
func (p lossyPeers) Copies(context.Context, []string, CopyArgs, func(string, CopyReply)) {}

// Witness implements Peers.
func (p lossyPeers) Witness(context.Context, []string, WitnessArgs) (WitnessReply, bool) {
	return WitnessReply{}, false
}

func (p lossyPeers) Transfer(_ context.Context, _ []string, _ bool, args func(string) TransferArgs) (bool, error) {
	i := (p.self + 1 + p.schedule.r.IntN(len(p.schedule.routers)-1)) % len(p.schedule.routers)
	totals := args(p.schedule.routers[i].incarnation)
	p.schedule.repeats = append(p.schedule.repeats, func() { _ = p.schedule.routers[i].Receive(totals) })
	if p.lost() {
		return true, context.DeadlineExceeded
	}
	err := p.schedule.routers[i].Receive(totals)
	if p.lost() {
		return true, context.DeadlineExceeded
	}
	return true, err
}

// TestTransfersNeverCreateTokens lets routers borrow, lend, spend and give back
// tokens, crash and restart, while calls and replies are lost, and repeated after
// their sender or receiver has restarted. The log is down, so the tokens that
// incarnations hold or have spent never exceed those that they began with.
func TestTransfersNeverCreateTokens(t *testing.T) {
	for seed := range uint64(200) {
		synctest.Test(t, func(t *testing.T) { playTransfers(t, seed) })
	}
}

func playTransfers(t *testing.T, seed uint64) {
	schedule := &transferSchedule{r: rand.New(rand.NewPCG(seed, 11)), routers: make([]*LocalBalances, 3)}
	r := schedule.r
	log := &fakeLog{}
	f := newCluster(1_000_000)
	start := func(i, step int) {
		schedule.routers[i] = NewLocalBalances(log, Streams{Budgets: stream, Layout: "layout"}, fmt.Sprintf("%d/%d", i, step), f.settings, lossyPeers{schedule, i}, zerolog.Nop())
	}
	for i := range schedule.routers {
		start(i, -1)
		schedule.routers[i].balance("maps").deposit(1000)
	}
	log.setDown(true)
	var spent, lost int64
	for step := range 200 {
		i := r.IntN(len(schedule.routers))
		router := schedule.routers[i]
		b := router.balance("maps")
		switch r.IntN(7) {
		case 0, 1:
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			router.borrow(ctx, b, 1+r.Int64N(800), true)
			cancel()
			time.Sleep(2 * shortageTTL)
		case 2:
			if tokens := 1 + r.Int64N(300); b.reserve(tokens) {
				used := r.Int64N(tokens + 1)
				b.settle(tokens, used)
				spent += used
			}
		case 3:
			if tokens := b.withdraw(r.Int64N(500)); tokens > 0 {
				_, _ = router.transfer(t.Context(), nil, true, map[string]int64{"maps": tokens})
			}
		case 4:
			if len(schedule.repeats) > 0 {
				schedule.repeats[r.IntN(len(schedule.repeats))]()
			}
		case 6:
			router.reclaim(t.Context())
		case 5:
			if r.IntN(4) == 0 {
				lost += b.available()
				start(i, step)
			}
		}
		held := lost
		for _, other := range schedule.routers {
			held += other.balance("maps").available()
		}
		require.LessOrEqual(t, spent+held, int64(3000), "seed %d, step %d", seed, step)
	}
}
