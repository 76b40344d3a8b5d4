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

// childSettingsEnv is the environment variable that makes this test binary run as
// a side process; its value is the path of the settings file.
const childSettingsEnv = "CAMPHOR_SIDE_TEST_SETTINGS"

func TestMain(m *testing.M) {
	if file := os.Getenv(childSettingsEnv); file != "" {
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

// childProcess is a side process in its own operating system process, with a
// stand-in engine and a router's node in the test process.
type childProcess struct {
	t       *testing.T
	router  *node.Node
	engine  *httptest.Server
	child   *exec.Cmd
	file    string
	address string
	gate    ident.Incarnation
}

func newChildProcess(t *testing.T) *childProcess {
	p := &childProcess{t: t, file: t.TempDir() + "/side.json"}
	p.engine = httptest.NewServer(standin.New(standin.Options{Models: []string{"m"}, Slots: 8, TokenTime: 20 * time.Millisecond}).Handler())
	t.Cleanup(p.engine.Close)
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
	p.address = free.Addr().String()
	free.Close()
	raw, err := json.Marshal(Options{
		VM: "vm-s", DataCentre: "dc", Server: "s", InternalListen: p.address, InternalAdvertise: p.address,
		PlatformURL: store.URL, FleetKey: fleetKey, LedgerShards: 1, EngineURL: p.engine.URL,
	})
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(p.file, raw, 0o600))
	p.router = node.New(node.Options{
		Role: fleet.RoleRouter, VM: "vm-r", DataCentre: "dc", Address: "r", LedgerShards: 1,
		Dial: func(string, string) rpc.Caller { return unreachablePeer{} },
	}, logservice.NewHTTPClient(store.URL, nil), vmlist.NewHTTPClient(store.URL, nil), zerolog.Nop())
	require.NoError(t, p.router.Start(t.Context()))
	t.Cleanup(p.router.Abandon)
	p.child = p.spawn()
	require.Eventually(t, func() bool { return len(p.router.Members().Sides) == 1 }, 10*time.Second, 10*time.Millisecond)
	p.gate = p.router.Members().Sides[0].Incarnation
	// The registration is visible to the fleet shortly before the gate opens.
	require.Eventually(t, func() bool {
		outcome, a := p.post(wire.PathAnswer, &wire.ResumeRequest{Gate: p.gate})
		a.body.Close()
		return outcome == wire.BeginUnknownKey
	}, 10*time.Second, 10*time.Millisecond)
	return p
}

func (p *childProcess) spawn() *exec.Cmd {
	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), childSettingsEnv+"="+p.file)
	var logs bytes.Buffer // complete once Wait returns
	child.Stderr = &logs
	require.NoError(p.t, child.Start())
	p.t.Cleanup(func() {
		if child.ProcessState == nil {
			child.Process.Kill()
			child.Wait()
		}
		if p.t.Failed() {
			// "signal: killed" means that the process still ran.
			p.t.Logf("side process at %s: %v, its log:\n%s", p.address, child.ProcessState, logs.String())
		}
	})
	return child
}

func (p *childProcess) post(path string, request any) (wire.BeginOutcome, *answerStream) {
	raw, err := msgpack.Marshal(request)
	require.NoError(p.t, err)
	post, err := http.NewRequest(http.MethodPost, "http://"+p.address+path, bytes.NewReader(raw))
	require.NoError(p.t, err)
	post.Header.Set(wire.FleetKeyHeader, fleetKey)
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(post)
	require.NoError(p.t, err)
	a := &answerStream{body: response.Body, frames: wire.NewFrameReader(response.Body)}
	var first wire.Frame
	require.NoError(p.t, a.frames.Read(&first))
	return first.Outcome, a
}

func (p *childProcess) request(key string, tokens int64) *wire.BeginRequest {
	return &wire.BeginRequest{
		Request: ident.NewNonce(), Key: ident.HashKey(team, key), Team: team, Gate: p.gate,
		Router: p.router.Incarnation(), Holder: p.router.Incarnation(), TokenBound: tokens + 50, MaxOutput: tokens, Offsets: p.router.Offsets(),
		Call: wire.Call{Model: "m", Body: fmt.Appendf(nil, `{"model":"m","messages":[{"role":"user","content":"[tokens=%d]"}]}`, tokens)},
	}
}

// runs returns the number of distinct streams that the engine ran, and how often
// one was started.
func (p *childProcess) runs() (streams, starts int) {
	response, err := http.Get(p.engine.URL + "/stats")
	require.NoError(p.t, err)
	defer response.Body.Close()
	var stats standin.Stats
	require.NoError(p.t, json.NewDecoder(response.Body).Decode(&stats))
	for _, n := range stats.Runs {
		streams++
		starts += n
	}
	return streams, starts
}

// Guards against lost events and a second run when SIGSTOP pauses a side process
// during an answer for longer than a router waits for heartbeats. After SIGCONT
// a reader can resume the complete answer, and the key has run once. While the
// process is paused, no second side process can start on the VM.
func TestAnswerSurvivesPausedProcess(t *testing.T) {
	p := newChildProcess(t)
	request := p.request("k", 260) // takes longer than the pause
	outcome, a := p.post(wire.PathRun, request)
	require.Equal(t, wire.BeginStarted, outcome)
	var f wire.Frame
	for f.Kind != wire.FrameEvent || f.Offset < 5 {
		require.NoError(t, a.frames.Read(&f))
	}
	require.NoError(t, p.child.Process.Signal(syscall.SIGSTOP))
	a.body.Close()
	second := p.spawn()
	require.Error(t, second.Wait(), "the second process must not start while the port is bound")
	require.Equal(t, 1, second.ProcessState.ExitCode())
	time.Sleep(wire.MaxMissedHeartbeats*wire.HeartbeatInterval + time.Second)
	require.NoError(t, p.child.Process.Signal(syscall.SIGCONT))
	time.Sleep(200 * time.Millisecond) // time to notice that the reader has disconnected
	outcome, rest := p.post(wire.PathAnswer, &wire.ResumeRequest{Key: request.Key, Gate: p.gate, From: f.Offset + 1})
	require.Contains(t, []wire.BeginOutcome{wire.BeginRunning, wire.BeginDone}, outcome)
	events, last, _ := rest.readAll()
	require.Equal(t, wire.FrameEnd, last.Kind, last.Result.Message)
	require.EqualValues(t, 261, f.Offset+1+uint64(events))
	streams, starts := p.runs()
	require.Equal(t, []int{1, 1}, []int{streams, starts})
}

// SIGTERM interrupts no run, refuses new ones, and ends the process with status 0.
func TestSIGTERMStopsGracefully(t *testing.T) {
	p := newChildProcess(t)
	outcome, a := p.post(wire.PathRun, p.request("k", 50))
	require.Equal(t, wire.BeginStarted, outcome)
	require.NoError(t, p.child.Process.Signal(syscall.SIGTERM))
	require.Eventually(t, func() bool {
		members := p.router.Members().Sides
		return len(members) == 1 && members[0].Leaving
	}, 5*time.Second, 10*time.Millisecond)
	outcome, refused := p.post(wire.PathRun, p.request("late", 5))
	refused.body.Close()
	require.Equal(t, wire.BeginLeaving, outcome)
	events, last, _ := a.readAll()
	require.Equal(t, wire.FrameEnd, last.Kind)
	require.Equal(t, 51, events)
	require.NoError(t, p.child.Wait())
	require.Eventually(t, func() bool { return len(p.router.Members().Sides) == 0 }, 5*time.Second, 10*time.Millisecond)
}
