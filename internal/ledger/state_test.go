package ledger

import (
	"encoding/binary"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/record"
)

// script feeds entries to a fold and numbers each writer's batches.
type script struct {
	t     *testing.T
	state *State
	next  ident.Offset
	seq   map[ident.Incarnation]uint64
}

func newScript(t *testing.T) *script {
	return &script{t: t, state: New(0, 1), seq: map[ident.Incarnation]uint64{}}
}

func rec(t *testing.T, kind record.Kind, body any) record.Record {
	r, err := record.New(kind, body)
	require.NoError(t, err)
	return r
}

func (s *script) raw(data []byte) []Verdict {
	s.next++
	return s.state.Apply(s.next-1, data)
}

func (s *script) batch(writer ident.Incarnation, seq uint64, records ...record.Record) []Verdict {
	data, err := record.Marshal(record.Batch{Identity: record.Identity{Writer: writer, Sequence: seq}, Records: records})
	require.NoError(s.t, err)
	return s.raw(data)
}

// do writes one record as the writer's next batch.
func (s *script) do(writer ident.Incarnation, kind record.Kind, body any) Verdict {
	s.seq[writer]++
	return s.batch(writer, s.seq[writer], rec(s.t, kind, body))[0]
}

func run(gate ident.Incarnation, n uint64) ident.RunID { return ident.RunID{Gate: gate, Number: n} }

func key(n byte) ident.Key { return ident.Key{n} }

func TestBudgetArithmetic(t *testing.T) {
	s := newScript(t)
	require.Equal(t, Exhausted, s.do(1, KindDraw, Draw{Team: "a", Requested: 5}).Outcome)
	require.Equal(t, Accepted, s.do(1, KindTopUp, TopUp{Team: "a", ID: "x", Tokens: 100}).Outcome)
	require.Equal(t, Repeated, s.do(2, KindTopUp, TopUp{Team: "a", ID: "x", Tokens: 100}).Outcome)
	require.EqualValues(t, 70, s.do(1, KindDraw, Draw{Team: "a", Requested: 70}).Tokens)
	require.EqualValues(t, 30, s.do(2, KindDraw, Draw{Team: "a", Requested: 70, Minimum: 30}).Tokens, "the free rest")
	require.Equal(t, Exhausted, s.do(3, KindDraw, Draw{Team: "a", Requested: 1}).Outcome)
	require.EqualValues(t, 25, s.do(9, KindSettle, Settle{Team: "a", Holder: 1, Router: 1, Run: run(9, 1), Key: key(1), Tokens: 25}).Tokens)
	require.Equal(t, RefusedInvalid, s.do(1, KindReturn, Return{Team: "a", Tokens: 46}).Outcome)
	require.Equal(t, Accepted, s.do(1, KindReturn, Return{Team: "a", Tokens: 45}).Outcome)
	require.Equal(t, Budget{TopUps: 100, Billed: 25, Outstanding: 30, Free: 45}, s.state.Budget("a"))
	require.Equal(t, Grant{Holder: 1, Granted: 70, Returned: 45, Billed: 25}, s.state.Grant("a", 1))
}

func TestBillsOfBorrowers(t *testing.T) {
	s := newScript(t)
	s.do(1, KindTopUp, TopUp{Team: "a", ID: "x", Tokens: 100})
	s.do(1, KindDraw, Draw{Team: "a", Requested: 50})
	for i, router := range []ident.Incarnation{3, 1, 2, 3, 0} {
		n := byte(i + 1)
		s.do(9, KindSettle, Settle{Team: "a", Holder: 1, Router: router, Run: run(9, uint64(n)), Key: key(n), Tokens: int64(n)})
	}
	grant := s.state.Grant("a", 1)
	require.Equal(t, []BorrowerBill{{0, 5}, {2, 3}, {3, 5}}, grant.BorrowerBills)
	require.EqualValues(t, []int64{15, 8, 10, 5}, []int64{grant.Billed, grant.MaxBilledBy(2), grant.MaxBilledBy(3), grant.MaxBilledBy(4)})
}

