package e2e

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc/pool"
	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/ctl"
	"github.com/camphorlever/camphorlever/internal/load"
)

// many sends n requests with a key of their own to all routers, a few at a
// time, and returns the keys of those that were answered and the refusals.
func (f *fleet) many(name string, n int) (answered []string, refused []load.Refusal) {
	f.t.Helper()
	var mu sync.Mutex // guards answered and refused
	workers := pool.New().WithMaxGoroutines(8)
	for i := range n {
		workers.Go(func() {
			key := fmt.Sprintf("%s-%d", name, i)
			chat := chatOf(key, i%2 == 0)
			call, err := chat.Call()
			require.NoError(f.t, err)
			call.Key = key
			reply, err := f.caller.Send(f.ctx, f.routers[i%len(f.routers)].url, call)
			mu.Lock()
			defer mu.Unlock()
			if err == nil && reply.Refusal != nil {
				refused = append(refused, *reply.Refusal)
				return
			}
			if problem := load.WrongChat(chat, reply, err); problem != "" {
				f.t.Errorf("%s: %s", key, problem)
				return
			}
			answered = append(answered, key)
		})
	}
	workers.Wait()
	return answered, refused
}

func TestBudgetRunsOutAndIsToppedUp(t *testing.T) {
	const budget = 6000 // about ten requests of a bound above 500
	f := newFleetWith(t, 1, time.Millisecond, budget)
	answered, refused := f.many("small", 400)
	require.NotEmpty(t, refused, "all were answered within %d tokens", budget)
	for _, r := range refused {
		require.Equal(t, "not_run", r.Ran, r)
		require.Contains(t, []string{"budget_exhausted", "budget_unreachable"}, r.Code, r)
	}
	f.audited(answered...)
	left := f.report().Teams[team]
	t.Logf("answered %d, refused %d, billed %d of %d", len(answered), len(refused), left.Billed, left.TopUps)
	f.topUp(50_000)
	f.succeeds(func() string { return f.chat(0, "after", "after", true) })
	f.succeeds(func() string { return f.chat(1, "after too", "after too", true) })
	f.audited("after", "after too")
}

func TestAnswersThatCrossAndComeLate(t *testing.T) {
	f := newFleet(t, 2, time.Millisecond)
	for _, m := range f.models {
		f.faults(m.url, `{"cross_answers":true,"late_ms":30}`)
	}
	answered, refused := f.many("crossed", 40)
	require.Empty(t, refused)
	f.audited(answered...)
}

func TestLogLosesItsReplies(t *testing.T) {
	f := newFleet(t, 1, time.Millisecond)
	f.faults(f.platform, `{"log":"lose_replies"}`)
	answered, refused := f.many("unsure", 40)
	require.Empty(t, refused)
	require.Empty(t, wrongOrder(f.order(0, "unsure-order")))
	require.Empty(t, wrongOrder(f.order(1, "unsure-order")))
	for key, n := range f.runs(f.desks[0]) {
		require.Equal(t, 1, n, key)
	}
	f.audited(append(answered, "unsure-order")...)
}

func TestPlatformFallsSilent(t *testing.T) {
	f := newFleet(t, 1, time.Millisecond)
	f.faults(f.platform, `{"silent":true}`)
	answered, refused := f.many("silence", 4)
	require.NotEmpty(t, answered, "the grants in hand were not used")
	for _, r := range refused {
		require.Equal(t, load.Refusal{Code: "budget_unreachable", Message: r.Message, Ran: "not_run"}, r)
	}
	f.faults(f.platform, `{"silent":false}`)
	f.succeeds(func() string { return f.chat(0, "heard", "heard", true) })
	f.audited(answered...)
}

func TestEngineFreezesInItsStreams(t *testing.T) {
	f := newFleet(t, 1, 2*time.Millisecond)
	keys, wait := f.streams(4, 0, 100)
	f.faults(f.models[0].url, `{"mode":"freeze"}`)
	f.faults(f.models[0].url, `{"mode":"up"}`)
	wait()
	f.retried(keys, 1, 100)
	f.audited(keys...)
}

