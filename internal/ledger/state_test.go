package ledger

import (
	"encoding/binary"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/record"
)

// logWriter applies entries to a fold and numbers each writer's batches.
type logWriter struct {
	t          *testing.T
	state      *State
	nextOffset ident.Offset
	sequences  map[ident.Incarnation]uint64
}

// newLogWriter returns a logWriter for a fleet with one shard.
func newLogWriter(t *testing.T) *logWriter {
	return &logWriter{t: t, state: New(0, 1), sequences: map[ident.Incarnation]uint64{}}
}

func newRecord(t *testing.T, kind record.Kind, body any) record.Record {
	r, err := record.New(kind, body)
	require.NoError(t, err)
	return r
}

func (s *logWriter) applyEntry(data []byte) []Verdict {
	s.nextOffset++
	return s.state.Apply(s.nextOffset-1, data)
}

func (s *logWriter) applyBatch(writer ident.Incarnation, seq uint64, records ...record.Record) []Verdict {
	data, err := record.Marshal(record.Batch{Identity: record.Identity{Writer: writer, Sequence: seq}, Records: records})
	require.NoError(s.t, err)
	return s.applyEntry(data)
}

// applyNext applies one record as the writer's next batch.
func (s *logWriter) applyNext(writer ident.Incarnation, kind record.Kind, body any) Verdict {
	s.sequences[writer]++
	return s.applyBatch(writer, s.sequences[writer], newRecord(s.t, kind, body))[0]
}

func testRun(gate ident.Incarnation, n uint64) ident.RunID { return ident.RunID{Gate: gate, Number: n} }

func testKey(n byte) ident.Key { return ident.Key{n} }

func TestBudgetArithmetic(t *testing.T) {
	s := newLogWriter(t)
	require.Equal(t, Exhausted, s.applyNext(1, KindDraw, Draw{Team: "a", Requested: 5}).Outcome)
	require.Equal(t, Accepted, s.applyNext(1, KindTopUp, TopUp{Team: "a", ID: "x", Tokens: 100}).Outcome)
	require.Equal(t, Repeated, s.applyNext(2, KindTopUp, TopUp{Team: "a", ID: "x", Tokens: 100}).Outcome)
	require.EqualValues(t, 70, s.applyNext(1, KindDraw, Draw{Team: "a", Requested: 70}).Tokens)
	require.EqualValues(t, 30, s.applyNext(2, KindDraw, Draw{Team: "a", Requested: 70, Minimum: 30}).Tokens, "a draw is granted what is free")
	require.Equal(t, Exhausted, s.applyNext(3, KindDraw, Draw{Team: "a", Requested: 1}).Outcome)
	require.EqualValues(t, 25, s.applyNext(9, KindSettle, Settle{Team: "a", Holder: 1, Router: 1, Run: testRun(9, 1), Key: testKey(1), Tokens: 25}).Tokens)
	require.Equal(t, RefusedInvalid, s.applyNext(1, KindReturn, Return{Team: "a", Tokens: 46}).Outcome)
	require.Equal(t, Accepted, s.applyNext(1, KindReturn, Return{Team: "a", Tokens: 45}).Outcome)
	require.Equal(t, Budget{TopUps: 100, Billed: 25, Outstanding: 30, Free: 45}, s.state.Budget("a"))
	require.Equal(t, Grant{Holder: 1, Granted: 70, Returned: 45, Billed: 25}, s.state.Grant("a", 1))
}

