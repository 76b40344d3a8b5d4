package side

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/node"
	"github.com/camphorlever/camphorlever/internal/record"
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

// fencedLedger is a ledger to which the process may not write any more.
type fencedLedger struct{}

func (fencedLedger) Shards() int { return 1 }

func (fencedLedger) SubmitShard(context.Context, int, ...record.Record) ([]ledger.Verdict, error) {
	return nil, stream.ErrFenced
}

// A side process that has lost its incarnation must be able to stop: it may not wait
// for settlements that it can never write.
func TestSettlementsOfAFencedProcessAreGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settler := NewSettler(fencedLedger{}, func() int { return 1 }, zerolog.Nop())
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go settler.Run(ctx)
		ended := make(chan struct{})
		settler.Settle(ledger.Settle{Team: team, Run: ident.RunID{Gate: 1, Number: 1}}, func() { close(ended) })
		select {
		case <-ended:
		case <-time.After(time.Minute):
			t.Fatal("the settlement is still waited for")
		}
	})
}
