package peers

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
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

func (l *fakeLender) Receive(args prepaid.TransferArgs) error {
	if args.Receiver != l.incarnation {
		return errors.New("another incarnation")
	}
	l.received = args.Totals
	return nil
}

func serveLender(t *testing.T, l *fakeLender) string { return serveLenderOf(t, l) }

func serveLenderOf(t *testing.T, l Lender) string { return serveMethods(t, NewMethods(l, nil, nil)) }

func serveMethods(t *testing.T, methods *Methods) string {
	control := rpc.NewServer("key")
	require.NoError(t, control.Register(Service, methods))
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
	c := NewClient(peerSetOf(t, Member{Node: "a", Address: serveLender(t, l), Incarnation: "g"}), "key")
	totals := func(receiver string) prepaid.TransferArgs {
		return prepaid.TransferArgs{Giver: "me", Receiver: receiver, Totals: map[string]int64{"maps": 5}}
	}
	sent, err := c.Transfer(context.Background(), []string{"a"}, false, totals)
	require.True(t, sent)
	require.NoError(t, err)
	require.Equal(t, map[string]int64{"maps": 5}, l.received)
	sent, err = NewClient(peerSetOf(t), "key").Transfer(context.Background(), []string{"a"}, true, totals)
	require.False(t, sent, "no router is known")
	require.NoError(t, err)
	sent, _ = c.Transfer(context.Background(), nil, false, totals)
	require.False(t, sent, "no router was named")
}

// TestTransferToEndedIncarnationIsNotRepeated: the receiver has restarted since it
// announced itself. It refuses tokens for the incarnation before, and the giver does
// not repeat the call.
func TestTransferToEndedIncarnationIsNotRepeated(t *testing.T) {
	l := &fakeLender{incarnation: "new"}
	c := NewClient(peerSetOf(t, Member{Node: "a", Address: serveLender(t, l), Incarnation: "old"}), "key")
	begun := time.Now()
	sent, err := c.Transfer(context.Background(), nil, true, func(receiver string) prepaid.TransferArgs {
		return prepaid.TransferArgs{Giver: "me", Receiver: receiver, Totals: map[string]int64{"maps": 5}}
	})
	require.True(t, sent)
	require.Error(t, err)
	require.Less(t, time.Since(begun), 5*time.Second)
	require.Nil(t, l.received)
}

// TestFewOthersAreAsked: a request can't wait for calls to hundreds of routers.
func TestFewOthersAreAsked(t *testing.T) {
	empty := &countingLender{}
	address := serveLenderOf(t, empty)
	members := []Member{{Node: "owner", Address: address}}
	for i := range 100 {
		members = append(members, Member{Node: fmt.Sprint(i), Address: address})
	}
	c := NewClient(peerSetOf(t, members...), "key")
	complete := c.Borrow(context.Background(), prepaid.BorrowArgs{Account: "maps", Want: 10, Need: 10}, []string{"owner"}, true,
		func(prepaid.BorrowReply) int64 { return 10 })
	require.True(t, complete)
	require.EqualValues(t, maxOthers+1, empty.calls.Load())
}

// panickingLender panics in each call.
type panickingLender struct{}

func (panickingLender) Lend(prepaid.BorrowArgs) prepaid.BorrowReply { panic("unexpected account") }

func (panickingLender) Receive(prepaid.TransferArgs) error { panic("unexpected account") }

// TestPanicInACallDoesNotEndTheProcess: the caller gets an error, and the connection can
// be used on.
func TestPanicInACallDoesNotEndTheProcess(t *testing.T) {
	c := NewClient(peerSetOf(t, Member{Node: "a", Address: serveLenderOf(t, panickingLender{}), Incarnation: "g"}), "key")
	complete := c.Borrow(context.Background(), prepaid.BorrowArgs{Account: "maps", Want: 10}, []string{"a"}, false, func(prepaid.BorrowReply) int64 {
		t.Error("a reply was received")
		return 0
	})
	require.False(t, complete)
	time.Sleep(avoidPeriod + 20*time.Millisecond)
	sent, err := c.Transfer(context.Background(), []string{"a"}, false, func(string) prepaid.TransferArgs { return prepaid.TransferArgs{} })
	require.True(t, sent)
	require.ErrorContains(t, err, "unexpected account")
}

// countingLender lends nothing.
type countingLender struct{ calls atomic.Int64 }

func (l *countingLender) Lend(prepaid.BorrowArgs) prepaid.BorrowReply {
	l.calls.Add(1)
	return prepaid.BorrowReply{}
}

