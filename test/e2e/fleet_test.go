package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/audit"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/load"
	"github.com/camphorlever/camphorlever/internal/logservice"
	"github.com/camphorlever/camphorlever/internal/router"
	"github.com/camphorlever/camphorlever/internal/settings"
	"github.com/camphorlever/camphorlever/internal/side"
	"github.com/camphorlever/camphorlever/internal/standin/engine"
	"github.com/camphorlever/camphorlever/internal/standin/platform"
)

const (
	team     ident.TeamID    = "county-sextons"
	model    ident.ModelID   = "plot-answers"
	desk     ident.ServiceID = "order-desk"
	secret                   = "a sexton's key"
	fleetKey                 = "the fleet's key"
	shards                   = 2
	topUp                    = 1_000_000
	// operator writes the top-up as a writer that no process can be.
	operator ident.Incarnation = 1 << 40
)

// node is a router, or a side process with its engine.
type node struct {
	*process
	vm     ident.VMID
	url    string // of the callers' listener, or of the engine
	admin  string
	engine *process
}

// fleet is a running deployment.
type fleet struct {
	t        *testing.T
	ctx      context.Context
	platform string
	log      logservice.Log
	caller   *load.Caller
	routers  []*node
	models   []*node
	desks    []*node
	changes  uint64 // settings changes so far
	topUps   uint64
}

// fleetsAtOnce bounds the fleets that run at the same time.
const fleetsAtOnce = 4

var fleets = make(chan struct{}, fleetsAtOnce)

// newFleet starts a platform, two routers, some model workers and one order
// desk, and returns once every router serves both.
func newFleet(t *testing.T, models int, tokenTime time.Duration) *fleet {
	t.Helper()
	return newFleetWith(t, models, tokenTime, topUp)
}

// newFleetWith does the same with a budget of some tokens.
func newFleetWith(t *testing.T, models int, tokenTime time.Duration, tokens int64) *fleet {
	t.Helper()
	t.Parallel()
	fleets <- struct{}{}
	t.Cleanup(func() { <-fleets })
	ctx, cancel := context.WithTimeout(t.Context(), 3*patience)
	t.Cleanup(cancel)
	address := freePort(t)
	f := &fleet{t: t, ctx: ctx, platform: "http://" + address, caller: load.NewCaller(secret)}
	start(t, "platform", "standin-platform", "--listen", address)
	f.log = logservice.NewHTTPClient(f.platform, nil)
	f.await(func() bool { return f.call(http.MethodGet, f.platform+"/stats", nil) == http.StatusOK })
	f.seed(models)
	f.topUp(tokens)
	for i := range 2 {
		f.routers = append(f.routers, f.router(fmt.Sprintf("router-%d", i)))
	}
	for i := range models {
		id := fmt.Sprintf("model-%d", i)
		f.models = append(f.models, f.server(id, "--models", string(model), "--token-time", tokenTime.String()))
	}
	f.desks = append(f.desks, f.server("desk-0", "--service"))
	for i, r := range f.routers {
		f.await(func() bool { return f.call(http.MethodGet, r.admin+"/readyz", nil) == http.StatusOK })
		key := fmt.Sprintf("warm-%d", i)
		f.succeeds(func() string { return f.chat(i, key, key, true) })
		f.succeeds(func() string { return wrongOrder(f.order(i, "order-"+key)) })
	}
	return f
}

func (f *fleet) await(condition func() bool) {
	f.t.Helper()
	require.Eventually(f.t, condition, patience, poll)
}

// succeeds repeats an attempt until it finds nothing wrong.
func (f *fleet) succeeds(attempt func() string) {
	f.t.Helper()
	problem := ""
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(poll) {
		if problem = attempt(); problem == "" {
			return
		}
	}
	f.counters()
	f.t.Fatal("does not succeed: " + problem)
}

func wrongOrder(reply load.Reply) string {
	if reply.Status == http.StatusOK {
		return ""
	}
	return fmt.Sprintf("status %d: %s", reply.Status, reply.Body)
}

func (f *fleet) call(method, url string, body any) int {
	raw, err := json.Marshal(body)
	require.NoError(f.t, err)
	request, err := http.NewRequestWithContext(f.ctx, method, url, bytes.NewReader(raw))
	require.NoError(f.t, err)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	require.NoError(f.t, response.Body.Close())
	return response.StatusCode
}

// faults sets faults of a stand-in.
func (f *fleet) faults(url, document string) {
	f.t.Helper()
	require.Equal(f.t, http.StatusOK, f.call(http.MethodPost, url+"/faults", json.RawMessage(document)))
}

func vmOf(id string) ident.VMID {
	return ident.VMID("vm-" + id)
}

// config writes a settings file and puts the VM on the platform's list.
func (f *fleet) config(id string, options any) string {
	file := filepath.Join(f.t.TempDir(), id+".json")
	raw, err := json.Marshal(options)
	require.NoError(f.t, err)
	require.NoError(f.t, os.WriteFile(file, raw, 0o600))
	f.listVM(id)
	return file
}

func (f *fleet) listVM(id string) {
	vm := map[string]string{"data_centre": "waco", "state": "live"}
	require.Equal(f.t, http.StatusOK, f.call(http.MethodPut, f.platform+"/vms/"+string(vmOf(id)), vm))
}

