package budget

import (
	"context"
	"encoding/binary"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/record"
	"github.com/camphorlever/camphorlever/internal/wire"
)

var errUnavailable = errors.New("unavailable")

// fixture is a set of routers over one in-memory ledger. Its fields inject
// faults.
type fixture struct {
	t               testing.TB
	mu              sync.Mutex
	state           *ledger.State
	seq             map[ident.Incarnation]uint64
	appends         int
	remoteRouter    bool                       // there is a router in another data centre
	logDown         bool                       // appends fail without being written
	dropLogReplies  bool                       // appends are written but their replies are lost
	unreachable     map[ident.Incarnation]bool // routers that receive no calls
	dropPeerReplies bool                       // calls are executed but their replies are lost
	sealed          map[ident.Incarnation]bool
	closed          map[ident.Incarnation]bool // closed according to the fleet stream
	routers         map[ident.Incarnation]*Grants
	now             time.Time
	policy          Policy
}

func newFixture(t testing.TB, count int, policy Policy) *fixture {
	f := &fixture{
		t: t, state: ledger.New(0, 1), policy: policy, now: time.Unix(1e9, 0),
		seq: map[ident.Incarnation]uint64{}, unreachable: map[ident.Incarnation]bool{},
		sealed: map[ident.Incarnation]bool{}, closed: map[ident.Incarnation]bool{}, routers: map[ident.Incarnation]*Grants{},
	}
	for i := range count {
		f.start(ident.Incarnation(i + 1))
	}
	return f
}

func (f *fixture) start(self ident.Incarnation) *Grants {
	g := New(Config{
		Self: self, DataCentre: "dc", Ledger: ledgerClient{f, self}, Fleet: f, Peers: f, Logger: zerolog.Nop(),
		Policy: func(ident.TeamID) Policy { return f.policy },
		Now:    func() time.Time { return f.now },
		Launch: func(task func()) { task() },
	})
	f.routers[self] = g
	return g
}

func (f *fixture) appendBatch(writer ident.Incarnation, records ...record.Record) []ledger.Verdict {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seq[writer]++
	f.appends++
	data, err := record.Marshal(record.Batch{Identity: record.Identity{Writer: writer, Sequence: f.seq[writer]}, Records: records})
	require.NoError(f.t, err)
	return f.state.Apply(f.state.Offset()+1, data)
}

func (f *fixture) appendRecord(writer ident.Incarnation, kind record.Kind, body any) ledger.Verdict {
	r, err := record.New(kind, body)
	require.NoError(f.t, err)
	return f.appendBatch(writer, r)[0]
}

func (f *fixture) topUp(id string, tokens int64) {
	require.Equal(f.t, ledger.Accepted, f.appendRecord(99, ledger.KindTopUp, ledger.TopUp{Team: "a", ID: id, Tokens: tokens}).Outcome)
}

// ledgerClient is one router's access to the ledger.
type ledgerClient struct {
	fixture *fixture
	self    ident.Incarnation
}

func (p ledgerClient) Submit(_ context.Context, _ ident.TeamID, records ...record.Record) ([]ledger.Verdict, error) {
	if p.fixture.logDown {
		return nil, errUnavailable
	}
	verdicts := p.fixture.appendBatch(p.self, records...)
	if p.fixture.dropLogReplies {
		return nil, errUnavailable
	}
	return verdicts, nil
}

func (p ledgerClient) View(_ ident.TeamID, read func(*ledger.State)) {
	p.fixture.mu.Lock()
	defer p.fixture.mu.Unlock()
	read(p.fixture.state)
}

func (f *fixture) Routers() []Router {
	var routers []Router
	for i := range f.routers {
		if !f.sealed[i] {
			routers = append(routers, Router{Incarnation: i, DataCentre: "dc"})
		}
	}
	if f.remoteRouter {
		routers = append(routers, Router{Incarnation: 90, DataCentre: "far"})
	}
	return routers
}

func (f *fixture) Sealed(i ident.Incarnation) bool { return f.sealed[i] }

func (f *fixture) Closed(i ident.Incarnation) bool { return f.closed[i] }

func (f *fixture) Borrow(_ context.Context, to ident.Incarnation, args wire.BorrowArgs) (wire.BorrowReply, error) {
	if f.unreachable[to] {
		return wire.BorrowReply{}, errUnavailable
	}
	reply := f.routers[to].Borrow(args)
	if f.dropPeerReplies {
		return wire.BorrowReply{}, errUnavailable
	}
	return reply, nil
}

func (f *fixture) Repay(_ context.Context, to ident.Incarnation, args wire.RepayArgs) (wire.RepayReply, error) {
	if f.unreachable[to] {
		return wire.RepayReply{}, errUnavailable
	}
	f.routers[to].Repay(args)
	if f.dropPeerReplies {
		return wire.RepayReply{}, errUnavailable
	}
	return wire.RepayReply{}, nil
}

func (f *fixture) tick(d time.Duration) {
	f.now = f.now.Add(d)
	for i := ident.Incarnation(1); int(i) <= len(f.routers); i++ {
		f.routers[i].Tick(context.Background())
	}
}

// free returns a router's free tokens, own and borrowed.
func (f *fixture) free(i ident.Incarnation) (own, borrowed int64) {
	b := f.routers[i].balanceOf("a")
	own = b.own.free
	for _, s := range b.loans {
		borrowed += s.free
	}
	return own, borrowed
}

func testKey(n int) (key ident.Key) {
	binary.BigEndian.PutUint64(key[:], uint64(n))
	return key
}

// settleRun bills a run that router 2 began: key 1 to the grant of router 1,
// other keys to the grant of writer 7.
func (f *fixture) settleRun(run ident.RunID, key int, tokens int64) {
	holder := ident.Incarnation(1)
	if key > 1 {
		holder = 7
	}
	f.appendRecord(run.Gate, ledger.KindSettle, ledger.Settle{
		Team: "a", Holder: holder, Router: 2, Run: run, Key: testKey(key), Tokens: tokens,
	})
}
