package capacity

import (
	"strconv"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/measure"
	"github.com/camphorlever/camphorlever/internal/record"
)

// settlementsPerBatch is how many settlements one batch of the measurement has.
const settlementsPerBatch = 50

const (
	measureHolder ident.Incarnation = 10
	measureGate   ident.Incarnation = 11
	budgetTokens                    = int64(1) << 40
)

// count writes a size without a fraction.
func count(size float64) string {
	return strconv.Itoa(int(size))
}

func teamID(i int) ident.TeamID {
	return ident.TeamID("team-" + strconv.Itoa(i))
}

// logWriter builds the log entries of one writer.
type logWriter struct {
	writer   ident.Incarnation
	sequence uint64
}

func (w *logWriter) entry(records ...record.Record) ([]byte, error) {
	w.sequence++
	id := record.Identity{Writer: w.writer, Sequence: w.sequence}
	return record.Marshal(record.Batch{Identity: id, Records: records})
}

// ledgerOf returns a shard with budgets that are topped up and drawn from.
func ledgerOf(budgets int) (*ledger.State, error) {
	state := ledger.New(0, 1)
	writer := logWriter{writer: measureHolder}
	for i := range budgets {
		topUp, err := record.New(ledger.KindTopUp, ledger.TopUp{Team: teamID(i), ID: "first", Tokens: budgetTokens, Author: "treasurer"})
		if err != nil {
			return nil, err
		}
		draw, err := record.New(ledger.KindDraw, ledger.Draw{Team: teamID(i), Requested: budgetTokens / 2, Minimum: 1})
		if err != nil {
			return nil, err
		}
		data, err := writer.entry(topUp, draw)
		if err != nil {
			return nil, err
		}
		state.Apply(state.Offset()+1, data)
	}
	return state, nil
}

// settlementEntries returns batches of settlements spread over the budgets.
func settlementEntries(budgets, batches int) ([][]byte, error) {
	writer := logWriter{writer: measureGate}
	entries := make([][]byte, 0, batches)
	number := uint64(0)
	for range batches {
		records := make([]record.Record, 0, settlementsPerBatch)
		for range settlementsPerBatch {
			number++
			settle, err := record.New(ledger.KindSettle, settlement(number, budgets))
			if err != nil {
				return nil, err
			}
			records = append(records, settle)
		}
		data, err := writer.entry(records...)
		if err != nil {
			return nil, err
		}
		entries = append(entries, data)
	}
	return entries, nil
}

func settlement(number uint64, budgets int) ledger.Settle {
	key := strconv.FormatUint(number, 10)
	team := teamID(int(number) % budgets)
	return ledger.Settle{
		Team:    team,
		Account: "web",
		Holder:  measureHolder,
		Run:     ident.RunID{Gate: measureGate, Number: number},
		Key:     ident.HashKey(team, key),
		Tokens:  300,
	}
}

// ledgerSlopes measures the fold of one shard.
func ledgerSlopes(emit measure.Emit, s *slopes) error {
	sizes := []int{250, 500, 1000, 2000, 4000}
	memory := make([]point, 0, len(sizes))
	for _, size := range sizes {
		var err error
		bytes := heapOf(func() any {
			state, buildErr := ledgerOf(size)
			err = buildErr
			return state
		})
		if err != nil {
			return err
		}
		memory = append(memory, point{float64(size), bytes})
	}
	s.budgetBytes = fit(memory)
	s.budgetBytes.emit(emit, "capacity.ledger_heap", "bytes", memory)
	return settlementCost(emit, s)
}

// settlementCost measures time and log bytes of one settlement.
func settlementCost(emit measure.Emit, s *slopes) error {
	const budgets, batches = 1000, 400
	entries, err := settlementEntries(budgets, batches)
	if err != nil {
		return err
	}
	state, err := ledgerOf(budgets)
	if err != nil {
		return err
	}
	base := state.Offset() + 1
	perBatch := nsPer(1, func(int) {
		fresh, loadErr := ledgerOf(budgets)
		if loadErr == nil {
			state = fresh
		}
	})
	whole := nsPer(1, func(int) {
		fresh, loadErr := ledgerOf(budgets)
		if loadErr != nil {
			return
		}
		for i, data := range entries {
			fresh.Apply(base+ident.Offset(i), data)
		}
		state = fresh
	})
	records := float64(batches * settlementsPerBatch)
	total := 0
	for _, data := range entries {
		total += len(data)
	}
	s.settleNs = (whole - perBatch) / records
	s.settleBytes = float64(total) / records
	emit("capacity.settlement_fold", s.settleNs, "ns")
	emit("capacity.settlement_log", s.settleBytes, "bytes")
	return nil
}
