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

var errDown = errors.New("down")

// world is some routers over one log. Its faults are fields.
type world struct {
	t       testing.TB
	mu      sync.Mutex
	state   *ledger.State
	seq     map[ident.Incarnation]uint64
	appends int
	far     bool                       // there is a router in another data centre
	down    bool                       // the log cannot be reached
	lose    bool                       // replies of the log are lost after the write
	mute    map[ident.Incarnation]bool // routers that nobody reaches
	losing  bool                       // replies of routers are lost
	sealed  map[ident.Incarnation]bool
	closed  map[ident.Incarnation]bool // as the fleet stream proves
	routers map[ident.Incarnation]*Grants
	now     time.Time
	policy  Policy
}

func newWorld(t testing.TB, routers int, policy Policy) *world {
	w := &world{
		t: t, state: ledger.New(0, 1), policy: policy, now: time.Unix(1e9, 0),
		seq: map[ident.Incarnation]uint64{}, mute: map[ident.Incarnation]bool{},
		sealed: map[ident.Incarnation]bool{}, closed: map[ident.Incarnation]bool{}, routers: map[ident.Incarnation]*Grants{},
	}
	for i := range routers {
		w.start(ident.Incarnation(i + 1))
	}
	return w
}

func (w *world) start(self ident.Incarnation) *Grants {
	g := New(Config{
		Self: self, DataCentre: "dc", Ledger: port{w, self}, Fleet: w, Peers: w, Logger: zerolog.Nop(),
		Policy: func(ident.TeamID) Policy { return w.policy },
		Now:    func() time.Time { return w.now },
		Launch: func(task func()) { task() },
	})
	w.routers[self] = g
	return g
}

func (w *world) write(writer ident.Incarnation, records ...record.Record) []ledger.Verdict {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq[writer]++
	w.appends++
	data, err := record.Marshal(record.Batch{Identity: record.Identity{Writer: writer, Sequence: w.seq[writer]}, Records: records})
	require.NoError(w.t, err)
	return w.state.Apply(w.state.Offset()+1, data)
}

func (w *world) do(writer ident.Incarnation, kind record.Kind, body any) ledger.Verdict {
	r, err := record.New(kind, body)
	require.NoError(w.t, err)
	return w.write(writer, r)[0]
}

func (w *world) topUp(id string, tokens int64) {
	require.Equal(w.t, ledger.Accepted, w.do(99, ledger.KindTopUp, ledger.TopUp{Team: "a", ID: id, Tokens: tokens}).Outcome)
}

// port is one router's access to the log.
type port struct {
	w    *world
	self ident.Incarnation
}

func (p port) Submit(_ context.Context, _ ident.TeamID, records ...record.Record) ([]ledger.Verdict, error) {
	if p.w.down {
		return nil, errDown
	}
	verdicts := p.w.write(p.self, records...)
	if p.w.lose {
		return nil, errDown
	}
	return verdicts, nil
}

func (p port) View(_ ident.TeamID, read func(*ledger.State)) {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	read(p.w.state)
}

func (w *world) Routers() []Router {
	var list []Router
	for i := range w.routers {
		if !w.sealed[i] {
			list = append(list, Router{Incarnation: i, DataCentre: "dc"})
		}
	}
	if w.far {
		list = append(list, Router{Incarnation: 90, DataCentre: "far"})
	}
	return list
}

func (w *world) Sealed(i ident.Incarnation) bool { return w.sealed[i] }

func (w *world) Closed(i ident.Incarnation) bool { return w.closed[i] }

func (w *world) Borrow(_ context.Context, to ident.Incarnation, args wire.BorrowArgs) (wire.BorrowReply, error) {
	if w.mute[to] {
		return wire.BorrowReply{}, errDown
	}
	reply := w.routers[to].Borrow(args)
	if w.losing {
		return wire.BorrowReply{}, errDown
	}
	return reply, nil
}

func (w *world) Repay(_ context.Context, to ident.Incarnation, args wire.RepayArgs) (wire.RepayReply, error) {
	if w.mute[to] {
		return wire.RepayReply{}, errDown
	}
	w.routers[to].Repay(args)
	if w.losing {
		return wire.RepayReply{}, errDown
	}
	return wire.RepayReply{}, nil
}

func (w *world) tick(d time.Duration) {
	w.now = w.now.Add(d)
	for i := ident.Incarnation(1); int(i) <= len(w.routers); i++ {
		w.routers[i].Tick(context.Background())
	}
}

// free returns what a router has in hand, own and borrowed.
func (w *world) free(i ident.Incarnation) (own, borrowed int64) {
	h := w.routers[i].hand("a")
	own = h.own.free
	for _, s := range h.loans {
		borrowed += s.free
	}
	return own, borrowed
}

func testKey(n int) (key ident.Key) {
	binary.BigEndian.PutUint64(key[:], uint64(n))
	return key
}

// settle bills a run that router 2 began, to the grant of router 1 or, for
// strangers' keys, of writer 7.
func (w *world) settle(run ident.RunID, key int, tokens int64) {
	holder := ident.Incarnation(1)
	if key > 1 {
		holder = 7
	}
	w.do(run.Gate, ledger.KindSettle, ledger.Settle{
		Team: "a", Holder: holder, Router: 2, Run: run, Key: testKey(key), Tokens: tokens,
	})
}
