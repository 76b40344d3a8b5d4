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

// slowEngine answers chats with one token a second, as many as max_tokens,
// and counts the runs by stream.
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
		pauseFor(r.Context(), time.Second)
		if r.Context().Err() != nil {
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: {\"id\":%q,\"choices\":[{\"delta\":{\"content\":\"w\"}}]}\n\n", i, id)
		w.(http.Flusher).Flush()
	}
	fmt.Fprintf(w, "id: %d\ndata: {\"id\":%q,\"usage\":{\"prompt_tokens\":4,\"completion_tokens\":%d}}\n\ndata: [DONE]\n\n", count, id, count)
}

func (e *slowEngine) total() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.runs)
}

// world is a router's membership and one side process, in a synctest bubble.
type world struct {
	t        *testing.T
	log      *memlog.Log
	vms      *vmlist.Memory
	router   *node.Node
	process  *Process
	engine   *slowEngine
	internal *pipetest.Listener
	client   *http.Client
	stop     context.CancelFunc
	ended    chan error
}

type noCaller struct{}

func (noCaller) Call(context.Context, string, any, any) error { return rpc.ErrNotSent }
func (noCaller) Close() error                                 { return nil }

type freeWeights struct{}

func (freeWeights) Acquire(context.Context, ident.ModelID) error { return nil }

// inWorld runs a test with a registered router that holds a grant for the
// whole budget, and a side process that is ready.
func inWorld(t *testing.T, test func(t *testing.T, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{
			t: t, log: memlog.New(), vms: vmlist.NewMemory(),
			engine: &slowEngine{runs: map[string]int{}}, internal: pipetest.New(), ended: make(chan error, 1),
		}
		w.vms.Put(vmlist.VM{ID: "vm-r", DataCentre: "dc", State: vmlist.Live})
		w.vms.Put(vmlist.VM{ID: "vm-s", DataCentre: "dc", State: vmlist.Live})
		w.router = node.New(node.Options{
			Role: fleet.RoleRouter, VM: "vm-r", DataCentre: "dc", Address: "r", LedgerShards: 1,
			Dial: func(string, string) rpc.Caller { return noCaller{} },
		}, w.log, w.vms, zerolog.Nop())
		require.NoError(t, w.router.Start(t.Context()))
		w.submit(ledger.KindTopUp, ledger.TopUp{Team: team, ID: "1", Tokens: budget})
		w.submit(ledger.KindDraw, ledger.Draw{Team: team, Requested: budget, Minimum: budget})
		backend := pipetest.New()
		server := &http.Server{Handler: w.engine}
		go server.Serve(backend)
		w.startSide(backend)
		defer func() {
			w.log.SetDown(false)
			w.stop()
			if err, ok := <-w.ended; ok && err != nil {
				assert.ErrorIs(t, err, ErrSealed)
			}
			w.router.Abandon()
			server.Close()
		}()
		test(t, w)
	})
}

func (w *world) startSide(backend *pipetest.Listener) {
	options := DefaultOptions()
	options.LedgerShards = 1
	options.VM, options.DataCentre, options.Server = "vm-s", "dc", "s"
	options.InternalAdvertise, options.FleetKey = "s", fleetKey
	options.EngineURL = "http://engine"
	var err error
	w.process, err = New(options, Platform{Log: w.log, VMs: w.vms, Weights: freeWeights{}, Engine: backend.Transport()}, zerolog.Nop())
	require.NoError(w.t, err)
	var ctx context.Context
	ctx, w.stop = context.WithCancel(w.t.Context())
	go func() {
		w.ended <- w.process.Run(ctx, w.internal)
		close(w.ended)
	}()
	w.client = &http.Client{Transport: w.internal.Transport()}
	w.eventually(time.Minute, "side process is ready", func() bool { return w.process.Ready() == nil })
}

func (w *world) submit(kind record.Kind, body any) {
	r, err := record.New(kind, body)
	require.NoError(w.t, err)
	_, err = w.router.Ledger().Submit(w.t.Context(), team, r)
	require.NoError(w.t, err)
}

// change replaces a subtree of the settings; an empty value removes it.
func (w *world) change(path settings.Path, value string) {
	base := ident.NoOffset
	w.router.ViewSettings(func(s *settings.State) { base = s.Subtree(path).Version })
	r, err := record.New(settings.KindChange, settings.Change{ID: ident.NewNonce().String(), Path: path, Base: base, Author: settings.Bootstrap, Value: []byte(value)})
	require.NoError(w.t, err)
	verdicts, err := w.router.SubmitSettings(w.t.Context(), r)
	require.NoError(w.t, err)
	require.Equal(w.t, settings.Accepted, verdicts[0].Outcome, verdicts[0])
}

// billed returns the tokens that the router's fold has billed to the team.
func (w *world) billed() (billed int64) {
	w.router.Ledger().View(team, func(s *ledger.State) { billed = s.Budget(team).Billed })
	return billed
}

// request asks for a run of the given number of seconds and tokens.
func (w *world) request(key string, tokens int64) *wire.BeginRequest {
	return &wire.BeginRequest{
		Request: ident.NewNonce(), Attempt: 1, Key: ident.HashKey(team, key), Team: team,
		Router: w.router.Incarnation(), Holder: w.router.Incarnation(), Gate: w.process.gate.Incarnation(),
		TokenBound: tokens + 20, MaxOutput: tokens, Offsets: w.router.Offsets(),
		Call: wire.Call{Model: "m", Body: []byte(`{"model":"m","messages":[]}`)},
	}
}

// begin posts a request and returns its answer as a stream of frames.
func (w *world) begin(request *wire.BeginRequest) (wire.BeginOutcome, *answer) {
	raw, err := msgpack.Marshal(request)
	require.NoError(w.t, err)
	post, err := http.NewRequest(http.MethodPost, "http://side"+wire.PathRun, bytes.NewReader(raw))
	require.NoError(w.t, err)
	post.Header.Set(wire.FleetKeyHeader, fleetKey)
	response, err := w.client.Do(post)
	require.NoError(w.t, err)
	require.Equal(w.t, http.StatusOK, response.StatusCode)
	a := &answer{body: response.Body, frames: wire.NewFrameReader(response.Body)}
	var first wire.Frame
	require.NoError(w.t, a.frames.Read(&first))
	if first.Outcome > wire.BeginDone {
		a.body.Close()
	}
	return first.Outcome, a
}

type answer struct {
	body   io.Closer
	frames *wire.FrameReader
}

// rest reads to the end and returns the number of events and the last frame.
func (a *answer) rest() (events int, last wire.Frame, err error) {
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

func (w *world) eventually(limit time.Duration, what string, holds func() bool) {
	w.t.Helper()
	for waited := time.Duration(0); waited < limit; waited += 100 * time.Millisecond {
		if holds() {
			return
		}
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
	}
	w.t.Fatalf("not within %v: %s", limit, what)
}
