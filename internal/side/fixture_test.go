package side

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/camphorlever/camphorlever/internal/fleet"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/memlog"
	"github.com/camphorlever/camphorlever/internal/node"
	"github.com/camphorlever/camphorlever/internal/pipetest"
	"github.com/camphorlever/camphorlever/internal/record"
	"github.com/camphorlever/camphorlever/internal/rpc"
	"github.com/camphorlever/camphorlever/internal/settings"
	"github.com/camphorlever/camphorlever/internal/vmlist"
	"github.com/camphorlever/camphorlever/internal/wire"
)

const (
	team     ident.TeamID = "team"
	fleetKey string       = "fleet"
	budget   int64        = 10_000 // tokens
)

// slowEngine answers chat requests with max_tokens tokens, one per second, and
// counts the requests by request id.
type slowEngine struct {
	mu   sync.Mutex
	runs map[string]int
}

func (e *slowEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	raw, _ := io.ReadAll(r.Body)
	if r.URL.Path != "/v1/chat/completions" {
		fmt.Fprint(w, `{"count":4}`)
		return
	}
	id := r.Header.Get("X-Request-Id")
	e.mu.Lock()
	e.runs[id]++
	e.mu.Unlock()
	var count int
	fmt.Sscanf(string(raw[strings.Index(string(raw), `"max_tokens":`):]), `"max_tokens":%d`, &count)
	for i := range count {
		sleep(r.Context(), time.Second)
		if r.Context().Err() != nil {
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: {\"id\":%q,\"choices\":[{\"delta\":{\"content\":\"w\"}}]}\n\n", i, id)
		w.(http.Flusher).Flush()
	}
	fmt.Fprintf(w, "id: %d\ndata: {\"id\":%q,\"usage\":{\"prompt_tokens\":4,\"completion_tokens\":%d}}\n\ndata: [DONE]\n\n", count, id, count)
}

func (e *slowEngine) runCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.runs)
}

// fixture is a router's node and one side process, in a synctest bubble.
type fixture struct {
	t         *testing.T
	log       *memlog.Log
	vms       *vmlist.Memory
	router    *node.Node
	process   *Process
	engine    *slowEngine
	internal  *pipetest.Listener
	client    *http.Client
	stop      context.CancelFunc
	runResult chan error
}

type unreachablePeer struct{}

func (unreachablePeer) Call(context.Context, string, any, any) error { return rpc.ErrNotSent }
func (unreachablePeer) Close() error                                 { return nil }

type unlimitedWeights struct{}

func (unlimitedWeights) Acquire(context.Context, ident.ModelID) error { return nil }

// withFixture runs a test with a registered router that holds a grant for the
// whole budget, and a side process that is ready.
func withFixture(t *testing.T, test func(t *testing.T, f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{
			t: t, log: memlog.New(), vms: vmlist.NewMemory(),
			engine: &slowEngine{runs: map[string]int{}}, internal: pipetest.New(), runResult: make(chan error, 1),
		}
		f.vms.Put(vmlist.VM{ID: "vm-r", DataCentre: "dc", State: vmlist.Live})
		f.vms.Put(vmlist.VM{ID: "vm-s", DataCentre: "dc", State: vmlist.Live})
		f.router = node.New(node.Options{
			Role: fleet.RoleRouter, VM: "vm-r", DataCentre: "dc", Address: "r", LedgerShards: 1,
			Dial: func(string, string) rpc.Caller { return unreachablePeer{} },
		}, f.log, f.vms, zerolog.Nop())
		require.NoError(t, f.router.Start(t.Context()))
		f.submit(ledger.KindTopUp, ledger.TopUp{Team: team, ID: "1", Tokens: budget})
		f.submit(ledger.KindDraw, ledger.Draw{Team: team, Requested: budget, Minimum: budget})
		backend := pipetest.New()
		server := &http.Server{Handler: f.engine}
		go server.Serve(backend)
		f.startSide(backend)
		defer func() {
			f.log.SetDown(false)
			f.stop()
			if err, ok := <-f.runResult; ok && err != nil {
				assert.ErrorIs(t, err, ErrSealed)
			}
			f.router.Abandon()
			server.Close()
		}()
		test(t, f)
	})
}

