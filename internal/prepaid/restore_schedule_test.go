package prepaid

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/logservice"
)

// TestRestoredLogNeverLetsAccountsOverspend guards against draws that the log has
// acknowledged, lost and grants again: routers draw, return, crash and restart on a log
// with faults that comes back from older copies, also twice in a row.
func TestRestoredLogNeverLetsAccountsOverspend(t *testing.T) {
	for seed := range uint64(150) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { newRestoreSchedule(seed).play(t) })
		})
	}
}

// restoreSchedule is a random schedule of draws, crashes and restores.
type restoreSchedule struct {
	r             *rand.Rand
	log           *fakeLog
	copies        []map[logservice.Stream]int
	routers       map[int]*testRouter
	paid, version int64
	spent, lost   int64 // lost: held by incarnations that crashed
	crashes       bool
	restores      int
}

func newRestoreSchedule(seed uint64) *restoreSchedule {
	r := rand.New(rand.NewPCG(seed, 11))
	s := &restoreSchedule{r: r, log: &fakeLog{era: 1}, routers: map[int]*testRouter{}, paid: 2000, version: 1, crashes: seed%2 == 0}
	if seed%3 != 0 {
		s.log.faults = r
	}
	return s
}

func (s *restoreSchedule) play(t *testing.T) {
	for step := range 400 {
		s.copies = append(s.copies, s.log.copyStreams())
		node := s.r.IntN(4)
		l := s.routers[node]
		if l == nil {
			l = &testRouter{ledger: newTestLedger(s.log, fmt.Sprintf("%d/%d", node, step))}
			s.routers[node] = l
		}
		switch s.r.IntN(10) {
		case 0, 1, 2, 3:
			s.draw(node, l, s.r.Int64N(200))
		case 4:
			used := s.r.Int64N(l.balance + 1)
			l.balance, s.spent = l.balance-used, s.spent+used
		case 5:
			s.giveBack(l, s.r.Int64N(l.balance+1))
		case 6:
			if s.crashes && s.isRemembered(node) {
				s.lost += l.balance
				delete(s.routers, node)
			}
		case 7:
			s.log.applyDelayed()
		case 8:
			if s.r.IntN(4) == 0 {
				s.paid, s.version = s.paid+s.r.Int64N(300), s.version+1
			}
		case 9:
			if s.r.IntN(3) == 0 {
				s.restore()
			}
		}
		require.LessOrEqual(t, s.spent+s.held(), s.paid, "step %d, %d restores", step, s.restores)
	}
	require.Positive(t, s.restores)
	s.log.faults = nil
	s.repairAll(t)
	for _, l := range s.routers {
		drawn, _ := l.ledger.Drawn("maps")
		require.GreaterOrEqual(t, drawn, s.spent+s.held())
		if !s.crashes {
			require.Equal(t, s.spent+s.held(), drawn, "tokens are neither used nor free")
		}
	}
}

// isRemembered reports whether another router knows all that one knows.
func (s *restoreSchedule) isRemembered(node int) bool {
	known := s.routers[node].ledger.entries["maps"]
	for other, o := range s.routers {
		if other != node && o.ledger.entries["maps"].covers(known) {
			return true
		}
	}
	return false
}

// draw draws tokens and tells the other routers of it, as owners do.
func (s *restoreSchedule) draw(node int, l *testRouter, tokens int64) {
	s.repair(l)
	results, err := applyFor(l, s.change(tokens, 0))
	if err != nil || results[0].Granted == 0 {
		return
	}
	written, err := l.ledger.CopyOf([]string{"maps"})
	if err != nil {
		panic(err)
	}
	for other, o := range s.routers {
		if other != node {
			_ = o.ledger.Observe(written)
		}
	}
	l.balance += results[0].Granted
}

func (s *restoreSchedule) giveBack(l *testRouter, tokens int64) {
	s.repair(l)
	l.balance -= tokens
	var unsent *NotWrittenError
	if _, err := applyFor(l, s.change(0, tokens)); errors.As(err, &unsent) {
		l.balance += tokens
	}
}