func TestARunAndAKeyAreBilledOnce(t *testing.T) {
	s := newScript(t)
	s.do(1, KindTopUp, TopUp{Team: "a", ID: "x", Tokens: 100})
	s.do(1, KindDraw, Draw{Team: "a", Requested: 50})
	settle := func(writer ident.Incarnation, r ident.RunID, k byte, tokens int64) Verdict {
		return s.do(writer, KindSettle, Settle{Team: "a", Holder: 1, Run: r, Key: key(k), Tokens: tokens})
	}
	for _, step := range []struct {
		name    string
		verdict Verdict
		want    Outcome
		billed  int64
	}{
		{"first", settle(9, run(9, 2), 1, 10), Accepted, 10},
		{"same run by the other witness", settle(1, run(9, 2), 1, 10), Repeated, 0},
		{"same key at another gate", settle(8, run(8, 1), 1, 7), AlreadyBilled, 0},
		{"that run again", settle(1, run(8, 1), 1, 7), Repeated, 0},
		{"failed without tokens", settle(9, run(9, 1), 3, 0), Accepted, 0},
		{"its successor", settle(9, run(9, 3), 3, 5), Accepted, 5},
		{"beyond the grant", settle(9, run(9, 4), 4, 36), Accepted, 35},
		{"negative", settle(9, run(9, 5), 5, -1), RefusedInvalid, 0},
	} {
		require.Equal(t, step.want, step.verdict.Outcome, step.name)
		require.Equal(t, step.billed, step.verdict.Tokens, step.name)
	}
	require.Equal(t, Budget{TopUps: 100, Billed: 50, Free: 50, Overrun: 1}, s.state.Budget("a"))
	bill, known := s.state.BillFor(key(3))
	require.True(t, known)
	require.Equal(t, KeyBill{Run: run(9, 3), Holder: 1, Tokens: 5, Offset: 7}, bill)
	require.Equal(t, ident.NoOffset, s.state.BillHorizon())
	require.True(t, s.state.Settled(run(9, 4)))
	require.False(t, s.state.Settled(run(9, 5)))
	require.Equal(t, []span{{1, 4}}, s.state.settled[9].spans, "contiguous runs take one span")
}

func TestFloorForgetsRunsOnlyForTheGateItself(t *testing.T) {
	s := newScript(t)
	s.do(1, KindTopUp, TopUp{Team: "a", ID: "x", Tokens: 100})
	s.do(1, KindDraw, Draw{Team: "a", Requested: 50})
	s.do(1, KindSettle, Settle{Team: "a", Holder: 1, Run: run(9, 7), Key: key(1), Tokens: 1, LowestUnsettled: 6})
	require.False(t, s.state.Settled(run(9, 3)))
	s.do(9, KindSettle, Settle{Team: "a", Holder: 1, Run: run(9, 9), Key: key(2), Tokens: 1, LowestUnsettled: 6})
	require.Equal(t, []span{{1, 5}, {7, 7}, {9, 9}}, s.state.settled[9].spans)
	settle := func(n uint64, k byte) record.Record {
		return rec(t, KindSettle, Settle{Team: "a", Holder: 1, Run: run(9, n), Key: key(k), Tokens: 1, LowestUnsettled: 10})
	}
	for _, verdict := range s.batch(9, 2, settle(6, 3), settle(8, 4)) {
		require.EqualValues(t, 1, verdict.Tokens, "the floor does not reach into its own batch")
	}
	require.Equal(t, []span{{1, 9}}, s.state.settled[9].spans)
}

func TestIdentityOfBatches(t *testing.T) {
	s := newScript(t)
	top := func(id string) record.Record {
		return rec(t, KindTopUp, TopUp{Team: "a", ID: id, Tokens: 1})
	}
	for _, step := range []struct {
		writer ident.Incarnation
		seq    uint64
		want   Outcome
	}{
		{4, 2, RefusedGap}, {4, 1, Accepted}, {4, 1, Repeated}, {4, 3, RefusedGap},
		{4, 2, Accepted}, {4, 1, Repeated}, {0, 1, RefusedInvalid}, {4, 0, RefusedInvalid}, {5, 1, Accepted},
	} {
		id := string(rune('a' + s.next))
		require.Equal(t, step.want, s.batch(step.writer, step.seq, top(id))[0].Outcome, step)
	}
	require.EqualValues(t, 3, s.state.Budget("a").TopUps)
	require.EqualValues(t, 2, s.state.LastSequence(4))
}

