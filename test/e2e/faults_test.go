package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/settings"
)

// streams sends requests with long answers to one router, all at once, and
// returns their keys once every one of them runs, and a function that waits
// for their ends.
func (f *fleet) streams(n int, routerIndex, tokens int) (keys []string, wait func()) {
	running := f.totalRuns()
	group := conc.NewWaitGroup()
	for i := range n {
		key := fmt.Sprintf("stream-%d", i)
		keys = append(keys, key)
		group.Go(func() { f.chat(routerIndex, prompt(key, tokens), key, true) })
	}
	f.await(func() bool { return f.totalRuns() == running+n })
	return keys, group.Wait
}

func prompt(key string, tokens int) string {
	return fmt.Sprintf("%s [tokens=%d]", key, tokens)
}

func (f *fleet) totalRuns() int {
	total := 0
	for _, m := range f.models {
		total += len(f.runs(m))
	}
	return total
}

// retried sends each key again at another router until it has its whole
// answer. Every refusal on the way must leave the retry allowed.
func (f *fleet) retried(keys []string, routerIndex, tokens int) {
	f.t.Helper()
	var mu sync.Mutex // guards wrong
	wrong := map[string]string{}
	group := conc.NewWaitGroup()
	for _, key := range keys {
		group.Go(func() {
			problem := "never asked"
			for deadline := time.Now().Add(patience); time.Now().Before(deadline); {
				if problem = f.chat(routerIndex, prompt(key, tokens), key, true); problem == "" {
					return
				}
			}
			mu.Lock()
			defer mu.Unlock()
			wrong[key] = problem
		})
	}
	group.Wait()
	require.Empty(f.t, wrong)
}

func TestRouterIsKilledWithStreamsOpen(t *testing.T) {
	f := newFleet(t, 2, 5*time.Millisecond)
	before := f.totalRuns()
	keys, wait := f.streams(6, 0, 200)
	f.routers[0].signal(syscall.SIGKILL)
	f.retried(keys, 1, 200)
	wait()
	require.Equal(t, before+len(keys), f.totalRuns(), "a retry ran again instead of attaching")
	f.audited(keys...)
}

func TestRouterIsKilledWhileTheLogIsDown(t *testing.T) {
	f := newFleet(t, 2, 5*time.Millisecond)
	keys, wait := f.streams(4, 0, 200)
	f.faults(f.platform, `{"log":"down"}`)
	f.routers[0].signal(syscall.SIGKILL)
	f.retried(keys, 1, 200)
	wait()
	f.faults(f.platform, `{"log":"up"}`)
	f.audited(keys...)
}

// outageWait bounds a request whose tokens are in the routers' hands.
const outageWait = 5 * time.Second

func TestLogIsDownWhileServing(t *testing.T) {
	f := newFleet(t, 2, time.Millisecond)
	f.faults(f.platform, `{"log":"down"}`)
	var keys []string
	for i := range 6 {
		key := fmt.Sprintf("outage-%d", i)
		keys = append(keys, key)
		began := time.Now()
		require.Empty(t, f.chat(i%2, key, key, i%3 == 0))
		f.step(began, "request in the outage")
		require.Less(t, time.Since(began), outageWait, "the request waited though tokens for it were in hand")
	}
	began := time.Now()
	refused := f.order(0, "order-in-outage")
	f.step(began, "order")
	require.NotNil(t, refused.Refusal, "%d %s", refused.Status, refused.Body)
	require.Equal(t, "not_run", refused.Refusal.Ran)
	require.NotContains(t, f.runs(f.desks[0]), ident.HashKey(team, "order-in-outage").String())
	f.faults(f.platform, `{"log":"up"}`)
	began = time.Now()
	f.audited(keys...)
	f.step(began, "settlement after the outage")
	f.await(func() bool { return f.order(1, "order-in-outage").Status == http.StatusOK })
	f.audited("order-in-outage")
}

func TestSideProcessIsPausedAndWakes(t *testing.T) {
	f := newFleet(t, 1, 5*time.Millisecond)
	keys, wait := f.streams(3, 0, 200)
	f.models[0].signal(syscall.SIGSTOP)
	// The routers give a silent connection up; the pause outlasts that.
	time.AfterFunc(5*time.Second, func() { f.models[0].signal(syscall.SIGCONT) })
	wait()
	f.retried(keys, 1, 200)
	f.audited(keys...)
}

func TestRouterIsPausedSealedAndWakes(t *testing.T) {
	f := newFleet(t, 1, time.Millisecond)
	f.listRead()
	paused := f.incarnation(f.routers[0].vm)
	f.routers[0].signal(syscall.SIGSTOP)
	require.Equal(t, http.StatusNoContent, f.call(http.MethodDelete, f.platform+"/vms/"+string(f.routers[0].vm), nil))
	require.Empty(t, f.chat(1, "meanwhile", "meanwhile", true))
	f.await(func() bool { return f.members().Sealed(paused) })
	f.routers[0].signal(syscall.SIGCONT)
	// The sealed router stops by itself; until then it answers truthfully.
	var keys []string
	f.await(func() bool {
		key := fmt.Sprintf("awake-%d", len(keys))
		if f.chat(0, key, key, true) == "" {
			keys = append(keys, key)
		}
		return f.routers[0].ended()
	})
	f.audited(append(keys, "meanwhile")...)
}