func (f *fixture) startSide(backend *pipetest.Listener) {
	options := DefaultOptions()
	options.LedgerShards = 1
	options.VM, options.DataCentre, options.Server = "vm-s", "dc", "s"
	options.InternalAdvertise, options.FleetKey = "s", fleetKey
	options.EngineURL = "http://engine"
	var err error
	f.process, err = New(options, Platform{Log: f.log, VMs: f.vms, Weights: unlimitedWeights{}, Engine: backend.Transport()}, zerolog.Nop())
	require.NoError(f.t, err)
	var ctx context.Context
	ctx, f.stop = context.WithCancel(f.t.Context())
	go func() {
		f.runResult <- f.process.Run(ctx, f.internal)
		close(f.runResult)
	}()
	f.client = &http.Client{Transport: f.internal.Transport()}
	f.eventually(time.Minute, "side process is ready", func() bool { return f.process.Ready() == nil })
}

func (f *fixture) submit(kind record.Kind, body any) {
	r, err := record.New(kind, body)
	require.NoError(f.t, err)
	_, err = f.router.Ledger().Submit(f.t.Context(), team, r)
	require.NoError(f.t, err)
}

// changeSettings replaces a subtree of the settings; an empty value removes it.
func (f *fixture) changeSettings(path settings.Path, value string) {
	base := ident.NoOffset
	f.router.ViewSettings(func(s *settings.State) { base = s.Subtree(path).Version })
	r, err := record.New(settings.KindChange, settings.Change{ID: ident.NewNonce().String(), Path: path, Base: base, Author: settings.Bootstrap, Value: []byte(value)})
	require.NoError(f.t, err)
	verdicts, err := f.router.SubmitSettings(f.t.Context(), r)
	require.NoError(f.t, err)
	require.Equal(f.t, settings.Accepted, verdicts[0].Outcome, verdicts[0])
}

// billedTokens returns the tokens billed to the team in the fold of the router.
func (f *fixture) billedTokens() (billed int64) {
	f.router.Ledger().View(team, func(s *ledger.State) { billed = s.Budget(team).Billed })
	return billed
}

// request returns a request for a run of the given number of tokens, which takes
// as many seconds.
func (f *fixture) request(key string, tokens int64) *wire.BeginRequest {
	return &wire.BeginRequest{
		Request: ident.NewNonce(), Attempt: 1, Key: ident.HashKey(team, key), Team: team,
		Router: f.router.Incarnation(), Holder: f.router.Incarnation(), Gate: f.process.gate.Incarnation(),
		TokenBound: tokens + 20, MaxOutput: tokens, Offsets: f.router.Offsets(),
		Call: wire.Call{Model: "m", Body: []byte(`{"model":"m","messages":[]}`)},
	}
}

// begin posts a request. It returns the outcome in the first frame and a reader
// of the others.
func (f *fixture) begin(request *wire.BeginRequest) (wire.BeginOutcome, *answerStream) {
	raw, err := msgpack.Marshal(request)
	require.NoError(f.t, err)
	post, err := http.NewRequest(http.MethodPost, "http://side"+wire.PathRun, bytes.NewReader(raw))
	require.NoError(f.t, err)
	post.Header.Set(wire.FleetKeyHeader, fleetKey)
	response, err := f.client.Do(post)
	require.NoError(f.t, err)
	require.Equal(f.t, http.StatusOK, response.StatusCode)
	a := &answerStream{body: response.Body, frames: wire.NewFrameReader(response.Body)}
	var first wire.Frame
	require.NoError(f.t, a.frames.Read(&first))
	if first.Outcome > wire.BeginDone {
		a.body.Close()
	}
	return first.Outcome, a
}

type answerStream struct {
	body   io.Closer
	frames *wire.FrameReader
}

// readAll reads to the end and returns the number of events, the last frame and
// the error that ended the stream.
func (a *answerStream) readAll() (events int, last wire.Frame, err error) {
	defer a.body.Close()
	for {
		var f wire.Frame
		if err := a.frames.Read(&f); err != nil {
			return events, last, err
		}
		if f.Kind == wire.FrameEvent {
			events++
		}
		last = f
	}
}

func (f *fixture) eventually(limit time.Duration, description string, condition func() bool) {
	f.t.Helper()
	for waited := time.Duration(0); waited < limit; waited += 100 * time.Millisecond {
		if condition() {
			return
		}
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
	}
	f.t.Fatalf("condition not met within %v: %s", limit, description)
}
