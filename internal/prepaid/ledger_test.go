package prepaid

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/logservice"
)

const stream = logservice.Stream("budgets")

func newTestLedger(log Log, incarnation string) *Ledger {
	return NewLedger(log, stream, incarnation, zerolog.Nop())
}

func TestDrawsNeverExceedPaidTokens(t *testing.T) {
	ctx := context.Background()
	log := &fakeLog{}
	a, b := newTestLedger(log, "a"), newTestLedger(log, "b")
	draw := func(l *Ledger, tokens int64) Result {
		results, err := l.Apply(ctx, []Change{{Account: "maps", Paid: 100, SettingsVersion: 1, Draw: tokens}})
		require.NoError(t, err)
		return results[0]
	}
	require.EqualValues(t, 60, draw(a, 60).Granted)
	require.EqualValues(t, 40, draw(b, 60).Granted, "b has not read the draw of a, and must not draw the same tokens")
	require.Zero(t, draw(a, 1).Granted)
	_, err := a.Apply(ctx, []Change{{Account: "maps", Paid: 100, SettingsVersion: 1, Return: 10}})
	require.NoError(t, err)
	require.EqualValues(t, 10, draw(b, 50).Granted)
}

func TestOlderSettingsDoNotLowerPaidTotal(t *testing.T) {
	ctx := context.Background()
	log := &fakeLog{}
	a, b := newTestLedger(log, "a"), newTestLedger(log, "b")
	results, err := a.Apply(ctx, []Change{{Account: "maps", Paid: 150, SettingsVersion: 2, Draw: 100}})
	require.NoError(t, err)
	require.EqualValues(t, 100, results[0].Granted)
	results, err = b.Apply(ctx, []Change{{Account: "maps", Paid: 120, SettingsVersion: 1, Draw: 100}})
	require.NoError(t, err)
	require.EqualValues(t, 50, results[0].Granted, "a has written the top-up, so it counts for b too")
	results, err = b.Apply(ctx, []Change{{Account: "maps", Paid: 90, SettingsVersion: 3, Draw: 1}})
	require.NoError(t, err)
	require.Zero(t, results[0].Granted, "a newer version lowers the total")
	require.EqualValues(t, -60, results[0].FreeBefore)
}

func TestAppendOutcomeIsReadBackAfterLostReply(t *testing.T) {
	for name, done := range map[string]bool{"done": true, "not done": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := &firstReplyLostLog{fakeLog: &fakeLog{}, done: done}
				results, err := newTestLedger(log, "a").Apply(context.Background(), []Change{{Account: "maps", Paid: 100, SettingsVersion: 1, Draw: 70}})
				require.NoError(t, err)
				require.EqualValues(t, 70, results[0].Granted)
				page, err := log.NewestPage(context.Background(), stream, "")
				require.NoError(t, err)
				e, err := decode(page.Entries[0])
				require.NoError(t, err)
				require.EqualValues(t, 70, e.Drawn, "drawn once")
			})
		})
	}
}

// firstReplyLostLog fails the first append, before or after it takes effect.
type firstReplyLostLog struct {
	*fakeLog
	done bool
	lost bool
}

func (l *firstReplyLostLog) AppendAt(ctx context.Context, stream logservice.Stream, at logservice.Position, entries ...logservice.KeyedEntry) error {
	if l.lost {
		return l.fakeLog.AppendAt(ctx, stream, at, entries...)
	}
	l.lost = true
	if l.done {
		if err := l.fakeLog.AppendAt(ctx, stream, at, entries...); err != nil {
			return err
		}
	}
	return logservice.Unavailable(errReplyLost)
}

func TestUndecodableEntryFailsApply(t *testing.T) {
	log := &fakeLog{}
	log.stream(stream).entries = []logservice.KeyedEntry{{Key: "maps", Value: []byte{0xc1}}}
	_, err := newTestLedger(log, "a").Apply(context.Background(), []Change{{Account: "maps", Paid: 100, SettingsVersion: 1, Draw: 70}})
	require.Error(t, err)
}

// TestRandomSchedulesNeverExceedPaidTokens lets several routers draw, use and
// return tokens, crash and restart on a log that loses requests and replies,
// delays appends and trims its history. The tokens spent and held by all of them
// never exceed those paid for.
func TestRandomSchedulesNeverExceedPaidTokens(t *testing.T) {
	for seed := range uint64(150) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playSchedule(t, seed) })
		})
	}
}

type testRouter struct {
	ledger  *Ledger
	balance int64
}

func playSchedule(t *testing.T, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 7))
	log := &fakeLog{faults: r}
	paid, version := int64(1000), int64(1)
	var spent, lost int64 // lost: held by incarnations that crashed
	routers := map[int]*testRouter{}
	for step := range 300 {
		node := r.IntN(4)
		l := routers[node]
		if l == nil {
			l = &testRouter{ledger: newTestLedger(log, fmt.Sprintf("%d/%d", node, step))}
			routers[node] = l
		}
		switch r.IntN(8) {
		case 0, 1, 2:
			results, err := applyFor(l, Change{Account: "maps", Paid: paid, SettingsVersion: version, Draw: r.Int64N(200)})
			if err == nil {
				l.balance += results[0].Granted
			}
		case 3:
			used := r.Int64N(l.balance + 1)
			l.balance, spent = l.balance-used, spent+used
		case 4:
			returned := r.Int64N(l.balance + 1)
			l.balance -= returned                                                                               // before the append, which may take effect even if it returns an error
			_, _ = applyFor(l, Change{Account: "maps", Paid: paid, SettingsVersion: version, Return: returned}) // the tokens are lost if it fails
		case 5:
			lost += l.balance
			delete(routers, node) // crashed
		case 6:
			log.applyDelayed()
		case 7:
			if r.IntN(4) == 0 {
				paid, version = paid+r.Int64N(300), version+1
			}
		}
		held := lost
		for _, other := range routers {
			held += other.balance
		}
		require.LessOrEqual(t, spent+held, paid, "step %d", step)
	}
}

// applyFor applies a change with a timeout, like a router that is stopped.
func applyFor(l *testRouter, c Change) ([]Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return l.ledger.Apply(ctx, []Change{c})
}

// pagedLog returns one entry per page, and fails the second page once.
type pagedLog struct {
	*fakeLog
	drawn  int64 // by account a
	failed bool
}

func (l *pagedLog) NewestPage(_ context.Context, _ logservice.Stream, after string) (logservice.NewestPage, error) {
	e := entry{Paid: 100, Drawn: l.drawn, Version: 1}
	if after != "" {
		if !l.failed {
			l.failed = true
			return logservice.NewestPage{}, logservice.Unavailable(errReplyLost)
		}
		raw, err := entry{Paid: 100}.encode()
		return logservice.NewestPage{Entries: []logservice.KeyedEntry{{Key: "b", Value: raw}}}, err
	}
	raw, err := e.encode()
	return logservice.NewestPage{Entries: []logservice.KeyedEntry{{Key: "a", Value: raw}}, More: true}, err
}

// TestLoadRestartsAfterFailedPage fails a load, changes the entry of its first
// page, and loads again: the old first page must not be used.
func TestLoadRestartsAfterFailedPage(t *testing.T) {
	log := &pagedLog{fakeLog: &fakeLog{}, drawn: 10}
	l := newTestLedger(log, "r/1")
	require.Error(t, l.Load(t.Context()))
	log.drawn = 90
	require.NoError(t, l.Load(t.Context()))
	drawn, _ := l.Drawn("a")
	require.EqualValues(t, 90, drawn)
}
