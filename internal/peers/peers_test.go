package peers

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/camphorlever/camphorlever/internal/logservice"
	"github.com/camphorlever/camphorlever/internal/prepaid"
	"github.com/camphorlever/camphorlever/internal/rpc"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// fakeLender lends whatever is asked for.
type fakeLender struct {
	incarnation string
	lent        int64
	received    map[string]int64
	blocked     chan struct{} // if set, calls block until it is closed
}

func (l *fakeLender) Lend(args prepaid.BorrowArgs) prepaid.BorrowReply {
	if l.blocked != nil {
		<-l.blocked
	}
	l.lent += args.Want
	return prepaid.BorrowReply{Lender: l.incarnation, Total: l.lent}
}

func (l *fakeLender) Receive(args prepaid.TransferArgs) { l.received = args.Totals }

func serveLender(t *testing.T, l *fakeLender) string {
	control := rpc.NewServer("key")
	require.NoError(t, control.Register(Service, NewMethods(l)))
	mux := http.NewServeMux()
	mux.Handle(wire.PathRPC, control)
	server := httptest.NewServer(mux)
	t.Cleanup(server.CloseClientConnections)
	return strings.TrimPrefix(server.URL, "http://")
}

func peerSetOf(t *testing.T, members ...Member) *PeerSet {
	r := NewPeerSet(Member{Node: "self"}, "routers", zerolog.Nop())
	var entries []logservice.KeyedEntry
	for _, m := range members {
		raw, err := msgpack.Marshal(&m)
		require.NoError(t, err)
		entries = append(entries, logservice.KeyedEntry{Key: m.Node, Value: raw})
	}
	r.Reset(entries)
	return r
}

func TestPeerSetAppliesEntries(t *testing.T) {
	r := peerSetOf(t, Member{Node: "a", Address: "1:1"}, Member{Node: "b", Address: "2:2"}, Member{Node: "self", Address: "3:3"})
	require.Len(t, r.Others(), 2, "a router is not its own peer")
	r.Apply([]logservice.KeyedEntry{{Key: "a"}, {Key: "c", Value: []byte{0xc1}}, {}})
	others := r.Others()
	require.Len(t, others, 1)
	require.Equal(t, "b", others[0].Node)
	require.Equal(t, "2:2", others[0].Address)
}

func TestBorrowSkipsRouterThatDoesNotAnswer(t *testing.T) {
	silent := &fakeLender{incarnation: "s", blocked: make(chan struct{})}
	good := &fakeLender{incarnation: "g"}
	peerSet := peerSetOf(t, Member{Node: "a", Address: serveLender(t, silent)}, Member{Node: "b", Address: serveLender(t, good)})
	t.Cleanup(func() { close(silent.blocked) })
	c := NewClient(peerSet, "key")
	for range 2 {
		var got []prepaid.BorrowReply
		begun := time.Now()
		c.Borrow(context.Background(), prepaid.BorrowArgs{Account: "maps", Want: 10}, nil, true, func(r prepaid.BorrowReply) int64 {
			got = append(got, r)
			return 0
		})
		require.Len(t, got, 1)
		require.Equal(t, "g", got[0].Lender)
		require.Less(t, time.Since(begun), 5*callTimeout)
	}
	require.EqualValues(t, 20, good.lent)
}

func TestTransferSendsTotals(t *testing.T) {
	l := &fakeLender{incarnation: "g"}
	c := NewClient(peerSetOf(t, Member{Node: "a", Address: serveLender(t, l)}), "key")
	require.NoError(t, c.Transfer(context.Background(), prepaid.TransferArgs{Giver: "me", Totals: map[string]int64{"maps": 5}}))
	require.Equal(t, map[string]int64{"maps": 5}, l.received)
	require.Error(t, NewClient(peerSetOf(t), "key").Transfer(context.Background(), prepaid.TransferArgs{}))
}

// TestMayReportFullIsLimitedToAShareOfTheRouters: at most one router in four
// may send its callers elsewhere, and only if there are other routers. An
// announcement counts until FullExpiry.
func TestMayReportFullIsLimitedToAShareOfTheRouters(t *testing.T) {
	synctest.Test(t, testMayReportFull)
}

func testMayReportFull(t *testing.T) {
	member := func(node string, full bool) Member { return Member{Node: node, Address: node, Full: full} }
	require.False(t, peerSetOf(t).MayReportFull())
	require.True(t, peerSetOf(t, member("a", false)).MayReportFull())
	require.False(t, peerSetOf(t, member("a", true)).MayReportFull())
	require.False(t, peerSetOf(t, member("a", false), member("b", true), member("c", false)).MayReportFull())
	members := []Member{member("a", true)}
	for _, node := range []string{"b", "c", "d", "e", "f", "g"} {
		members = append(members, member(node, false))
	}
	require.True(t, peerSetOf(t, members...).MayReportFull(), "two in eight")
	members[1].Full = true
	r := peerSetOf(t, members...)
	require.False(t, r.MayReportFull(), "three in eight")
	version := r.Fleet().Version
	raw, err := msgpack.Marshal(&members[0])
	require.NoError(t, err)
	time.Sleep(FullExpiry) // on synctest's clock
	r.Apply([]logservice.KeyedEntry{{Key: members[0].Node, Value: raw}})
	require.True(t, r.MayReportFull(), "only one announcement was repeated after FullExpiry")
	require.Equal(t, version, r.Fleet().Version, "the set of routers has not changed")
}

// flakyAnnouncer fails its first calls.
type flakyAnnouncer struct{ failures int }

func (f *flakyAnnouncer) Append(context.Context, logservice.Stream, ...logservice.KeyedEntry) error {
	f.failures--
	if f.failures >= 0 {
		return logservice.ErrUnavailable
	}
	return nil
}

func TestAnnounceRetriesUntilEntryIsWritten(t *testing.T) {
	r := peerSetOf(t)
	require.NoError(t, r.Announce(context.Background(), &flakyAnnouncer{failures: 2}))
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	require.Error(t, r.Leave(ctx, &flakyAnnouncer{failures: 1000}))
}