func (f *fleet) router(id string) *node {
	o := router.DefaultOptions()
	o.VM, o.DataCentre, o.PlatformURL, o.FleetKey, o.LedgerShards = vmOf(id), "waco", f.platform, fleetKey, shards
	o.Listen, o.InternalListen, o.AdminListen = freePort(f.t), freePort(f.t), freePort(f.t)
	o.BootstrapOperatorKeyHash = settings.HashSecret("operator")
	n := &node{vm: o.VM, url: "http://" + o.Listen, admin: "http://" + o.AdminListen}
	n.process = start(f.t, id, "camphor-router", "--config", f.config(id, o))
	return n
}

func (f *fleet) server(id string, engineArgs ...string) *node {
	o := side.DefaultOptions()
	o.VM, o.DataCentre, o.Server, o.PlatformURL, o.FleetKey, o.LedgerShards = vmOf(id), "waco", ident.ServerID(id), f.platform, fleetKey, shards
	address := freePort(f.t)
	o.InternalListen, o.EngineURL, o.Service = freePort(f.t), "http://"+address, engineArgs[0] == "--service"
	n := &node{vm: o.VM, url: o.EngineURL}
	n.engine = start(f.t, "engine-"+id, "standin-engine", append([]string{"--listen", address, "--slots", "64"}, engineArgs...)...)
	f.await(func() bool { return f.call(http.MethodGet, n.url+"/stats", nil) == http.StatusOK })
	n.process = start(f.t, "side-"+id, "camphor-side", "--config", f.config(id, o))
	return n
}

func chatOf(prompt string, stream bool) load.Chat {
	messages := []engine.Message{{Role: "user", Content: prompt}}
	return load.Chat{Model: string(model), Messages: messages, MaxTokens: 500, Stream: stream}
}

// chat sends a chat request and returns what is wrong with its answer: nothing
// if it is whole and its own.
func (f *fleet) chat(routerIndex int, prompt, key string, stream bool) string {
	chat := chatOf(prompt, stream)
	call, err := chat.Call()
	require.NoError(f.t, err)
	call.Key = key
	reply, err := f.caller.Send(f.ctx, f.routers[routerIndex].url, call)
	return load.WrongChat(chat, reply, err)
}

// order sends a call of the order desk; a status of 0 means no answer.
func (f *fleet) order(routerIndex int, key string) load.Reply {
	call := load.Call{Method: http.MethodPost, Path: "/services/" + string(desk) + "/orders", Key: key, Body: []byte(`{"copies":1}`)}
	reply, err := f.caller.Send(f.ctx, f.routers[routerIndex].url, call)
	if err != nil {
		return load.Reply{}
	}
	return reply
}

// runs returns how often an engine ran what, by its own count.
func (f *fleet) runs(n *node) map[string]int {
	response, err := http.Get(n.url + "/stats")
	require.NoError(f.t, err)
	defer response.Body.Close()
	var stats engine.Stats
	require.NoError(f.t, json.NewDecoder(response.Body).Decode(&stats))
	return stats.Runs
}

// audited waits until every key is billed once, and checks that none is billed
// twice and nothing overspent.
func (f *fleet) audited(keys ...string) {
	f.t.Helper()
	var report audit.Report
	missing := ""
	settled := func() bool {
		var err error
		if report, err = audit.Read(f.ctx, f.log, shards); err != nil {
			return false
		}
		for _, key := range keys {
			if report.TimesBilled(ident.HashKey(team, key)) == 0 {
				missing = key
				return false
			}
		}
		return true
	}
	require.Eventually(f.t, settled, patience, poll, "a run is not billed: %s", &missing)
	for _, key := range keys {
		require.Equal(f.t, 1, report.TimesBilled(ident.HashKey(team, key)), key)
	}
	require.Zero(f.t, report.Overspend())
}

// report folds the ledger.
func (f *fleet) report() audit.Report {
	report, err := audit.Read(f.ctx, f.log, shards)
	require.NoError(f.t, err)
	return report
}

// readAll asks for a stream from its beginning.
func readAll(stream string) logservice.ReadRequest {
	return logservice.ReadRequest{Stream: logservice.Stream(stream)}
}

// counters logs the counters of the routers.
func (f *fleet) counters() {
	for _, r := range f.routers {
		response, err := http.Get(r.admin + "/debug/vars")
		if err != nil {
			continue
		}
		var vars map[string]json.RawMessage
		if json.NewDecoder(response.Body).Decode(&vars) == nil {
			delete(vars, "memstats")
			delete(vars, "cmdline")
			f.t.Logf("counters of %s: %s", r.name, vars)
		}
		_ = response.Body.Close()
	}
}

// vmReads is how many reads of the VM list make sure that each process has
// made one: processes read it at most once a second and at least every three.
const vmReads = 20

// listRead waits until every process has read the VM list anew.
func (f *fleet) listRead() {
	reads := func() int64 {
		response, err := http.Get(f.platform + "/stats/vms")
		require.NoError(f.t, err)
		defer response.Body.Close()
		var stats platform.VMStats
		require.NoError(f.t, json.NewDecoder(response.Body).Decode(&stats))
		return stats.Reads
	}
	enough := reads() + vmReads
	f.await(func() bool { return reads() >= enough })
}

// step logs how long a part of a test took.
func (f *fleet) step(began time.Time, what string) {
	f.t.Logf("%s took %v", what, time.Since(began).Round(time.Millisecond))
}