func TestDrainedServerGetsNoNewWork(t *testing.T) {
	f := newFleet(t, 2, 5*time.Millisecond)
	keys, wait := f.streams(6, 0, 100)
	admin := ctl.NewClient([]string{f.routers[1].admin}, "operator", t.Logf)
	require.NoError(t, admin.Write(f.ctx, http.MethodPost, "servers/model-0/drain", nil, nil))
	before := len(f.runs(f.models[0]))
	answered, refused := f.many("elsewhere", 20)
	require.Empty(t, refused)
	require.Len(t, f.runs(f.models[0]), before, "the drained server got new work")
	wait()
	f.retried(keys, 1, 100)
	f.audited(append(answered, keys...)...)
}

func TestSideProcessIsKilledAndSealed(t *testing.T) {
	f := newFleet(t, 2, 5*time.Millisecond)
	f.listRead()
	keys, wait := f.streams(6, 0, 200)
	f.models[0].signal(syscall.SIGKILL)
	require.Equal(t, http.StatusNoContent, f.call(http.MethodDelete, f.platform+"/vms/"+string(f.models[0].vm), nil))
	wait()
	f.retried(keys, 1, 200)
	f.audited(keys...)
}

func TestRouterThatIsCutOffHoldsItsTokens(t *testing.T) {
	f := newFleetWith(t, 1, time.Millisecond, 12_000)
	f.routers[1].signal(syscall.SIGSTOP)
	var keys []string
	for i := range 20 {
		key := fmt.Sprintf("alone-%d", i)
		if f.chat(0, key, key, true) == "" {
			keys = append(keys, key)
		}
	}
	require.NotEmpty(t, keys)
	f.routers[1].signal(syscall.SIGCONT)
	answered, _ := f.many("together", 60)
	f.audited(append(keys, answered...)...)
}

func TestEngineDiesInItsStreams(t *testing.T) {
	f := newFleet(t, 2, 5*time.Millisecond)
	keys, wait := f.streams(6, 0, 200)
	f.models[0].engine.signal(syscall.SIGKILL)
	wait()
	for i, key := range keys {
		// The runs at the dead engine have failed, and stay so under their keys.
		again := key
		if problem := f.chat(1, prompt(key, 200), key, true); problem != "" {
			require.Contains(t, problem, "backend_failed")
			again = fmt.Sprintf("again-%d", i)
		}
		f.succeeds(func() string { return f.chat(1, prompt(again, 200), again, true) })
		f.audited(again)
	}
	f.stopAll()
}

// stopAll stops every process gracefully, after which no tokens may be held.
func (f *fleet) stopAll() {
	f.t.Helper()
	for _, nodes := range [][]*node{f.routers, f.models, f.desks} {
		for _, n := range nodes {
			if !n.ended() {
				n.stop()
			}
		}
	}
	report := f.report()
	require.Zero(f.t, report.OutstandingTokens(), "tokens are held after all have stopped: %+v", report.OpenGrants)
}

// TestRoutersStopOneAfterAnother stops routers some of which may hold loans of
// the others, as a rolling replacement does.
func TestRoutersStopOneAfterAnother(t *testing.T) {
	f := newFleet(t, 1, time.Millisecond)
	for i := 2; i < 4; i++ {
		f.routers = append(f.routers, f.router(fmt.Sprintf("router-%d", i)))
		f.await(func() bool { return f.call(http.MethodGet, f.routers[i].admin+"/readyz", nil) == http.StatusOK })
		key := fmt.Sprintf("warm-%d", i)
		f.succeeds(func() string { return f.chat(i, key, key, true) })
	}
	answered, refused := f.many("spread", 16)
	require.Empty(t, refused)
	f.audited(answered...)
	for _, r := range f.routers {
		r.stop()
	}
	f.stopAll()
}