func (l *countingLender) Receive(prepaid.TransferArgs) error { return nil }

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

// TestPeerSetKeepsRoutersThatAnOlderCopyLacks also checks that a router that has left is not
// added again, and that this router is told to announce itself.
func TestPeerSetKeepsRoutersThatAnOlderCopyLacks(t *testing.T) {
	r := peerSetOf(t, Member{Node: "a", Incarnation: "a/1"}, Member{Node: "b", Incarnation: "b/1"}, Member{Node: "c", Incarnation: "c/1"})
	r.Apply([]logservice.KeyedEntry{{Key: "c"}})
	entry := func(m Member) logservice.KeyedEntry {
		raw, err := msgpack.Marshal(&m)
		require.NoError(t, err)
		return logservice.KeyedEntry{Key: m.Node, Value: raw}
	}
	r.Restore([]logservice.KeyedEntry{entry(Member{Node: "a", Incarnation: "a/1"}), entry(Member{Node: "c", Incarnation: "c/1"}), entry(Member{Node: "d", Incarnation: "d/1"})})
	require.Equal(t, []string{"a", "b", "d", "self"}, r.Fleet().Routers)
	require.Len(t, r.Restored(), 1)
	r.Apply([]logservice.KeyedEntry{entry(Member{Node: "c", Incarnation: "c/2"})})
	require.Contains(t, r.Fleet().Routers, "c", "it has started again")
}

func TestNewerSettingsComeFromOtherRouters(t *testing.T) {
	serve := func(version int64, value string) string {
		methods := NewMethods(&fakeLender{}, nil, nil)
		methods.ServeSettings(func(known int64) []byte {
			if version > known {
				return []byte(value)
			}
			return nil
		})
		return serveMethods(t, methods)
	}
	c := NewClient(peerSetOf(t,
		Member{Node: "older", Address: serve(3, "three")},
		Member{Node: "newer", Address: serve(5, "five")},
		Member{Node: "without", Address: serveLender(t, &fakeLender{})},
		Member{Node: "gone", Address: "127.0.0.1:1"}), "key")
	for version, want := range map[int64][]string{0: {"five", "three"}, 3: {"five"}, 5: nil} {
		var got []string
		c.NewerSettings(context.Background(), version, 8, func(value []byte) { got = append(got, string(value)) })
		slices.Sort(got)
		require.Equal(t, want, got)
	}
}

func TestCopiesOfTheLedgerComeFromOtherRouters(t *testing.T) {
	keeper := &fakeKeeper{}
	methods := NewMethods(&fakeLender{}, nil, nil)
	methods.ServeLedger(keeper)
	c := NewClient(peerSetOf(t,
		Member{Node: "a", Address: serveMethods(t, methods)},
		Member{Node: "without", Address: serveLender(t, &fakeLender{})},
		Member{Node: "gone", Address: "127.0.0.1:1"}), "key")
	names := []string{"a", "without", "gone", "unknown"}
	got := map[string]prepaid.CopyReply{}
	c.Copies(context.Background(), names, prepaid.CopyArgs{Shard: 3, Era: 2}, func(name string, reply prepaid.CopyReply) { got[name] = reply })
	require.Equal(t, map[string]prepaid.CopyReply{"a": {Entries: prepaid.Copy{"of": {3, 2}}, Remembers: true}}, got)
	reply, answered := c.Witness(context.Background(), names, prepaid.WitnessArgs{Shard: 1, Entries: prepaid.Copy{"of": {9}}})
	require.True(t, answered)
	require.EqualValues(t, 4, reply.Era)
	require.Equal(t, prepaid.Copy{"of": {9}}, keeper.witnessed.Load().Entries)
	_, answered = c.Witness(context.Background(), []string{"gone"}, prepaid.WitnessArgs{})
	require.False(t, answered)
}

// fakeKeeper has a copy that names what was asked for.
type fakeKeeper struct {
	witnessed atomic.Pointer[prepaid.WitnessArgs]
}

func (k *fakeKeeper) LedgerCopy(args prepaid.CopyArgs) (prepaid.CopyReply, error) {
	return prepaid.CopyReply{Entries: prepaid.Copy{"of": {byte(args.Shard), byte(args.Era)}}, Remembers: true}, nil
}

func (k *fakeKeeper) Witness(args prepaid.WitnessArgs) (prepaid.WitnessReply, error) {
	k.witnessed.Store(&args)
	return prepaid.WitnessReply{Era: 4}, nil
}
