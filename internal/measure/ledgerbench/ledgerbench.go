// Package ledgerbench measures the cost of admission and of the ledger fold.
package ledgerbench

import (
	"context"
	"encoding/binary"
	"fmt"
	"runtime"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/camphorlever/camphorlever/internal/budget"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/measure"
	"github.com/camphorlever/camphorlever/internal/record"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// Group measures admission on one hot budget and the fold.
var Group = measure.Group{Name: "ledger", Run: run}

// Sizes of the runs.
const (
	admissions     = 2_000_000 // for each core
	manyCores      = 10
	foldBatches    = 20_000
	batchRecords   = 10
	foldedBudgets  = 12_000
	grantsOfBudget = 3 // one home router in each data centre
)

const team ident.TeamID = "team"

func run(_ context.Context, emit measure.Emit) error {
	one := admit(1)
	emit("admission.1core.ns_per_op", one.ns, "ns")
	many := admit(manyCores)
	emit("admission.10cores.ns_per_op", many.ns, "ns")
	emit("admission.10cores.ops_per_s", manyCores/many.ns*1e9, "per_s")
	emit("admission.allocs_per_op", max(one.allocs, many.allocs), "count")
	emit("admission.tick_us_per_budget", tickCost().ns/1000, "us")
	fold := foldSettlements()
	emit("fold.ns_per_record", fold.ns, "ns")
	emit("fold.allocs_per_record", fold.allocs, "count")
	emit("fold.bytes_per_budget", bytesPerBudget(), "bytes")
	return nil
}

// cost is what one operation takes its caller.
type cost struct {
	ns     float64
	allocs float64
}

// timed measures ops operations, done by a number of callers at once.
func timed(callers, ops int, do func()) cost {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	began := time.Now()
	do()
	took := time.Since(began)
	runtime.ReadMemStats(&after)
	return cost{
		ns:     float64(took.Nanoseconds()) * float64(callers) / float64(ops),
		allocs: float64(after.Mallocs-before.Mallocs) / float64(ops),
	}
}

// admit reserves and settles on one budget from all cores at once. One
// operation is both.
func admit(cores int) cost {
	g := hotBudget()
	return timed(cores, cores*admissions, func() {
		var wg conc.WaitGroup
		for range cores {
			wg.Go(func() { admitLoop(g) })
		}
		wg.Wait()
	})
}

func admitLoop(g *budget.Grants) {
	for range admissions {
		r, outcome := g.Reserve(team, 1000)
		if outcome != budget.Reserved {
			panic("the hot budget is short")
		}
		g.Settle(r, 0)
	}
}

// tickCost is what the controller spends each second on a budget in use, with
// many of them.
func tickCost() cost {
	l := &local{state: ledger.New(0, 1), next: map[ident.Incarnation]uint64{}}
	g := l.grants()
	for i := range foldedBudgets {
		id := ident.TeamID(fmt.Sprintf("team-%05d", i))
		l.write(2, mustRecord(ledger.KindTopUp, ledger.TopUp{Team: id, ID: "1", Tokens: 1e9}))
		r, refused := g.TryAcquire(context.Background(), id, 1e4)
		if refused != nil {
			panic(refused)
		}
		g.Settle(r, 1e3)
	}
	g.Tick(context.Background())
	return timed(1, foldedBudgets, func() { g.Tick(context.Background()) })
}

// local is a ledger of one process and no peers.
type local struct {
	state *ledger.State
	next  map[ident.Incarnation]uint64
}

// benchRouters is a fleet of three data centres with two routers each.
var benchRouters = []budget.Router{
	{Incarnation: 1}, {Incarnation: 2}, {Incarnation: 3, DataCentre: "b"},
	{Incarnation: 4, DataCentre: "b"}, {Incarnation: 5, DataCentre: "c"}, {Incarnation: 6, DataCentre: "c"},
}

func hotBudget() *budget.Grants {
	l := &local{state: ledger.New(0, 1), next: map[ident.Incarnation]uint64{}}
	l.write(2, mustRecord(ledger.KindTopUp, ledger.TopUp{Team: team, ID: "1", Tokens: 1e9}))
	g := l.grants()
	r, refused := g.TryAcquire(context.Background(), team, 1e9)
	if refused != nil {
		panic(refused)
	}
	g.Settle(r, 0)
	return g
}

func (l *local) grants() *budget.Grants {
	return budget.New(budget.Config{
		Self: 1, Ledger: l, Fleet: l, Peers: l, Logger: zerolog.Nop(),
		Policy: func(ident.TeamID) budget.Policy { return budget.Policy{Horizon: 10 * time.Minute} },
		Launch: func(task func()) { task() },
	})
}

func (l *local) write(writer ident.Incarnation, records ...record.Record) []ledger.Verdict {
	l.next[writer]++
	return l.state.Apply(l.state.Offset()+1, mustBatch(writer, l.next[writer], records))
}

// Submit is budget.Ledger.
func (l *local) Submit(_ context.Context, _ ident.TeamID, records ...record.Record) ([]ledger.Verdict, error) {
	return l.write(1, records...), nil
}

// View is budget.Ledger.
func (l *local) View(_ ident.TeamID, read func(*ledger.State)) { read(l.state) }

// Routers is budget.Fleet.
func (l *local) Routers() []budget.Router { return benchRouters }

// Sealed is budget.Fleet.
func (l *local) Sealed(ident.Incarnation) bool { return false }

// Closed is budget.Fleet.
func (l *local) Closed(ident.Incarnation) bool { return false }

// Borrow is budget.Peers.
func (l *local) Borrow(context.Context, ident.Incarnation, wire.BorrowArgs) (wire.BorrowReply, error) {
	return wire.BorrowReply{}, nil
}

// Repay is budget.Peers.
func (l *local) Repay(context.Context, ident.Incarnation, wire.RepayArgs) (wire.RepayReply, error) {
	return wire.RepayReply{}, nil
}

// foldSettlements folds batches of settlements of one gate, as a side process
// writes them.
func foldSettlements() cost {
	l := &local{state: ledger.New(0, 1), next: map[ident.Incarnation]uint64{}}
	l.write(2, mustRecord(ledger.KindTopUp, ledger.TopUp{Team: team, ID: "1", Tokens: 1e12}))
	l.write(1, mustRecord(ledger.KindDraw, ledger.Draw{Team: team, Requested: 1e12}))
	batches := make([][]byte, foldBatches)
	for i := range batches {
		batches[i] = settlements(uint64(i))
	}
	return timed(1, foldBatches*batchRecords, func() {
		for _, data := range batches {
			l.state.Apply(l.state.Offset()+1, data)
		}
	})
}

// settlements is the n-th batch of gate 3.
func settlements(n uint64) []byte {
	records := make([]record.Record, batchRecords)
	for i := range records {
		number := n*batchRecords + uint64(i) + 1
		var key ident.Key
		binary.BigEndian.PutUint64(key[:], number)
		records[i] = mustRecord(ledger.KindSettle, ledger.Settle{
			Team: team, Account: "account", Holder: 1, Router: 1, Tokens: 900,
			Run: ident.RunID{Gate: 3, Number: number}, Key: key, LowestUnsettled: number,
		})
	}
	return mustBatch(3, n+1, records)
}

// bytesPerBudget is the heap of a fold with many budgets, each with a few
// grants, by budget. The windows of billed keys and claims are not in it.
func bytesPerBudget() float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	l := &local{state: ledger.New(0, 1), next: map[ident.Incarnation]uint64{}}
	for i := range foldedBudgets {
		id := ident.TeamID(fmt.Sprintf("team-%05d", i))
		l.write(9, mustRecord(ledger.KindTopUp, ledger.TopUp{Team: id, ID: "1", Tokens: 1e6}))
		for holder := range ident.Incarnation(grantsOfBudget) {
			l.write(holder+1, mustRecord(ledger.KindDraw, ledger.Draw{Team: id, Requested: 1000}))
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(l)
	return float64(after.HeapAlloc-before.HeapAlloc) / foldedBudgets
}

func mustRecord(kind record.Kind, body any) record.Record {
	r, err := record.New(kind, body)
	if err != nil {
		panic(err)
	}
	return r
}

func mustBatch(writer ident.Incarnation, sequence uint64, records []record.Record) []byte {
	data, err := record.Marshal(record.Batch{
		Identity: record.Identity{Writer: writer, Sequence: sequence},
		Records:  records,
	})
	if err != nil {
		panic(err)
	}
	return data
}
