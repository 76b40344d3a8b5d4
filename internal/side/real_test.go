package side

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"os/signal"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/camphorlever/camphorlever/internal/fleet"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/logservice"
	"github.com/camphorlever/camphorlever/internal/node"
	"github.com/camphorlever/camphorlever/internal/options"
	"github.com/camphorlever/camphorlever/internal/rpc"
	standin "github.com/camphorlever/camphorlever/internal/standin/engine"
	"github.com/camphorlever/camphorlever/internal/standin/platform"
	"github.com/camphorlever/camphorlever/internal/vmlist"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// childSettings names the settings file of a side process that this test
// binary runs as in a process of its own.
const childSettings = "CAMPHOR_SIDE_TEST_SETTINGS"

func TestMain(m *testing.M) {
	if file := os.Getenv(childSettings); file != "" {
		os.Exit(runChild(file))
	}
	os.Exit(m.Run())
}

func runChild(file string) int {
	settings := DefaultOptions()
	if err := options.Load(file, &settings); err != nil {
		return options.ExitStatus
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	listener, err := Listen(ctx, settings.InternalListen)
	if err != nil {
		return 1
	}
	client := &http.Client{}
	process, err := New(settings, Platform{
		Log: logservice.NewHTTPClient(settings.PlatformURL, client), VMs: vmlist.NewHTTPClient(settings.PlatformURL, client),
		Weights: NewWeightsClient(settings.PlatformURL, client),
	}, zerolog.New(os.Stderr))
	if err != nil || process.Run(ctx, listener) != nil {
		return 1
	}
	return 0
}

// realWorld is a side process of its own beside a stand-in engine, and a
// router's membership.
type realWorld struct {
	t       *testing.T
	router  *node.Node
	engine  *httptest.Server
	child   *exec.Cmd
	file    string
	address string
	gate    ident.Incarnation
}

func newRealWorld(t *testing.T) *realWorld {
	w := &realWorld{t: t, file: t.TempDir() + "/side.json"}
	w.engine = httptest.NewServer(standin.New(standin.Options{Models: []string{"m"}, Slots: 8, TokenTime: 20 * time.Millisecond}).Handler())
	t.Cleanup(w.engine.Close)
	store := httptest.NewServer(platform.New(platform.Options{}).Handler())
	t.Cleanup(store.Close)
	for _, vm := range []string{"vm-r", "vm-s"} {
		put, err := http.NewRequest(http.MethodPut, store.URL+"/vms/"+vm, strings.NewReader(`{"data_centre":"dc","state":"live"}`))
		require.NoError(t, err)
		response, err := http.DefaultClient.Do(put)
		require.NoError(t, err)
		response.Body.Close()
	}
	free, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	w.address = free.Addr().String()
	free.Close()
	raw, err := json.Marshal(Options{
		VM: "vm-s", DataCentre: "dc", Server: "s", InternalListen: w.address, InternalAdvertise: w.address,
		PlatformURL: store.URL, FleetKey: fleetKey, LedgerShards: 1, EngineURL: w.engine.URL,
	})
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(w.file, raw, 0o600))
	w.router = node.New(node.Options{
		Role: fleet.RoleRouter, VM: "vm-r", DataCentre: "dc", Address: "r", LedgerShards: 1,
		Dial: func(string, string) rpc.Caller { return noCaller{} },
	}, logservice.NewHTTPClient(store.URL, nil), vmlist.NewHTTPClient(store.URL, nil), zerolog.Nop())
	require.NoError(t, w.router.Start(t.Context()))
	t.Cleanup(w.router.Abandon)
	w.child = w.spawn()
	require.Eventually(t, func() bool { return len(w.router.Members().Sides) == 1 }, 10*time.Second, 10*time.Millisecond)
	w.gate = w.router.Members().Sides[0].Incarnation
	// The fleet may know of the gate a moment before it is open.
	require.Eventually(t, func() bool {
		outcome, a := w.post(wire.PathAnswer, &wire.ResumeRequest{Gate: w.gate})
		a.body.Close()
		return outcome == wire.BeginUnknownKey
	}, 10*time.Second, 10*time.Millisecond)
	return w
}

func (w *realWorld) spawn() *exec.Cmd {
	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), childSettings+"="+w.file)
	require.NoError(w.t, child.Start())
	w.t.Cleanup(func() {
		if child.ProcessState == nil {
			child.Process.Kill()
			child.Wait()
		}
	})
	return child
}