func TestSettlementsOfBorrowersAreRecordedPerRouter(t *testing.T) {
	s := newLogWriter(t)
	s.applyNext(1, KindTopUp, TopUp{Team: "a", ID: "x", Tokens: 100})
	s.applyNext(1, KindDraw, Draw{Team: "a", Requested: 50})
	for i, router := range []ident.Incarnation{3, 1, 2, 3, 0} {
		n := byte(i + 1)
		s.applyNext(9, KindSettle, Settle{Team: "a", Holder: 1, Router: router, Run: testRun(9, uint64(n)), Key: testKey(n), Tokens: int64(n)})
	}
	grant := s.state.Grant("a", 1)
	require.Equal(t, []BorrowerBill{{0, 5}, {2, 3}, {3, 5}}, grant.BorrowerBills)
	require.EqualValues(t, []int64{15, 8, 10, 5}, []int64{grant.Billed, grant.MaxBilledBy(2), grant.MaxBilledBy(3), grant.MaxBilledBy(4)})
}

func TestRunAndKeyAreBilledOnce(t *testing.T) {
	s := newLogWriter(t)
	s.applyNext(1, KindTopUp, TopUp{Team: "a", ID: "x", Tokens: 100})
	s.applyNext(1, KindDraw, Draw{Team: "a", Requested: 50})
	settle := func(writer ident.Incarnation, r ident.RunID, k byte, tokens int64) Verdict {
		return s.applyNext(writer, KindSettle, Settle{Team: "a", Holder: 1, Run: r, Key: testKey(k), Tokens: tokens})
	}
	for _, step := range []struct {
		name    string
		verdict Verdict
		want    Outcome
		billed  int64
	}{
		{"first", settle(9, testRun(9, 2), 1, 10), Accepted, 10},
		{"same run settled by another settler", settle(1, testRun(9, 2), 1, 10), Repeated, 0},
		{"second run of the key at another gate", settle(8, testRun(8, 1), 1, 7), AlreadyBilled, 0},
		{"second run settled again", settle(1, testRun(8, 1), 1, 7), Repeated, 0},
		{"failed run without tokens", settle(9, testRun(9, 1), 3, 0), Accepted, 0},
		{"next run of the same key", settle(9, testRun(9, 3), 3, 5), Accepted, 5},
		{"more than the grant has left", settle(9, testRun(9, 4), 4, 36), Accepted, 35},
		{"negative tokens", settle(9, testRun(9, 5), 5, -1), RefusedInvalid, 0},
	} {
		require.Equal(t, step.want, step.verdict.Outcome, step.name)
		require.Equal(t, step.billed, step.verdict.Tokens, step.name)
	}
	require.Equal(t, Budget{TopUps: 100, Billed: 50, Free: 50, Overrun: 1}, s.state.Budget("a"))
	bill, known := s.state.BillFor(testKey(3))
	require.True(t, known)
	require.Equal(t, KeyBill{Run: testRun(9, 3), Holder: 1, Tokens: 5, Offset: 7}, bill)
	require.Equal(t, ident.NoOffset, s.state.BillHorizon())
	require.True(t, s.state.Settled(testRun(9, 4)))
	require.False(t, s.state.Settled(testRun(9, 5)))
	require.Equal(t, []span{{1, 4}}, s.state.settled[9].spans, "contiguous runs are stored as one span")
}

func TestLowestUnsettledAppliesOnlyFromTheGateItself(t *testing.T) {
	s := newLogWriter(t)
	s.applyNext(1, KindTopUp, TopUp{Team: "a", ID: "x", Tokens: 100})
	s.applyNext(1, KindDraw, Draw{Team: "a", Requested: 50})
	s.applyNext(1, KindSettle, Settle{Team: "a", Holder: 1, Run: testRun(9, 7), Key: testKey(1), Tokens: 1, LowestUnsettled: 6})
	require.False(t, s.state.Settled(testRun(9, 3)))
	s.applyNext(9, KindSettle, Settle{Team: "a", Holder: 1, Run: testRun(9, 9), Key: testKey(2), Tokens: 1, LowestUnsettled: 6})
	require.Equal(t, []span{{1, 5}, {7, 7}, {9, 9}}, s.state.settled[9].spans)
	settle := func(n uint64, k byte) record.Record {
		return newRecord(t, KindSettle, Settle{Team: "a", Holder: 1, Run: testRun(9, n), Key: testKey(k), Tokens: 1, LowestUnsettled: 10})
	}
	for _, verdict := range s.applyBatch(9, 2, settle(6, 3), settle(8, 4)) {
		require.EqualValues(t, 1, verdict.Tokens, "LowestUnsettled takes effect only after its own batch")
	}
	require.Equal(t, []span{{1, 9}}, s.state.settled[9].spans)
}

