package peers

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/prepaid"
	"github.com/camphorlever/camphorlever/platform/standin"
)

// totalsLender lends what is asked for, as running totals, and counts what it was
// given.
type totalsLender struct {
	mu     sync.Mutex
	lent   int64
	totals map[string]int64
}

func (l *totalsLender) Lend(args prepaid.BorrowArgs) prepaid.BorrowReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lent += args.Want
	return prepaid.BorrowReply{Lender: "g", Total: l.lent}
}

func (l *totalsLender) Receive(args prepaid.TransferArgs) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.totals = args.Totals
	return nil
}

// TestConnectionBetweenRoutersIsReset: the connection to a lender is reset before or
// after its reply. Later replies bring the tokens of lost ones, and a transfer that
// got no reply is counted once.
func TestConnectionBetweenRoutersIsReset(t *testing.T) {
	lender := &totalsLender{}
	proxy, err := standin.NewProxy(serveLenderOf(t, lender))
	require.NoError(t, err)
	t.Cleanup(proxy.Close)
	c := NewClient(peerSetOf(t, Member{Node: "a", Address: proxy.Address(), Incarnation: "g"}), "key")
	r := rand.New(rand.NewPCG(31, 32))
	var received int64
	lost := 0
	borrow := func() bool {
		return c.Borrow(context.Background(), prepaid.BorrowArgs{Borrower: "me", Account: "maps", Want: 10}, []string{"a"}, false, func(reply prepaid.BorrowReply) int64 {
			received = max(received, reply.Total)
			return 0
		})
	}
	for range 12 {
		proxy.DropReplies(r.IntN(3) == 0)
		if r.IntN(3) == 0 {
			proxy.ResetAll()
		}
		if !borrow() {
			lost++
			time.Sleep(avoidPeriod + 20*time.Millisecond)
		}
	}
	require.Positive(t, lost)
	proxy.DropReplies(false)
	require.Eventually(t, borrow, 3*avoidPeriod, avoidPeriod/4)
	require.Equal(t, lender.lent, received, "the last reply makes up for all lost ones")

	proxy.DropReplies(true)
	time.AfterFunc(300*time.Millisecond, func() { proxy.DropReplies(false) })
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	calls := 0
	sent, err := c.Transfer(ctx, nil, true, func(receiver string) prepaid.TransferArgs {
		calls++
		return prepaid.TransferArgs{Giver: "me", Receiver: receiver, Totals: map[string]int64{"maps": 7}}
	})
	require.NoError(t, err)
	require.True(t, sent)
	require.Equal(t, 1, calls, "the repeated call carries the same total")
	require.Equal(t, map[string]int64{"maps": 7}, lender.totals)
}
