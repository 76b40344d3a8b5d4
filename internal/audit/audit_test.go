package audit

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/memlog"
	"github.com/camphorlever/camphorlever/internal/record"
)

const (
	team   ident.TeamID      = "sextons"
	router ident.Incarnation = 1
	gate   ident.Incarnation = 2
)

func TestReportMatchesTheFold(t *testing.T) {
	log := memlog.New()
	sequences := map[ident.Incarnation]uint64{}
	write := func(writer ident.Incarnation, kind record.Kind, body any) {
		rec, err := record.New(kind, body)
		require.NoError(t, err)
		sequences[writer]++
		raw, err := record.Marshal(record.Batch{
			Identity: record.Identity{Writer: writer, Sequence: sequences[writer]},
			Records:  []record.Record{rec},
		})
		require.NoError(t, err)
		_, err = log.Append(t.Context(), ledger.StreamOf(0), raw)
		require.NoError(t, err)
	}
	settle := func(run uint64, key string, tokens int64) {
		write(gate, ledger.KindSettle, ledger.Settle{
			Team: team, Holder: router, Router: router, Tokens: tokens,
			Run: ident.RunID{Gate: gate, Number: run}, Key: ident.HashKey(team, key),
		})
	}
	write(router, ledger.KindTopUp, ledger.TopUp{Team: team, ID: "a", Tokens: 100})
	write(router, ledger.KindDraw, ledger.Draw{Team: team, Requested: 60, Minimum: 1})
	settle(1, "x", 20)
	settle(2, "x", 20) // a second run of the same key is not billed
	log.DuplicateNext(1)
	settle(3, "y", 10) // appended twice, billed once
	settle(4, "failed", 0)
	_, err := log.Append(t.Context(), ledger.StreamOf(0), []byte("no batch"))
	require.NoError(t, err)

	report, err := Read(t.Context(), log, 1)
	require.NoError(t, err)
	require.Len(t, report.Runs, 2)
	for key, want := range map[string]int{"x": 1, "y": 1, "failed": 0, "other": 0} {
		require.Equal(t, want, report.TimesBilled(ident.HashKey(team, key)), key)
	}
	require.Equal(t, int64(30), report.Teams[team].Billed)
	require.Equal(t, int64(30), report.OutstandingTokens())
	require.Len(t, report.OpenGrants[team], 1)
	require.Zero(t, report.Overspend())

	settle(5, "z", 1000) // exceeds its grant
	report, err = Read(t.Context(), log, 1)
	require.NoError(t, err)
	require.Equal(t, int64(970), report.Overspend())

	log.SetRetention(3)
	_, err = Read(t.Context(), log, 1)
	require.Error(t, err, "a ledger whose beginning was removed cannot be audited")
}