func TestBatchSequenceIsChecked(t *testing.T) {
	s := newLogWriter(t)
	topUp := func(id string) record.Record {
		return newRecord(t, KindTopUp, TopUp{Team: "a", ID: id, Tokens: 1})
	}
	for _, step := range []struct {
		writer ident.Incarnation
		seq    uint64
		want   Outcome
	}{
		{4, 2, RefusedGap}, {4, 1, Accepted}, {4, 1, Repeated}, {4, 3, RefusedGap},
		{4, 2, Accepted}, {4, 1, Repeated}, {0, 1, RefusedInvalid}, {4, 0, RefusedInvalid}, {5, 1, Accepted},
	} {
		id := string(rune('a' + s.nextOffset))
		require.Equal(t, step.want, s.applyBatch(step.writer, step.seq, topUp(id))[0].Outcome, step)
	}
	require.EqualValues(t, 3, s.state.Budget("a").TopUps)
	require.EqualValues(t, 2, s.state.LastSequence(4))
}

func TestCloseFreesGrantAndRefusesLaterRecords(t *testing.T) {
	s := newLogWriter(t)
	s.applyNext(1, KindTopUp, TopUp{Team: "a", ID: "x", Tokens: 100})
	s.applyNext(4, KindDraw, Draw{Team: "a", Requested: 60})
	s.applyNext(6, KindDraw, Draw{Team: "a", Requested: 10})
	s.applyNext(9, KindSettle, Settle{Team: "a", Holder: 4, Run: testRun(9, 1), Key: testKey(1), Tokens: 5})
	require.Equal(t, Accepted, s.applyNext(1, KindClose, Close{Holder: 4}).Outcome)
	require.Equal(t, Repeated, s.applyNext(2, KindClose, Close{Holder: 4}).Outcome)
	require.Equal(t, Budget{TopUps: 100, Billed: 5, Outstanding: 10, Free: 85}, s.state.Budget("a"))
	require.Equal(t, RefusedClosed, s.applyNext(4, KindDraw, Draw{Team: "a", Requested: 1}).Outcome)
	require.Equal(t, RefusedClosed, s.applyNext(9, KindSettle, Settle{Team: "a", Holder: 4, Run: testRun(9, 2), Key: testKey(2), Tokens: 5}).Outcome)
	require.EqualValues(t, 5, s.state.Budget("a").Late)
	require.Equal(t, Accepted, s.applyNext(1, KindClose, Close{Holder: 2, Through: 7}).Outcome)
	raw, err := s.state.Snapshot()
	require.NoError(t, err)
	s.state.budgets["a"].grants = nil
	same, err := s.state.Snapshot()
	require.NoError(t, err)
	require.Equal(t, raw, same, "nil and empty lists encode alike")
	require.Equal(t, []span{{2, 7}}, s.state.closed.spans)
	require.EqualValues(t, 0, s.state.Budget("a").Outstanding)
	require.NotContains(t, s.state.lastSequences, ident.Incarnation(6))
}

