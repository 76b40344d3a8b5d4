package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/platform"
	"github.com/camphorlever/camphorlever/platform/standin"
)

var hosts int

// newHost returns a loopback address that was not used before: run leaves listeners open,
// since the process ends after it.
func newHost() string {
	hosts++
	return fmt.Sprintf("127.%d.%d.%d", 101+os.Getpid()%40, os.Getpid()/40%250, hosts)
}

// TestFurtherSignalsDoNotCutAStopShort guards against a second signal, or a reload, that ends
// the requests of a router that is stopping.
func TestFurtherSignalsDoNotCutAStopShort(t *testing.T) {
	const grace = 3 * time.Second
	host := newHost()
	log := standin.NewLogServer()
	t.Cleanup(log.Close)
	began := make(chan struct{}, 1)
	server, err := standin.NewBackendServer("i-1", host+":0", func(conn net.Conn, r *http.Request, _ int) {
		began <- struct{}{}
		time.Sleep(grace / 2)
		_, _ = io.WriteString(conn, standin.CompleteResponse(standin.ParseForwardedRequest(r).AttemptID, http.StatusOK, "done"))
	})
	require.NoError(t, err)
	t.Cleanup(server.Close)
	settings := standin.Settings{
		Version: 1, Services: []string{"svc"}, TokensPerEvent: 4,
		Routes:   []standin.Route{{Prefix: "orders", Kind: standin.NonIdempotent, Service: "svc", Timeout: time.Minute}},
		Accounts: []standin.Account{{Name: "acct", APIKey: "key1", PrepaidTokens: 1 << 30}},
	}
	log.AppendKeyed(platform.StreamOperator, platform.KeySettings, settings.JSON())
	log.AppendKeyed(platform.StreamServers, server.ID, server.Entry(server.Address, "svc", standin.Ready, 1))
	vm := standin.VM{Node: "router", IP: host, LogAddress: log.Address(), SettingsApplyTimeout: 2 * time.Second,
		DrainTimeout: 2 * time.Second, GracePeriod: grace, SettleWindow: 3 * time.Second}
	file := filepath.Join(t.TempDir(), "router.toml")
	require.NoError(t, os.WriteFile(file, []byte(vm.SettingsFile()), 0o600))
	local, err := platform.LoadLocalSettings(file)
	require.NoError(t, err)

	ended := make(chan error, 1)
	go func() { ended <- run(local, flags{Settings: file, LogLevel: "warn"}) }()
	require.Eventually(t, func() bool {
		response, err := http.Get("http://" + vm.ReadyAddress() + platform.PathReady)
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	}, 5*time.Second, 10*time.Millisecond)
	type result struct {
		status int
		body   string
		err    error
	}
	answered := make(chan result, 1)
	go func() {
		call := standin.Call{Method: http.MethodPost, RouterAddress: vm.CallersAddress(), Host: standin.Host, Path: "/orders/1", AttemptID: "a-1", APIKey: "key1"}
		request, err := call.HTTPRequest()
		if err != nil {
			answered <- result{err: err}
			return
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			answered <- result{err: err}
			return
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		answered <- result{response.StatusCode, string(body), err}
	}()
	<-began
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT} {
		require.NoError(t, syscall.Kill(os.Getpid(), s))
		time.Sleep(50 * time.Millisecond)
	}
	require.NoError(t, os.WriteFile(file, []byte("not a settings file"), 0o600))
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	r := <-answered
	require.NoError(t, r.err)
	require.Equal(t, http.StatusOK, r.status)
	require.Equal(t, "done", r.body)
	require.NoError(t, <-ended)
}