func TestCloseFreesAndRefusesForGood(t *testing.T) {
	s := newScript(t)
	s.do(1, KindTopUp, TopUp{Team: "a", ID: "x", Tokens: 100})
	s.do(4, KindDraw, Draw{Team: "a", Requested: 60})
	s.do(6, KindDraw, Draw{Team: "a", Requested: 10})
	s.do(9, KindSettle, Settle{Team: "a", Holder: 4, Run: run(9, 1), Key: key(1), Tokens: 5})
	require.Equal(t, Accepted, s.do(1, KindClose, Close{Holder: 4}).Outcome)
	require.Equal(t, Repeated, s.do(2, KindClose, Close{Holder: 4}).Outcome)
	require.Equal(t, Budget{TopUps: 100, Billed: 5, Outstanding: 10, Free: 85}, s.state.Budget("a"))
	require.Equal(t, RefusedClosed, s.do(4, KindDraw, Draw{Team: "a", Requested: 1}).Outcome)
	require.Equal(t, RefusedClosed, s.do(9, KindSettle, Settle{Team: "a", Holder: 4, Run: run(9, 2), Key: key(2), Tokens: 5}).Outcome)
	require.EqualValues(t, 5, s.state.Budget("a").Late)
	require.Equal(t, Accepted, s.do(1, KindClose, Close{Holder: 2, Through: 7}).Outcome)
	raw, err := s.state.Snapshot()
	require.NoError(t, err)
	s.state.budgets["a"].grants = nil
	same, err := s.state.Snapshot()
	require.NoError(t, err)
	require.Equal(t, raw, same, "an empty list has one serial form")
	require.Equal(t, []span{{2, 7}}, s.state.closed.spans)
	require.EqualValues(t, 0, s.state.Budget("a").Outstanding)
	require.NotContains(t, s.state.marks, ident.Incarnation(6))
}

func TestClaims(t *testing.T) {
	s := newScript(t)
	require.Equal(t, Verdict{Outcome: Accepted, Gate: 9, Offset: 0}, s.do(1, KindClaim, Claim{Team: "a", Key: key(1), Gate: 9}))
	require.Equal(t, Verdict{Outcome: AlreadyClaimed, Gate: 9, Offset: 0}, s.do(2, KindClaim, Claim{Team: "a", Key: key(1), Gate: 8}))
	require.Equal(t, RefusedInvalid, s.do(8, KindWithdrawClaim, WithdrawClaim{Team: "a", Key: key(1)}).Outcome, "not its gate")
	require.Equal(t, Accepted, s.do(9, KindWithdrawClaim, WithdrawClaim{Team: "a", Key: key(1)}).Outcome)
	require.Equal(t, Accepted, s.do(2, KindClaim, Claim{Team: "a", Key: key(1), Gate: 8}).Outcome)
	holder, known := s.state.Claim(key(1))
	require.True(t, known)
	require.EqualValues(t, 8, holder.Gate)
}

func TestLevels(t *testing.T) {
	s := newScript(t)
	above := rec(t, KindTopUp, TopUp{Team: "a", ID: "x", Tokens: 1})
	above.Level = MaxLevel + 1
	require.Equal(t, RefusedLevel, s.batch(1, 1, above)[0].Outcome)
	unknown := rec(t, 99, TopUp{})
	require.Equal(t, RefusedInvalid, s.batch(1, 2, unknown)[0].Outcome)
	broken := record.Record{Kind: KindDraw, Level: 1, Body: []byte{0xc1}}
	require.Equal(t, RefusedInvalid, s.batch(1, 3, broken)[0].Outcome)
	require.Nil(t, s.raw([]byte{0xc1, 7}), "an entry that is no batch")
	require.Equal(t, s.next-1, s.state.Offset())
	require.Nil(t, s.state.Apply(s.next-1, nil), "an offset that was applied")
	require.Nil(t, s.state.Apply(0, nil))
	require.Equal(t, s.next-1, s.state.Offset(), "offsets never go back")
	require.Equal(t, Accepted, s.batch(1, 4, rec(t, KindRaiseLevel, RaiseLevel{Level: MaxLevel + 1}))[0].Outcome)
	require.False(t, s.state.Supported())
	stands := s.state.Offset()
	require.Nil(t, s.batch(1, 5, above))
	require.Equal(t, stands, s.state.Offset(), "the state stands still")
	raw, err := s.state.Snapshot()
	require.NoError(t, err)
	_, err = Load(raw)
	require.Error(t, err)
}

func TestAnotherShardsTeamIsRefused(t *testing.T) {
	for shard := range 3 {
		state := New(shard, 3)
		batch := record.Batch{Identity: record.Identity{Writer: 1, Sequence: 1},
			Records: []record.Record{rec(t, KindTopUp, TopUp{Team: "a", ID: "x", Tokens: 1})}}
		data, err := record.Marshal(batch)
		require.NoError(t, err)
		mine := ShardOf("a", 3) == shard
		require.Equal(t, mine, state.Apply(0, data)[0].Outcome == Accepted)
	}
}