func TestFirstClaimWinsUntilWithdrawn(t *testing.T) {
	s := newLogWriter(t)
	require.Equal(t, Verdict{Outcome: Accepted, Gate: 9, Offset: 0}, s.applyNext(1, KindClaim, Claim{Team: "a", Key: testKey(1), Gate: 9}))
	require.Equal(t, Verdict{Outcome: AlreadyClaimed, Gate: 9, Offset: 0}, s.applyNext(2, KindClaim, Claim{Team: "a", Key: testKey(1), Gate: 8}))
	require.Equal(t, RefusedInvalid, s.applyNext(8, KindWithdrawClaim, WithdrawClaim{Team: "a", Key: testKey(1)}).Outcome, "only the claiming gate may withdraw")
	require.Equal(t, Accepted, s.applyNext(9, KindWithdrawClaim, WithdrawClaim{Team: "a", Key: testKey(1)}).Outcome)
	require.Equal(t, Accepted, s.applyNext(2, KindClaim, Claim{Team: "a", Key: testKey(1), Gate: 8}).Outcome)
	holder, known := s.state.Claim(testKey(1))
	require.True(t, known)
	require.EqualValues(t, 8, holder.Gate)
}

func TestUnsupportedLevelStopsTheFold(t *testing.T) {
	s := newLogWriter(t)
	above := newRecord(t, KindTopUp, TopUp{Team: "a", ID: "x", Tokens: 1})
	above.Level = MaxLevel + 1
	require.Equal(t, RefusedLevel, s.applyBatch(1, 1, above)[0].Outcome)
	unknown := newRecord(t, 99, TopUp{})
	require.Equal(t, RefusedInvalid, s.applyBatch(1, 2, unknown)[0].Outcome)
	broken := record.Record{Kind: KindDraw, Level: 1, Body: []byte{0xc1}}
	require.Equal(t, RefusedInvalid, s.applyBatch(1, 3, broken)[0].Outcome)
	require.Nil(t, s.applyEntry([]byte{0xc1, 7}), "entry is not a batch")
	require.Equal(t, s.nextOffset-1, s.state.Offset())
	require.Nil(t, s.state.Apply(s.nextOffset-1, nil), "entry was applied before")
	require.Nil(t, s.state.Apply(0, nil))
	require.Equal(t, s.nextOffset-1, s.state.Offset(), "the offset never decreases")
	require.Equal(t, Accepted, s.applyBatch(1, 4, newRecord(t, KindRaiseLevel, RaiseLevel{Level: MaxLevel + 1}))[0].Outcome)
	require.False(t, s.state.Supported())
	lastOffset := s.state.Offset()
	require.Nil(t, s.applyBatch(1, 5, above))
	require.Equal(t, lastOffset, s.state.Offset(), "no entry is applied above MaxLevel")
	raw, err := s.state.Snapshot()
	require.NoError(t, err)
	_, err = Load(raw)
	require.Error(t, err)
}

func TestTeamOfAnotherShardIsRefused(t *testing.T) {
	for shard := range 3 {
		state := New(shard, 3)
		batch := record.Batch{Identity: record.Identity{Writer: 1, Sequence: 1},
			Records: []record.Record{newRecord(t, KindTopUp, TopUp{Team: "a", ID: "x", Tokens: 1})}}
		data, err := record.Marshal(batch)
		require.NoError(t, err)
		mine := ShardOf("a", 3) == shard
		require.Equal(t, mine, state.Apply(0, data)[0].Outcome == Accepted)
	}
}

func TestWindowEvictsOldestAndCanBeCopied(t *testing.T) {
	w, copied := newWindow[struct{}](3), newWindow[struct{}](3)
	for n := byte(1); n <= 4; n++ {
		w.put(testKey(n), struct{}{})
	}
	w.remove(testKey(3))
	w.each(func(k ident.Key, v struct{}) { copied.put(k, v) })
	for n := byte(5); n <= 20; n++ {
		if n%3 == 0 {
			w.remove(testKey(n - 1))
			copied.remove(testKey(n - 1))
		}
		w.put(testKey(n), struct{}{})
		copied.put(testKey(n), struct{}{})
		require.Equal(t, windowKeys(&w), windowKeys(&copied))
		require.LessOrEqual(t, len(w.queue), 7)
	}
}

func TestBillHorizonIsNewestForgottenBill(t *testing.T) {
	s := New(0, 1)
	for n := range BilledKeyWindow + 3 {
		var k ident.Key
		binary.BigEndian.PutUint64(k[:], uint64(n)+1)
		s.recordBill(k, KeyBill{Offset: ident.Offset(n)})
	}
	require.EqualValues(t, 2, s.BillHorizon())
}

