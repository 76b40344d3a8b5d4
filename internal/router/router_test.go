package router

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/fleet"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/memlog"
	"github.com/camphorlever/camphorlever/internal/node"
	"github.com/camphorlever/camphorlever/internal/record"
	"github.com/camphorlever/camphorlever/internal/refusal"
	"github.com/camphorlever/camphorlever/internal/rpc"
	"github.com/camphorlever/camphorlever/internal/settings"
	"github.com/camphorlever/camphorlever/internal/vmlist"
	"github.com/camphorlever/camphorlever/internal/wire"
)

const (
	fleetKey  = "fleet"
	callerKey = "plot-7"
	patience  = 20 * time.Second
)

// side is a fake side process: a member of the fleet whose answers are
// scripted by the test.
type side struct {
	node   *node.Node
	server *httptest.Server
	runs   chan *wire.BeginRequest // each begin, before it is answered
	gate   chan struct{}           // if set, events after the first wait for it

	mu   sync.Mutex // guards keys
	keys map[ident.Key]wire.KeyState
}

func (s *side) run(w http.ResponseWriter, r *http.Request) {
	var b wire.BeginRequest
	if msgpack.NewDecoder(r.Body).Decode(&b) != nil {
		http.Error(w, "malformed", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	known := s.keys[b.Key] != wire.KeyUnknown
	s.keys[b.Key] = wire.KeyDone
	s.mu.Unlock()
	s.runs <- &b
	s.answer(w, b.Request, b.Attempt, known)
}

func (s *side) resume(w http.ResponseWriter, r *http.Request) {
	var b wire.ResumeRequest
	if msgpack.NewDecoder(r.Body).Decode(&b) != nil {
		http.Error(w, "malformed", http.StatusBadRequest)
		return
	}
	s.answer(w, b.Request, b.Attempt, true)
}

func (s *side) answer(w http.ResponseWriter, request ident.RequestID, attempt uint32, known bool) {
	out := wire.NewFrameWriter(w)
	send := func(f wire.Frame) {
		f.Request, f.Attempt = request, attempt
		f.Run = ident.RunID{Gate: s.node.Incarnation(), Number: 1}
		_ = out.Write(&f)
		_ = http.NewResponseController(w).Flush()
	}
	outcome := wire.BeginStarted
	if known {
		outcome = wire.BeginDone
	}
	send(wire.Frame{Kind: wire.FrameBegin, Outcome: outcome})
	for i, word := range []string{"row ", "seven"} {
		data := fmt.Sprintf(`{"id":"c","created":1,"model":"maps","choices":[{"index":0,"delta":{"content":%q}}]}`, word)
		send(wire.Frame{Kind: wire.FrameEvent, Offset: uint64(i), Tokens: 1, Data: []byte(data)})
		if s.gate != nil {
			<-s.gate
		}
	}
	send(wire.Frame{Kind: wire.FrameEnd, Offset: 2, Usage: wire.Usage{Prompt: 5, Output: 2}, Result: wire.Result{Status: 200, ContentType: "text/plain"}})
}

// SideMethods are the control calls that the fake knows.
type SideMethods struct{ s *side }

func (m *SideMethods) Load(_ *wire.LoadArgs, reply *wire.LoadReply) error {
	reply.Gate, reply.Slots = m.s.node.Incarnation(), 8
	return nil
}

func (m *SideMethods) Ping(*wire.PingArgs, *wire.PingReply) error { return nil }

func (m *SideMethods) Lookup(args *wire.LookupArgs, reply *wire.LookupReply) error {
	m.s.mu.Lock()
	defer m.s.mu.Unlock()
	reply.Gate, reply.State = m.s.node.Incarnation(), m.s.keys[args.Key]
	return nil
}

// world is a log, a VM list, sides and routers in one process.
type world struct {
	t   *testing.T
	log *memlog.Log
	vms *vmlist.Memory
}

func newWorld(t *testing.T) *world {
	return &world{t: t, log: memlog.New(), vms: vmlist.NewMemory()}
}

func (w *world) vm(name string) ident.VMID {
	id := ident.VMID("vm-" + name)
	w.vms.Put(vmlist.VM{ID: id, DataCentre: "waco", State: vmlist.Live})
	return id
}

func (w *world) side(name string) *side {
	s := &side{runs: make(chan *wire.BeginRequest, 64), keys: map[ident.Key]wire.KeyState{}}
	control := rpc.NewServer(fleetKey)
	require.NoError(w.t, control.Register(node.ServiceSide, &SideMethods{s: s}))
	routes := http.NewServeMux()
	routes.Handle(wire.PathRPC, control)
	routes.HandleFunc(wire.PathRun, s.run)
	routes.HandleFunc(wire.PathAnswer, s.resume)
	s.server = httptest.NewServer(routes)
	s.node = node.New(node.Options{Role: fleet.RoleSide, VM: w.vm(name), DataCentre: "waco", LedgerShards: 2,
		Address: s.server.Listener.Addr().String(), Server: ident.ServerID(name), FleetKey: fleetKey},
		w.log, w.vms, zerolog.Nop())
	require.NoError(w.t, s.node.Start(w.soon()))
	w.t.Cleanup(func() { s.node.Abandon(); s.server.Close() })
	return s
}

func (w *world) soon() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	w.t.Cleanup(cancel)
	return ctx
}

func (w *world) router(name string) *Router {
	r := New(Options{VM: w.vm(name), DataCentre: "waco", Listen: "127.0.0.1:0", InternalListen: "127.0.0.1:0",
		InternalAdvertise: name, AdminListen: "127.0.0.1:0", FleetKey: fleetKey, LedgerShards: 2},
		w.log, w.vms, zerolog.Nop())
	require.NoError(w.t, r.Start(w.soon()))
	w.t.Cleanup(func() { _ = r.Stop(w.soon()) })
	return r
}

// set publishes settings and waits until the router has them.
func (w *world) set(r *Router, path settings.Path, value any) {
	raw, err := json.Marshal(value)
	require.NoError(w.t, err)
	change, err := record.New(settings.KindChange, settings.Change{ID: string(path), Path: path, Base: ident.NoOffset,
		Author: settings.Bootstrap, Value: raw})
	require.NoError(w.t, err)
	verdicts, err := r.node.SubmitSettings(w.soon(), change)
	require.NoError(w.t, err)
	require.Equal(w.t, settings.Accepted, verdicts[0].Outcome)
}

func (w *world) settle(r *Router, servers ...ident.ServerID) {
	w.set(r, "models/maps", settings.Model{ContextTokens: 4096})
	w.set(r, "models/hidden", settings.Model{ContextTokens: 4096})
	w.set(r, "services/desk", settings.Service{NonIdempotent: []string{"POST"}})
	w.set(r, "teams/hollister", settings.Team{
		Accounts: map[ident.AccountID]settings.Account{"front": {KeyHashes: []settings.KeyHash{settings.HashSecret(callerKey)}}},
		Models:   []ident.ModelID{"maps"}, Services: []ident.ServiceID{"desk"}, MaxOutputTokens: 1000,
	})
	for _, id := range servers {
		w.set(r, settings.Path("servers/"+id), settings.Server{Models: []ident.ModelID{"maps"}, Services: []ident.ServiceID{"desk"}, Slots: 8})
	}
	topUp, err := record.New(ledger.KindTopUp, ledger.TopUp{Team: "hollister", ID: "1", Tokens: 100_000})
	require.NoError(w.t, err)
	_, err = r.node.Ledger().Submit(w.soon(), "hollister", topUp)
	require.NoError(w.t, err)
}

func (w *world) call(r *Router, method, path, body string, headers ...string) *http.Response {
	request, err := http.NewRequestWithContext(w.soon(), method, "http://"+r.CallersAddress()+path, strings.NewReader(body))
	require.NoError(w.t, err)
	request.Header.Set("Authorization", "Bearer "+callerKey)
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	require.NoError(w.t, err)
	w.t.Cleanup(func() { response.Body.Close() })
	return response
}

func (w *world) read(response *http.Response) string {
	raw, err := io.ReadAll(response.Body)
	require.NoError(w.t, err)
	return string(raw)
}

const chat = `{"model":"maps","max_tokens":10,"messages":[{"role":"user","content":"Where is plot 7?"}]`

func TestWholePath(t *testing.T) {
	w := newWorld(t)
	a, b := w.router("a"), w.router("b")
	w.settle(a, "s1")
	s := w.side("s1")
	require.NoError(t, a.node.CatchUp(w.soon(), s.node.Offsets()))
	require.NoError(t, b.node.CatchUp(w.soon(), s.node.Offsets()))

	streamed := w.call(a, "POST", "/v1/chat/completions", chat+`,"stream":true}`)
	require.Equal(t, http.StatusOK, streamed.StatusCode)
	require.Equal(t, "text/event-stream", streamed.Header.Get("Content-Type"))
	text := w.read(streamed)
	require.Equal(t, 3, strings.Count(text, "data: "))
	require.True(t, strings.HasSuffix(text, "data: [DONE]\n\n"))
	begin := <-s.runs
	require.Equal(t, a.node.Incarnation(), begin.Holder)
	require.Equal(t, int64(10), begin.MaxOutput)

	whole := w.call(a, "POST", "/v1/chat/completions", chat+`}`, "Idempotency-Key", "q1")
	require.Contains(t, w.read(whole), `"content":"row seven"`)
	require.Empty(t, whole.Header.Get("X-Camphor-Replayed"))
	<-s.runs

	again := w.call(b, "POST", "/v1/chat/completions", chat+`}`, "Idempotency-Key", "q1")
	require.Contains(t, w.read(again), `"content":"row seven"`)
	require.Equal(t, "true", again.Header.Get("X-Camphor-Replayed"), "another router finds the first attempt")
	require.Empty(t, s.runs)

	order := w.call(a, "POST", "/services/desk/orders", "{}", "Idempotency-Key", "o1")
	require.Equal(t, http.StatusOK, order.StatusCode)
	claimed := <-s.runs
	require.True(t, claimed.AtMostOnce)
	require.Equal(t, "/orders", claimed.Call.Path)

	models := w.call(a, "GET", "/v1/models", "")
	require.JSONEq(t, `{"object":"list","data":[{"id":"maps","object":"model","owned_by":"camphorlever"}]}`, w.read(models))

	w.log.SetDown(true)
	refused := w.call(a, "POST", "/services/desk/orders", "{}", "Idempotency-Key", "o2")
	require.Equal(t, http.StatusServiceUnavailable, refused.StatusCode)
	body := w.read(refused)
	require.Contains(t, body, `"code":"log_unavailable"`)
	require.Contains(t, body, `"ran":"not_run"`)
	require.Empty(t, s.runs, "no gate hears of it")
	w.log.SetDown(false)
}

func TestBadInputIsRefusedAndHoldsNothing(t *testing.T) {
	w := newWorld(t)
	r := w.router("a")
	w.settle(r, "s1")
	s := w.side("s1")
	require.NoError(t, r.node.CatchUp(w.soon(), s.node.Offsets()))
	messages := `"messages":[{"role":"user","content":"x"}]`
	cases := map[string]struct {
		body, path string
		headers    []string
		status     int
		code       string
	}{
		"no key":             {chat + `}`, "", []string{"Authorization", ""}, 401, "unauthorized"},
		"unknown key":        {chat + `}`, "", []string{"Authorization", "Bearer x"}, 401, "unauthorized"},
		"malformed":          {`{"model":`, "", nil, 400, "bad_request"},
		"wrong type":         {`{"model":7}`, "", nil, 400, "bad_request"},
		"no messages":        {`{"model":"maps"}`, "", nil, 400, "bad_request"},
		"image":              {`{"model":"maps","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, "", nil, 400, "bad_request"},
		"two choices":        {`{"model":"maps","n":2,` + messages + `}`, "", nil, 400, "bad_request"},
		"negative maximum":   {`{"model":"maps","max_tokens":-1,` + messages + `}`, "", nil, 400, "bad_request"},
		"absurd maximum":     {`{"model":"maps","max_tokens":999999999,` + messages + `}`, "", nil, 400, "output_too_large"},
		"over the team's":    {`{"model":"maps","max_tokens":1001,` + messages + `}`, "", nil, 400, "output_too_large"},
		"unknown model":      {`{"model":"none",` + messages + `}`, "", nil, 404, "unknown_model"},
		"another's model":    {`{"model":"hidden",` + messages + `}`, "", nil, 403, "forbidden"},
		"unknown adapter":    {chat + `}`, "", []string{"X-Adapter", "none"}, 404, "unknown_model"},
		"unknown service":    {`{}`, "/services/none/x", nil, 404, "unknown_service"},
		"bad once":           {chat + `}`, "", []string{"X-Camphor-Once", "perhaps"}, 400, "bad_request"},
		"long key":           {chat + `}`, "", []string{"Idempotency-Key", strings.Repeat("k", 300)}, 400, "bad_request"},
		"oversized":          {strings.Repeat(" ", 5<<20), "", nil, 413, "body_too_large"},
		"bad timeout":        {chat + `}`, "", []string{"X-Camphor-Timeout-Ms", "soon"}, 400, "bad_request"},
		"unknown path":       {`{}`, "/v2/none", nil, 404, "bad_request"},
		"more than a budget": {`{"model":"maps","max_tokens":10,"messages":[{"role":"user","content":"` + strings.Repeat("x", 200_000) + `"}]}`, "", nil, 402, "budget_exhausted"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			path := c.path
			if path == "" {
				path = "/v1/chat/completions"
			}
			response := w.call(r, "POST", path, c.body, c.headers...)
			text := w.read(response)
			require.Equal(t, c.status, response.StatusCode, text)
			require.Contains(t, text, `"code":"`+c.code+`"`)
			require.Contains(t, text, `"ran":"not_run"`)
			require.Contains(t, text, `"request_id":"`)
		})
	}
	require.Empty(t, s.runs)
}

