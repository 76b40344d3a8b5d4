package gate

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// randomSchedule performs random operations on one gate and checks the
// invariants.
type randomSchedule struct {
	*fixture
	t          *testing.T
	random     *rand.Rand
	sealed     map[ident.Key]bool // SealKey has confirmed that the key does not start
	hasStarted map[ident.Key]bool
	closed     bool // Leave or WaitSettled has confirmed that nothing starts
	answers    []*AnswerReader
}

const scheduledKeys = 8

// TestRandomSchedules checks the gate's invariants over random sequences of
// Begins of a few keys, seals, cancellations, disconnected readers, passing
// time and a delayed ledger, ended by Leave or WaitSettled. The seeds are
// fixed.
func TestRandomSchedules(t *testing.T) {
	for seed := range uint64(150) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 1))
				s := &randomSchedule{
					fixture: newFixture(emitPaced(1+random.IntN(30), time.Second)), t: t, random: random,
					sealed: map[ident.Key]bool{}, hasStarted: map[ident.Key]bool{},
				}
				s.SetLimits(int64(500+random.IntN(3000)), 0)
				s.settler.delayed = random.IntN(2) == 0
				for range 60 {
					s.step()
				}
				s.check()
			})
		})
	}
}

func (s *randomSchedule) step() {
	key := testKey(s.random.IntN(scheduledKeys))
	switch s.random.IntN(12) {
	case 0, 1, 2, 3, 4:
		s.begin(key)
	case 5:
		if state := s.SealKey(key); state == wire.KeyUnknown || state == wire.KeySealed {
			require.False(s.t, s.hasStarted[key], "a key that had started was reported as not run")
			s.sealed[key] = true
		}
	case 6:
		s.Cancel(key)
	case 7:
		if len(s.answers) > 0 {
			s.answers[s.random.IntN(len(s.answers))].Close()
		}
	case 8, 9, 10:
		time.Sleep(time.Duration(s.random.IntN(40)) * time.Second)
		s.Sweep()
	case 11:
		s.settler.release()
		if s.random.IntN(8) == 0 {
			s.Leave()
			s.closed = true
		}
	}
	synctest.Wait()
}

func (s *randomSchedule) begin(key ident.Key) {
	answer, outcome := s.Begin(newBeginRequest(key))
	s.answers = append(s.answers, answer)
	if outcome != wire.BeginStarted {
		return
	}
	require.False(s.t, s.hasStarted[key], "a key started twice")
	require.False(s.t, s.sealed[key], "a sealed key started")
	require.False(s.t, s.closed, "started after leaving")
	s.hasStarted[key] = true
}

// check waits for the settlements of the holder's runs and verifies which runs
// were started and billed.
func (s *randomSchedule) check() {
	request := newBeginRequest(ident.Key{})
	s.fleet.sealed.Store(uint64(request.Holder))
	s.settler.release()
	ctx, cancel := context.WithTimeout(s.t.Context(), 2*time.Minute)
	defer cancel()
	require.NoError(s.t, s.WaitSettled(ctx, request.Holder))
	s.closed = true
	for n := range scheduledKeys {
		s.begin(testKey(n))
	}
	require.Len(s.t, s.settler.billed, len(s.hasStarted))
	runs := map[ident.RunID]bool{}
	for _, bill := range s.settler.billed {
		require.False(s.t, runs[bill.Run], "a run was billed twice")
		runs[bill.Run] = true
		require.LessOrEqual(s.t, bill.Tokens, request.TokenBound)
		require.Equal(s.t, 1, s.backend.started(bill.Key))
	}
	require.EqualValues(s.t, len(s.hasStarted)+1, s.runNumbers.lowestUnsettled())
	require.Zero(s.t, s.Running())
	for _, a := range s.answers {
		a.Close()
	}
}
