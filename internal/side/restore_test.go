package side

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/node"
	"github.com/camphorlever/camphorlever/internal/stream"
)

// The gate is the only process that knows what a run has used. If it forgets a
// settlement that the log has lost, the run is never billed.
func TestSettlementLostInARestoreIsBilledAgain(t *testing.T) {
	withFixture(t, func(t *testing.T, f *fixture) {
		older := f.log.Copy()
		_, answer := f.begin(f.request("key", 10))
		_, _, err := answer.readAll()
		require.ErrorIs(t, err, io.EOF)
		f.eventually(time.Minute, "run is billed", func() bool { return f.billedTokens() == 14 })
		f.log.Restore(older)
		time.Sleep(5 * time.Minute)
		fold, err := stream.Rebuild(t.Context(), f.log, node.LedgerSpec(0, 1))
		require.NoError(t, err)
		require.EqualValues(t, 14, fold.Budget(team).Billed)
		require.Zero(t, fold.Budget(team).Overrun)
		require.Equal(t, budget-14, fold.Budget(team).Outstanding)
		var grant ledger.Grant
		f.router.Ledger().View(team, func(s *ledger.State) { grant = s.Grant(team, f.router.Incarnation()) })
		require.Equal(t, fold.Grant(team, f.router.Incarnation()), grant)
	})
}