func TestErrorEndsAStreamThatHasBegun(t *testing.T) {
	recorder := httptest.NewRecorder()
	r := &filter.Request{ID: ident.NewNonce(), Writer: filter.NewWriter(recorder, time.Second)}
	_, err := r.Writer.Write([]byte("data: {}\n\n"))
	require.NoError(t, err)
	finish(r, refusal.New(refusal.BackendFailed, refusal.DidRun, "Lost."))
	require.Equal(t, http.StatusOK, recorder.Code)
	last, ok := strings.CutPrefix(recorder.Body.String(), "data: {}\n\ndata: ")
	require.True(t, ok)
	require.JSONEq(t, `{"error":{"code":"backend_failed","message":"Lost.","ran":"ran","request_id":"`+r.ID.String()+`"}}`, last)
}

func TestStopFinishesStreamsAndRefusesNewRequests(t *testing.T) {
	w := newWorld(t)
	r := w.router("a")
	w.settle(r, "s1")
	s := w.side("s1")
	s.gate = make(chan struct{})
	require.NoError(t, r.node.CatchUp(w.soon(), s.node.Offsets()))
	open := w.call(r, "POST", "/v1/chat/completions", chat+`,"stream":true}`)
	lines := bufio.NewReader(open.Body)
	first, err := lines.ReadString('\n')
	require.NoError(t, err)
	require.Contains(t, first, "row ")

	stopped := make(chan error, 1)
	go func() { stopped <- r.Stop(w.soon()) }()
	<-r.refusing
	late := w.call(r, "POST", "/v1/chat/completions", chat+`}`)
	require.Contains(t, w.read(late), `"code":"stopping"`)
	ready, err := http.Get("http://" + r.AdminAddress() + "/readyz")
	require.NoError(t, err)
	ready.Body.Close()
	require.Equal(t, http.StatusServiceUnavailable, ready.StatusCode)

	close(s.gate)
	rest, err := io.ReadAll(lines)
	require.NoError(t, err)
	require.True(t, strings.HasSuffix(string(rest), "data: [DONE]\n\n"))
	require.NoError(t, <-stopped)
	require.NoError(t, s.node.CatchUp(w.soon(), r.node.Offsets()))
	require.True(t, s.node.Members().Closed(r.node.Incarnation()), "deregistered")
}
