package e2e

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/ident"
)

// repairWait bounds the time until new records are written after a restore: processes
// wait 20 s for entries that others may write again.
const repairWait = 2 * patience

// copyLog makes the platform keep a copy of the log.
func (f *fleet) copyLog(name string) {
	f.t.Helper()
	require.Equal(f.t, http.StatusNoContent, f.call(http.MethodPut, f.platform+"/copies/"+name, nil))
}

// restoreLog takes the log away for a moment and brings it back from a copy.
func (f *fleet) restoreLog(name string) {
	f.t.Helper()
	f.faults(f.platform, `{"log":"down"}`)
	time.Sleep(time.Second)
	require.Equal(f.t, http.StatusOK, f.call(http.MethodPost, f.platform+"/copies/"+name+"/restore", nil))
	f.faults(f.platform, `{"log":"up"}`)
}

// Bills, tokens and claims that the log has lost must not be forgotten: requests are
// billed once, orders run once, and a router that starts afterwards knows them.
func TestLogComesBackFromAnOlderCopy(t *testing.T) {
	f := newFleet(t, 2, time.Millisecond)
	var keys, orders []string
	serve := func(phase string) {
		for i := range 4 {
			key := fmt.Sprintf("%s-%d", phase, i)
			keys = append(keys, key)
			began := time.Now()
			require.Empty(t, f.chat(i%2, key, key, i%2 == 0))
			require.Less(t, time.Since(began), outageWait, "the request waited though tokens for it were in hand")
		}
	}
	f.copyLog("older")
	serve("lost")
	for i := range 2 {
		key := fmt.Sprintf("lost-order-%d", i)
		orders = append(orders, key)
		require.Equal(t, http.StatusOK, f.order(i, key).Status)
	}
	f.audited(keys...)
	f.restoreLog("older")
	serve("held")
	refused := f.order(0, "order-in-repair")
	require.NotNil(t, refused.Refusal, "%d %s", refused.Status, refused.Body)
	require.Equal(t, "not_run", refused.Refusal.Ran)
	f.routers[0].signal(syscall.SIGKILL)
	began := time.Now()
	f.routers = append(f.routers, f.router("router-2"))
	repaired := func(condition func() bool) {
		require.Eventually(t, condition, repairWait, poll)
	}
	repaired(func() bool { return f.call(http.MethodGet, f.routers[2].admin+"/readyz", nil) == http.StatusOK })
	f.step(began, "start of a router after the restore")
	repaired(func() bool { return f.order(1, "order-in-repair").Status == http.StatusOK })
	f.step(began, "first order after the restore")
	for _, key := range orders {
		reply := f.order(2, key)
		require.Equal(t, http.StatusOK, reply.Status, "%s", reply.Body)
	}
	for _, key := range append(orders, "order-in-repair") {
		require.Equal(t, 1, f.runs(f.desks[0])[ident.HashKey(team, key).String()], key)
	}
	f.audited(append(keys, "order-in-repair")...)
	f.audited(orders...)
}

// A router that is frozen through two restores and the repair must go on with the tokens
// that it held: the other processes have written its records again.
func TestRouterIsFrozenThroughTwoRestores(t *testing.T) {
	f := newFleet(t, 2, time.Millisecond)
	f.copyLog("older")
	var keys []string
	for i := range 4 {
		key := fmt.Sprintf("lost-%d", i)
		keys = append(keys, key)
		require.Empty(t, f.chat(i%2, key, key, false))
	}
	require.Equal(t, http.StatusOK, f.order(0, "lost-order").Status)
	f.audited(append(keys, "lost-order")...)
	f.routers[0].signal(syscall.SIGSTOP)
	f.restoreLog("older")
	time.Sleep(time.Second)
	f.restoreLog("older")
	require.Eventually(t, func() bool { return f.order(1, "new-order").Status == http.StatusOK }, repairWait, poll)
	f.routers[0].signal(syscall.SIGCONT)
	for i := range 4 {
		key := fmt.Sprintf("woken-%d", i)
		keys = append(keys, key)
		f.succeeds(func() string { return f.chat(i%2, key, key, false) })
	}
	for _, key := range []string{"lost-order", "new-order"} {
		f.succeeds(func() string { return wrongOrder(f.order(0, key)) })
		require.Equal(t, 1, f.runs(f.desks[0])[ident.HashKey(team, key).String()], key)
	}
	f.audited(append(keys, "lost-order", "new-order")...)
	require.Equal(t, http.StatusOK, f.call(http.MethodGet, f.routers[0].admin+"/readyz", nil), "the frozen router is not sealed")
}