func TestWindowForgetsTheOldestAndSurvivesASnapshot(t *testing.T) {
	w, copied := newWindow[struct{}](3), newWindow[struct{}](3)
	for n := byte(1); n <= 4; n++ {
		w.put(key(n), struct{}{})
	}
	w.remove(key(3))
	w.each(func(k ident.Key, v struct{}) { copied.put(k, v) })
	for n := byte(5); n <= 20; n++ {
		if n%3 == 0 {
			w.remove(key(n - 1))
			copied.remove(key(n - 1))
		}
		w.put(key(n), struct{}{})
		copied.put(key(n), struct{}{})
		require.Equal(t, keysOf(&w), keysOf(&copied))
		require.LessOrEqual(t, len(w.queue), 7)
	}
}

func TestBillHorizon(t *testing.T) {
	s := New(0, 1)
	for n := range BilledKeyWindow + 3 {
		var k ident.Key
		binary.BigEndian.PutUint64(k[:], uint64(n)+1)
		s.remember(k, KeyBill{Offset: ident.Offset(n)})
	}
	require.EqualValues(t, 2, s.BillHorizon())
}

func TestRangeSetAgainstAMap(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		var set rangeSet
		want := map[uint64]bool{}
		for range 30 {
			from := rng.Uint64N(60)
			to := from + rng.Uint64N(4)
			set.add(from, to)
			for n := from; n <= to; n++ {
				want[n] = true
			}
		}
		for n := range uint64(70) {
			require.Equal(t, want[n], set.has(n), "%d in %v", n, set.spans)
		}
		for i := 1; i < len(set.spans); i++ {
			require.Greater(t, set.spans[i].From, set.spans[i-1].To+1)
		}
	}
}

// TestSnapshotContinuesTheFold cuts random logs at every offset.
func TestSnapshotContinuesTheFold(t *testing.T) {
	for seed := range uint64(20) {
		log := randomLog(t, seed, 60)
		whole := New(0, 1)
		for offset, data := range log {
			whole.Apply(ident.Offset(offset), data)
		}
		for cut := range log {
			first := New(0, 1)
			for offset, data := range log[:cut] {
				first.Apply(ident.Offset(offset), data)
			}
			raw, err := first.Snapshot()
			require.NoError(t, err)
			second, err := Load(raw)
			require.NoError(t, err)
			require.Equal(t, first.Hash(), second.Hash())
			for offset, data := range log {
				second.Apply(ident.Offset(offset), data) // those before the cut are ignored
			}
			require.Equal(t, whole.Hash(), second.Hash(), "seed %d cut %d", seed, cut)
		}
	}
}

func randomLog(t *testing.T, seed uint64, n int) [][]byte {
	rng := rand.New(rand.NewPCG(seed, 7))
	team := func() ident.TeamID { return ident.TeamID([]string{"a", "b", "c"}[rng.IntN(3)]) }
	who := func() ident.Incarnation { return ident.Incarnation(1 + rng.IntN(5)) }
	tokens := func() int64 { return rng.Int64N(50) }
	bodies := []func() record.Record{
		func() record.Record {
			return rec(t, KindTopUp, TopUp{Team: team(), ID: string(rune('a' + rng.IntN(9))), Tokens: tokens()})
		},
		func() record.Record { return rec(t, KindDraw, Draw{Team: team(), Requested: tokens()}) },
		func() record.Record { return rec(t, KindReturn, Return{Team: team(), Tokens: tokens()}) },
		func() record.Record {
			return rec(t, KindSettle, Settle{Team: team(), Holder: who(), Router: who() - 1, Run: run(who(), rng.Uint64N(9)), Key: key(byte(rng.IntN(9))), Tokens: tokens()})
		},
		func() record.Record {
			return rec(t, KindClaim, Claim{Team: team(), Key: key(byte(rng.IntN(9))), Gate: who()})
		},
		func() record.Record { return rec(t, KindWithdrawClaim, WithdrawClaim{Key: key(byte(rng.IntN(9)))}) },
		func() record.Record { return rec(t, KindCheckpoint, []byte("chunk")) },
	}
	seq := map[ident.Incarnation]uint64{}
	var log [][]byte
	for range n {
		writer := who()
		seq[writer] += uint64(rng.IntN(8)) / 2 % 2 // one in two is a repeat
		records := []record.Record{bodies[rng.IntN(len(bodies))](), bodies[rng.IntN(len(bodies))]()}
		if rng.IntN(25) == 0 {
			records = append(records, rec(t, KindClose, Close{Holder: who()}))
		}
		data, err := record.Marshal(record.Batch{Identity: record.Identity{Writer: writer, Sequence: seq[writer]}, Records: records})
		require.NoError(t, err)
		log = append(log, data)
	}
	return log
}