func TestRangeSetMatchesMap(t *testing.T) {
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
			require.Equal(t, want[n], set.contains(n), "%d in %v", n, set.spans)
		}
		for i := 1; i < len(set.spans); i++ {
			require.Greater(t, set.spans[i].From, set.spans[i-1].To+1)
		}
	}
}

// TestFoldContinuesFromSnapshot loads a snapshot taken at every offset of random
// logs, then applies the rest: the result must equal an uninterrupted fold.
func TestFoldContinuesFromSnapshot(t *testing.T) {
	for seed := range uint64(20) {
		log := randomLog(t, seed, 60)
		uninterrupted := New(0, 1)
		for offset, data := range log {
			uninterrupted.Apply(ident.Offset(offset), data)
		}
		for cut := range log {
			before := New(0, 1)
			for offset, data := range log[:cut] {
				before.Apply(ident.Offset(offset), data)
			}
			raw, err := before.Snapshot()
			require.NoError(t, err)
			restored, err := Load(raw)
			require.NoError(t, err)
			require.Equal(t, before.Hash(), restored.Hash())
			for offset, data := range log {
				restored.Apply(ident.Offset(offset), data) // entries covered by the snapshot are ignored
			}
			require.Equal(t, uninterrupted.Hash(), restored.Hash(), "seed %d cut %d", seed, cut)
		}
	}
}

// randomLog returns n entries with random records, some of them repeated batches.
func randomLog(t *testing.T, seed uint64, n int) [][]byte {
	rng := rand.New(rand.NewPCG(seed, 7))
	team := func() ident.TeamID { return ident.TeamID([]string{"a", "b", "c"}[rng.IntN(3)]) }
	randomIncarnation := func() ident.Incarnation { return ident.Incarnation(1 + rng.IntN(5)) }
	tokens := func() int64 { return rng.Int64N(50) }
	bodies := []func() record.Record{
		func() record.Record {
			return newRecord(t, KindTopUp, TopUp{Team: team(), ID: string(rune('a' + rng.IntN(9))), Tokens: tokens()})
		},
		func() record.Record { return newRecord(t, KindDraw, Draw{Team: team(), Requested: tokens()}) },
		func() record.Record { return newRecord(t, KindReturn, Return{Team: team(), Tokens: tokens()}) },
		func() record.Record {
			return newRecord(t, KindSettle, Settle{Team: team(), Holder: randomIncarnation(), Router: randomIncarnation() - 1, Run: testRun(randomIncarnation(), rng.Uint64N(9)), Key: testKey(byte(rng.IntN(9))), Tokens: tokens()})
		},
		func() record.Record {
			return newRecord(t, KindClaim, Claim{Team: team(), Key: testKey(byte(rng.IntN(9))), Gate: randomIncarnation()})
		},
		func() record.Record {
			return newRecord(t, KindWithdrawClaim, WithdrawClaim{Key: testKey(byte(rng.IntN(9)))})
		},
		func() record.Record { return newRecord(t, KindCheckpoint, []byte("chunk")) },
	}
	seq := map[ident.Incarnation]uint64{}
	var log [][]byte
	for range n {
		writer := randomIncarnation()
		seq[writer] += uint64(rng.IntN(8)) / 2 % 2 // about half of the batches repeat a sequence
		records := []record.Record{bodies[rng.IntN(len(bodies))](), bodies[rng.IntN(len(bodies))]()}
		if rng.IntN(25) == 0 {
			records = append(records, newRecord(t, KindClose, Close{Holder: randomIncarnation()}))
		}
		data, err := record.Marshal(record.Batch{Identity: record.Identity{Writer: writer, Sequence: seq[writer]}, Records: records})
		require.NoError(t, err)
		log = append(log, data)
	}
	return log
}
