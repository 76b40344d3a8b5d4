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

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/logservice"
)

const stream = logservice.Stream("budgets")

func newTestLedger(log Log, life string) *Ledger {
	return NewLedger(log, stream, life, zerolog.Nop())
}

func TestDrawsNeverExceedWhatWasPaid(t *testing.T) {
	ctx := context.Background()
	log := &fakeLog{}
	a, b := newTestLedger(log, "a"), newTestLedger(log, "b")
	draw := func(l *Ledger, tokens int64) Result {
		results, err := l.Apply(ctx, []Change{{Account: "maps", Paid: 100, SettingsVersion: 1, Draw: tokens}})
		require.NoError(t, err)
		return results[0]
	}
	require.EqualValues(t, 60, draw(a, 60).Granted)
	require.EqualValues(t, 40, draw(b, 60).Granted, "b has not read what a drew, and must not draw it again")
	require.Zero(t, draw(a, 1).Granted)
	_, err := a.Apply(ctx, []Change{{Account: "maps", Paid: 100, SettingsVersion: 1, Return: 10}})
	require.NoError(t, err)
	require.EqualValues(t, 10, draw(b, 50).Granted)
}

func TestOlderSettingsDoNotLowerWhatWasPaid(t *testing.T) {
	ctx := context.Background()
	log := &fakeLog{}
	a, b := newTestLedger(log, "a"), newTestLedger(log, "b")
	results, err := a.Apply(ctx, []Change{{Account: "maps", Paid: 150, SettingsVersion: 2, Draw: 100}})
	require.NoError(t, err)
	require.EqualValues(t, 100, results[0].Granted)
	results, err = b.Apply(ctx, []Change{{Account: "maps", Paid: 120, SettingsVersion: 1, Draw: 100}})
	require.NoError(t, err)
	require.EqualValues(t, 50, results[0].Granted, "a has seen the top-up, so it holds for b too")
	results, err = b.Apply(ctx, []Change{{Account: "maps", Paid: 90, SettingsVersion: 3, Draw: 1}})
	require.NoError(t, err)
	require.Zero(t, results[0].Granted, "a newer version has lowered the total")
	require.EqualValues(t, -60, results[0].FreeBefore)
}

func TestLostReplyOfADrawIsFoundOut(t *testing.T) {
	for name, done := range map[string]bool{"done": true, "not done": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := &onceLost{fakeLog: &fakeLog{}, done: done}
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

// onceLost loses the reply of the first append.
type onceLost struct {
	*fakeLog
	done bool
	lost bool
}

func (l *onceLost) AppendAt(ctx context.Context, stream logservice.Stream, at ident.Offset, entries ...logservice.KeyedEntry) error {
	if l.lost {
		return l.fakeLog.AppendAt(ctx, stream, at, entries...)
	}
	l.lost = true
	if l.done {
		if err := l.fakeLog.AppendAt(ctx, stream, at, entries...); err != nil {
			return err
		}
	}
	return logservice.Unavailable(errLost)
}

func TestUnreadableEntryIsNotTakenForZero(t *testing.T) {
	log := &fakeLog{entries: []logservice.KeyedEntry{{Key: "maps", Value: []byte{0xc1}}}}
	_, err := newTestLedger(log, "a").Apply(context.Background(), []Change{{Account: "maps", Paid: 100, SettingsVersion: 1, Draw: 70}})
	require.Error(t, err)
}

// TestRandomSchedulesKeepTheLimit lets several routers draw, give back, lend,
// die and start again on a log that loses calls, loses replies, does appends
// late and forgets its history. What all of them spent and hold never exceeds
// what was paid for.
func TestRandomSchedulesKeepTheLimit(t *testing.T) {
	for seed := range uint64(150) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playSchedule(t, seed) })
		})
	}
}

type life struct {
	ledger *Ledger
	hand   int64
}

func playSchedule(t *testing.T, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 7))
	log := &fakeLog{faults: r}
	paid, version := int64(1000), int64(1)
	var spent, lost int64 // lost: in the hands of lives that died
	lives := map[int]*life{}
	for step := range 300 {
		node := r.IntN(4)
		l := lives[node]
		if l == nil {
			l = &life{ledger: newTestLedger(log, fmt.Sprintf("%d/%d", node, step))}
			lives[node] = l
		}
		switch r.IntN(8) {
		case 0, 1, 2:
			results, err := applyFor(l, Change{Account: "maps", Paid: paid, SettingsVersion: version, Draw: r.Int64N(200)})
			if err == nil {
				l.hand += results[0].Granted
			}
		case 3:
			used := r.Int64N(l.hand + 1)
			l.hand, spent = l.hand-used, spent+used
		case 4:
			give := r.Int64N(l.hand + 1)
			l.hand -= give                                                                                  // before the append: it may take effect whatever is heard of it
			_, _ = applyFor(l, Change{Account: "maps", Paid: paid, SettingsVersion: version, Return: give}) // lost if it fails
		case 5:
			lost += l.hand
			delete(lives, node) // killed
		case 6:
			log.catchUp()
		case 7:
			if r.IntN(4) == 0 {
				paid, version = paid+r.Int64N(300), version+1
			}
		}
		held := lost
		for _, other := range lives {
			held += other.hand
		}
		require.LessOrEqual(t, spent+held, paid, "step %d", step)
	}
}

// applyFor gives up after a while, as a router does that is stopped.
func applyFor(l *life, c Change) ([]Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return l.ledger.Apply(ctx, []Change{c})
}

// paged gives one entry a page, and fails the second page once.
type paged struct {
	*fakeLog
	drawn  int64 // of account a
	failed bool
}

func (l *paged) NewestPage(_ context.Context, _ logservice.Stream, after string) (logservice.NewestPage, error) {
	e := entry{Paid: 100, Drawn: l.drawn, Version: 1}
	if after != "" {
		if !l.failed {
			l.failed = true
			return logservice.NewestPage{}, logservice.Unavailable(errLost)
		}
		raw, err := entry{Paid: 100}.encode()
		return logservice.NewestPage{Entries: []logservice.KeyedEntry{{Key: "b", Value: raw}}}, err
	}
	raw, err := e.encode()
	return logservice.NewestPage{Entries: []logservice.KeyedEntry{{Key: "a", Value: raw}}, More: true}, err
}

// TestLoadTakesNoOldPageForFresh fails a load, changes what its first page said,
// and loads again.
func TestLoadTakesNoOldPageForFresh(t *testing.T) {
	log := &paged{fakeLog: &fakeLog{}, drawn: 10}
	l := newTestLedger(log, "r/1")
	require.Error(t, l.Load(t.Context()))
	log.drawn = 90
	require.NoError(t, l.Load(t.Context()))
	drawn, _ := l.Drawn("a")
	require.EqualValues(t, 90, drawn)
}