func (w *realWorld) post(path string, request any) (wire.BeginOutcome, *answer) {
	raw, err := msgpack.Marshal(request)
	require.NoError(w.t, err)
	post, err := http.NewRequest(http.MethodPost, "http://"+w.address+path, bytes.NewReader(raw))
	require.NoError(w.t, err)
	post.Header.Set(wire.FleetKeyHeader, fleetKey)
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(post)
	require.NoError(w.t, err)
	a := &answer{body: response.Body, frames: wire.NewFrameReader(response.Body)}
	var first wire.Frame
	require.NoError(w.t, a.frames.Read(&first))
	return first.Outcome, a
}

func (w *realWorld) request(key string, tokens int64) *wire.BeginRequest {
	return &wire.BeginRequest{
		Request: ident.NewNonce(), Key: ident.HashKey(team, key), Team: team, Gate: w.gate,
		Router: w.router.Incarnation(), Holder: w.router.Incarnation(), TokenBound: tokens + 50, MaxOutput: tokens, Offsets: w.router.Offsets(),
		Call: wire.Call{Model: "m", Body: fmt.Appendf(nil, `{"model":"m","messages":[{"role":"user","content":"[tokens=%d]"}]}`, tokens)},
	}
}

// runs returns the number of streams that the engine ran, and of starts.
func (w *realWorld) runs() (streams, starts int) {
	response, err := http.Get(w.engine.URL + "/stats")
	require.NoError(w.t, err)
	defer response.Body.Close()
	var stats standin.Stats
	require.NoError(w.t, json.NewDecoder(response.Body).Decode(&stats))
	for _, n := range stats.Runs {
		streams++
		starts += n
	}
	return streams, starts
}

// A side process is stopped by the kernel in the midst of an answer, for
// longer than a router waits for heartbeats, and wakes. The answer is whole
// for the reader that comes back, and the key ran once. Meanwhile no second
// process can take its place on the VM.
func TestFrozenProcessGoesOn(t *testing.T) {
	w := newRealWorld(t)
	request := w.request("k", 260) // takes longer than the stop
	outcome, a := w.post(wire.PathRun, request)
	require.Equal(t, wire.BeginStarted, outcome)
	var f wire.Frame
	for f.Kind != wire.FrameEvent || f.Offset < 5 {
		require.NoError(t, a.frames.Read(&f))
	}
	require.NoError(t, w.child.Process.Signal(syscall.SIGSTOP))
	a.body.Close()
	second := w.spawn()
	require.Error(t, second.Wait(), "the port is taken")
	require.Equal(t, 1, second.ProcessState.ExitCode())
	time.Sleep(wire.MaxMissedHeartbeats*wire.HeartbeatInterval + time.Second)
	require.NoError(t, w.child.Process.Signal(syscall.SIGCONT))
	time.Sleep(200 * time.Millisecond) // it notices that its reader has gone
	outcome, rest := w.post(wire.PathAnswer, &wire.ResumeRequest{Key: request.Key, Gate: w.gate, From: f.Offset + 1})
	require.Contains(t, []wire.BeginOutcome{wire.BeginRunning, wire.BeginDone}, outcome)
	events, last, _ := rest.rest()
	require.Equal(t, wire.FrameEnd, last.Kind, last.Result.Message)
	require.EqualValues(t, 261, f.Offset+1+uint64(events))
	streams, starts := w.runs()
	require.Equal(t, []int{1, 1}, []int{streams, starts})
}

// SIGTERM cuts off nothing, refuses new work, and ends with status 0.
func TestSignalStopsGracefully(t *testing.T) {
	w := newRealWorld(t)
	outcome, a := w.post(wire.PathRun, w.request("k", 50))
	require.Equal(t, wire.BeginStarted, outcome)
	require.NoError(t, w.child.Process.Signal(syscall.SIGTERM))
	require.Eventually(t, func() bool {
		members := w.router.Members().Sides
		return len(members) == 1 && members[0].Leaving
	}, 5*time.Second, 10*time.Millisecond)
	outcome, refused := w.post(wire.PathRun, w.request("late", 5))
	refused.body.Close()
	require.Equal(t, wire.BeginLeaving, outcome)
	events, last, _ := a.rest()
	require.Equal(t, wire.FrameEnd, last.Kind)
	require.Equal(t, 51, events)
	require.NoError(t, w.child.Wait())
	require.Eventually(t, func() bool { return len(w.router.Members().Sides) == 0 }, 5*time.Second, 10*time.Millisecond)
}