func (s *restoreSchedule) change(draw, giveBack int64) Change {
	return Change{Account: "maps", Paid: s.paid, SettingsVersion: s.version, Draw: draw, Return: giveBack}
}

// repair merges the copies of all routers if the log was restored.
func (s *restoreSchedule) repair(l *testRouter) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	if l.ledger.Update(ctx) != nil || !l.ledger.NeedsRepair() {
		return
	}
	era := l.ledger.Era()
	for _, other := range s.routers {
		entries, err := other.ledger.Copy(era)
		if err != nil {
			panic(err)
		}
		if err := l.ledger.MergeCopy(entries); err != nil {
			panic(err)
		}
	}
	_ = l.ledger.Repair(ctx, era, nil)
}

// repairAll has all routers write what the log lacks, and read what the others wrote.
func (s *restoreSchedule) repairAll(t *testing.T) {
	for range 3 {
		for _, l := range s.routers {
			s.repair(l)
			_, err := l.ledger.Apply(t.Context(), nil)
			require.NoError(t, err)
		}
	}
	for _, l := range s.routers {
		require.NoError(t, l.ledger.Update(t.Context()))
		require.False(t, l.ledger.HasUnwritten())
	}
}

// restore goes back to one of the last copies, and at times to an even older one again.
func (s *restoreSchedule) restore() {
	for range 1 + s.r.IntN(2) {
		age := min(1+s.r.IntN(25), len(s.copies))
		s.copies = s.copies[:len(s.copies)-age+1]
		s.log.restore(s.copies[len(s.copies)-1])
		s.restores++
	}
}

func (s *restoreSchedule) held() int64 {
	held := s.lost
	for _, l := range s.routers {
		held += l.balance
	}
	return held
}

// TestClusterKeepsBudgetThroughRestores plays whole routers: the log is restored twice, one
// router crashes between its draws and the first restore, and requests go on throughout.
//
// The seeds are played by several processes: with the race detector the runtime sometimes ends a
// process that plays all of them.
func TestClusterKeepsBudgetThroughRestores(t *testing.T) {
	const seeds, parts = 40, 4
	const variable = "PREPAID_RESTORE_SEEDS" // the first of a part, in its process
	if first, err := strconv.ParseUint(os.Getenv(variable), 10, 64); err == nil {
		for seed := first; seed < first+seeds/parts; seed++ {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { playClusterRestores(t, seed) })
			})
		}
		return
	}
	for first := 0; first < seeds; first += seeds / parts {
		t.Run(fmt.Sprint("seeds from ", first), func(t *testing.T) {
			t.Parallel()
			part := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^TestClusterKeepsBudgetThroughRestores$", "-test.v")
			part.Env = append(os.Environ(), fmt.Sprint(variable, "=", first))
			out, err := part.CombinedOutput()
			require.NoError(t, err, "%s", out)
			require.Equal(t, seeds/parts, strings.Count(string(out), "    --- PASS: "), "%s", out)
		})
	}
}

func playClusterRestores(t *testing.T, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 5))
	f := newCluster(3_000_000)
	f.log.era, f.shards = 1, 1+int(seed%2)
	f.logGap = func(logservice.Era) time.Duration { return time.Second }
	f.start(t, 5)
	defer f.stopAll()
	time.Sleep(5 * time.Second)
	total := f.sendLoad(t, r, 4*time.Second, 40, 200)
	for range 2 {
		older := f.log.copyStreams()
		total = total.plus(f.sendLoad(t, r, time.Duration(1+r.IntN(7))*time.Second, 40, 200))
		crashed := r.IntN(len(f.routers))
		f.stops[crashed]()
		f.setDown(crashed)
		f.log.setDown(true)
		total = total.plus(f.sendLoad(t, r, time.Second, 10, 200))
		f.log.restore(older)
		f.log.setDown(false)
		total = total.plus(f.sendLoad(t, r, 5*time.Second, 40, 200))
	}
	require.Greater(t, float64(total.served), 0.8*float64(total.asked))
	total = total.plus(f.sendLoad(t, r, 60*time.Second, 40, 1500))
	require.LessOrEqual(t, total.used, f.prepaid)
}