func TestWorkerLeavesUnderLoad(t *testing.T) {
	f := newFleet(t, 2, 2*time.Millisecond)
	stop := make(chan struct{})
	var mu sync.Mutex // guards keys and wrong
	var keys, wrong []string
	group := conc.NewWaitGroup()
	for worker := range 6 {
		group.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				key := fmt.Sprintf("load-%d-%d", worker, i)
				problem := f.chat(worker%2, prompt(key, 40), key, i%2 == 0)
				mu.Lock()
				keys = append(keys, key)
				if problem != "" {
					wrong = append(wrong, key+": "+problem)
				}
				mu.Unlock()
			}
		})
	}
	f.await(func() bool { return len(f.runs(f.models[0])) > 10 })
	f.models[0].stop()
	left, there := len(f.runs(f.models[0])), len(f.runs(f.models[1]))
	f.await(func() bool { return len(f.runs(f.models[1])) > there+20 })
	close(stop)
	group.Wait()
	require.Empty(t, wrong)
	require.Len(t, f.runs(f.models[0]), left)
	f.audited(keys...)
}

func TestOrdersRunAtMostOnce(t *testing.T) {
	f := newFleet(t, 1, time.Millisecond)
	f.faults(f.desks[0].url, `{"mode":"lose_replies"}`)
	keys := []string{}
	for i := range 3 {
		key := fmt.Sprintf("lost-%d", i)
		keys = append(keys, key)
		for router := range 2 {
			reply := f.order(router, key)
			require.NotEqual(t, http.StatusOK, reply.Status)
			require.NotNil(t, reply.Refusal, "%d %s", reply.Status, reply.Body)
			require.NotEqual(t, "not_run", reply.Refusal.Ran, "the desk has run it")
		}
	}
	f.faults(f.desks[0].url, `{"mode":"slow","slow_ms":800}`)
	group := conc.NewWaitGroup()
	for i := range 3 {
		key := fmt.Sprintf("slow-%d", i)
		keys = append(keys, key)
		group.Go(func() { f.order(0, key) })
	}
	f.await(func() bool { return len(f.runs(f.desks[0])) >= 2+len(keys) })
	f.routers[0].signal(syscall.SIGKILL)
	group.Wait()
	for _, key := range keys[3:] {
		f.await(func() bool {
			reply := f.order(1, key)
			return reply.Status == http.StatusOK || reply.Refusal != nil && reply.Refusal.Ran != "not_run"
		})
	}
	for key, n := range f.runs(f.desks[0]) {
		require.Equal(t, 1, n, key)
	}
	f.audited()
}

func TestGracefulStopCutsNothingOff(t *testing.T) {
	// The answers take longer than a stopping router waits for its balancer.
	f := newFleet(t, 1, 8*time.Millisecond)
	var mu sync.Mutex // guards wrong
	var wrong []string
	group := conc.NewWaitGroup()
	before := f.totalRuns()
	for i := range 4 {
		key := fmt.Sprintf("open-%d", i)
		group.Go(func() {
			if problem := f.chat(0, prompt(key, 300), key, true); problem != "" {
				mu.Lock()
				defer mu.Unlock()
				wrong = append(wrong, problem)
			}
		})
	}
	f.await(func() bool { return f.totalRuns() == before+4 })
	f.routers[0].stop()
	group.Wait()
	require.Empty(t, strings.Join(wrong, "\n"))
	f.audited("open-0", "open-1", "open-2", "open-3")
	f.stopAll()
}

// orders is how many keys make it likely that both order desks get some.
const orders = 12

func TestOrderRetriedInAnOutageIsNeverCalledNotRun(t *testing.T) {
	f := newFleet(t, 1, time.Millisecond)
	f.secondDesk()
	for i := range orders {
		require.Empty(t, wrongOrder(f.order(0, fmt.Sprintf("paid-%d", i))))
	}
	f.faults(f.platform, `{"log":"down"}`)
	f.routers[0].signal(syscall.SIGKILL)
	group := conc.NewWaitGroup()
	for i := range orders {
		group.Go(func() {
			reply := f.order(1, fmt.Sprintf("paid-%d", i))
			if reply.Refusal != nil && reply.Refusal.Ran == "not_run" {
				t.Errorf("order %d ran, and a retry of it was told %+v", i, *reply.Refusal)
			}
		})
	}
	group.Wait()
	f.faults(f.platform, `{"log":"up"}`)
	for i := range orders {
		f.succeeds(func() string { return wrongOrder(f.order(1, fmt.Sprintf("paid-%d", i))) })
	}
	for _, d := range f.desks {
		require.NotEmpty(t, f.runs(d), "all orders went to one desk")
		for key, n := range f.runs(d) {
			require.Equal(t, 1, n, key)
			for _, other := range f.desks {
				require.True(t, other == d || f.runs(other)[key] == 0, "%s ran at two desks", key)
			}
		}
	}
}

// secondDesk starts another order desk and waits until both routers use it.
func (f *fleet) secondDesk() {
	f.change("servers/desk-1", settings.Server{VM: vmOf("desk-1"), DataCentre: "waco", Services: []ident.ServiceID{desk}, Slots: 16})
	f.desks = append(f.desks, f.server("desk-1", "--service"))
	for i := range f.routers {
		before := len(f.runs(f.desks[1]))
		for n := 0; len(f.runs(f.desks[1])) == before; n++ {
			require.Less(f.t, n, 2000, "the second desk gets no order")
			f.order(i, fmt.Sprintf("try-%d-%d", i, n))
		}
	}
}
