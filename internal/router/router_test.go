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
	fleetKey    = "fleet"
	callerKey   = "plot-7"
	testTimeout = 20 * time.Second
)

// fakeSide is a fake side process. It registers as a member of the fleet and
// answers every run with the same two events.
type fakeSide struct {
	node    *node.Node
	server  *httptest.Server
	begins  chan *wire.BeginRequest // each begin request, before the response
	proceed chan struct{}           // if set, respond waits for it after each event

	mu   sync.Mutex // guards keys
	keys map[ident.Key]wire.KeyState
}

func (s *fakeSide) run(w http.ResponseWriter, r *http.Request) {
	var b wire.BeginRequest
	if msgpack.NewDecoder(r.Body).Decode(&b) != nil {
		http.Error(w, "malformed", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	known := s.keys[b.Key] != wire.KeyUnknown
	s.keys[b.Key] = wire.KeyDone
	s.mu.Unlock()
	s.begins <- &b
	s.respond(w, b.Request, b.Attempt, known)
}

func (s *fakeSide) resume(w http.ResponseWriter, r *http.Request) {
	var b wire.ResumeRequest
	if msgpack.NewDecoder(r.Body).Decode(&b) != nil {
		http.Error(w, "malformed", http.StatusBadRequest)
		return
	}
	s.respond(w, b.Request, b.Attempt, true)
}

// respond streams a begin frame, two events and an end frame. known means that
// the key was begun before.
func (s *fakeSide) respond(w http.ResponseWriter, request ident.RequestID, attempt uint32, known bool) {
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
		if s.proceed != nil {
			<-s.proceed
		}
	}
	send(wire.Frame{Kind: wire.FrameEnd, Offset: 2, Usage: wire.Usage{Prompt: 5, Output: 2}, Result: wire.Result{Status: 200, ContentType: "text/plain"}})
}

// SideMethods implements the control calls that the tests need.
type SideMethods struct{ gate *fakeSide }

func (m *SideMethods) Load(_ *wire.LoadArgs, reply *wire.LoadReply) error {
	reply.Gate, reply.Slots = m.gate.node.Incarnation(), 8
	return nil
}

func (m *SideMethods) Ping(*wire.PingArgs, *wire.PingReply) error { return nil }

func (m *SideMethods) Lookup(args *wire.LookupArgs, reply *wire.LookupReply) error {
	m.gate.mu.Lock()
	defer m.gate.mu.Unlock()
	reply.Gate, reply.State = m.gate.node.Incarnation(), m.gate.keys[args.Key]
	return nil
}

// fixture runs side processes and routers in one process, with a log and a VM
// list in memory.
type fixture struct {
	t   *testing.T
	log *memlog.Log
	vms *vmlist.Memory
}

func newFixture(t *testing.T) *fixture {
	return &fixture{t: t, log: memlog.New(), vms: vmlist.NewMemory()}
}

func (f *fixture) addVM(name string) ident.VMID {
	id := ident.VMID("vm-" + name)
	f.vms.Put(vmlist.VM{ID: id, DataCentre: "waco", State: vmlist.Live})
	return id
}

func (f *fixture) startSide(name string) *fakeSide {
	s := &fakeSide{begins: make(chan *wire.BeginRequest, 64), keys: map[ident.Key]wire.KeyState{}}
	control := rpc.NewServer(fleetKey)
	require.NoError(f.t, control.Register(node.ServiceSide, &SideMethods{gate: s}))
	routes := http.NewServeMux()
	routes.Handle(wire.PathRPC, control)
	routes.HandleFunc(wire.PathRun, s.run)
	routes.HandleFunc(wire.PathAnswer, s.resume)
	s.server = httptest.NewServer(routes)
	s.node = node.New(node.Options{Role: fleet.RoleSide, VM: f.addVM(name), DataCentre: "waco", LedgerShards: 2,
		Address: s.server.Listener.Addr().String(), Server: ident.ServerID(name), FleetKey: fleetKey},
		f.log, f.vms, zerolog.Nop())
	require.NoError(f.t, s.node.Start(f.testContext()))
	f.t.Cleanup(func() { s.node.Abandon(); s.server.Close() })
	return s
}

func (f *fixture) testContext() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	f.t.Cleanup(cancel)
	return ctx
}

func (f *fixture) startRouter(name string) *Router {
	r := New(Options{VM: f.addVM(name), DataCentre: "waco", Listen: "127.0.0.1:0", InternalListen: "127.0.0.1:0",
		InternalAdvertise: name, AdminListen: "127.0.0.1:0", FleetKey: fleetKey, LedgerShards: 2},
		f.log, f.vms, zerolog.Nop())
	require.NoError(f.t, r.Start(f.testContext()))
	f.t.Cleanup(func() { _ = r.Stop(f.testContext()) })
	return r
}

// applySetting submits a change of the settings and waits until the router has
// read it back.
func (f *fixture) applySetting(r *Router, path settings.Path, value any) {
	raw, err := json.Marshal(value)
	require.NoError(f.t, err)
	change, err := record.New(settings.KindChange, settings.Change{ID: string(path), Path: path, Base: ident.NoOffset,
		Author: settings.Bootstrap, Value: raw})
	require.NoError(f.t, err)
	verdicts, err := r.node.SubmitSettings(f.testContext(), change)
	require.NoError(f.t, err)
	require.Equal(f.t, settings.Accepted, verdicts[0].Outcome)
}

// configureFleet creates two models of which the team may use one, a service, the
// team with its budget, and the servers.
func (f *fixture) configureFleet(r *Router, servers ...ident.ServerID) {
	f.applySetting(r, "models/maps", settings.Model{ContextTokens: 4096})
	f.applySetting(r, "models/hidden", settings.Model{ContextTokens: 4096})
	f.applySetting(r, "services/desk", settings.Service{NonIdempotent: []string{"POST"}})
	f.applySetting(r, "teams/hollister", settings.Team{
		Accounts: map[ident.AccountID]settings.Account{"front": {KeyHashes: []settings.KeyHash{settings.HashSecret(callerKey)}}},
		Models:   []ident.ModelID{"maps"}, Services: []ident.ServiceID{"desk"}, MaxOutputTokens: 1000,
	})
	for _, id := range servers {
		f.applySetting(r, settings.Path("servers/"+id), settings.Server{Models: []ident.ModelID{"maps"}, Services: []ident.ServiceID{"desk"}, Slots: 8})
	}
	topUp, err := record.New(ledger.KindTopUp, ledger.TopUp{Team: "hollister", ID: "1", Tokens: 100_000})
	require.NoError(f.t, err)
	_, err = r.node.Ledger().Submit(f.testContext(), "hollister", topUp)
	require.NoError(f.t, err)
}

// sendRequest sends a caller's request. headers alternates names and values and
// can replace the Authorization header.
func (f *fixture) sendRequest(r *Router, method, path, body string, headers ...string) *http.Response {
	req, err := http.NewRequestWithContext(f.testContext(), method, "http://"+r.CallersAddress()+path, strings.NewReader(body))
	require.NoError(f.t, err)
	req.Header.Set("Authorization", "Bearer "+callerKey)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(req)
	require.NoError(f.t, err)
	f.t.Cleanup(func() { response.Body.Close() })
	return response
}

func (f *fixture) readBody(response *http.Response) string {
	raw, err := io.ReadAll(response.Body)
	require.NoError(f.t, err)
	return string(raw)
}

// openChatBody is a request body without its closing brace, so that a test can
// append fields.
const openChatBody = `{"model":"maps","max_tokens":10,"messages":[{"role":"user","content":"Where is plot 7?"}]`

// A streamed, a buffered and a replayed completion, a claimed service request and
// the model list pass through the chains of two routers. With the log down, a
// request that must run at most once is refused before a gate receives it.
func TestRequestsThroughTheCompleteChain(t *testing.T) {
	f := newFixture(t)
	a, b := f.startRouter("a"), f.startRouter("b")
	f.configureFleet(a, "s1")
	s := f.startSide("s1")
	require.NoError(t, a.node.CatchUp(f.testContext(), s.node.Offsets()))
	require.NoError(t, b.node.CatchUp(f.testContext(), s.node.Offsets()))

	streamed := f.sendRequest(a, "POST", "/v1/chat/completions", openChatBody+`,"stream":true}`)
	require.Equal(t, http.StatusOK, streamed.StatusCode)
	require.Equal(t, "text/event-stream", streamed.Header.Get("Content-Type"))
	text := f.readBody(streamed)
	require.Equal(t, 3, strings.Count(text, "data: "))
	require.True(t, strings.HasSuffix(text, "data: [DONE]\n\n"))
	begin := <-s.begins
	require.Equal(t, a.node.Incarnation(), begin.Holder)
	require.Equal(t, int64(10), begin.MaxOutput)

	buffered := f.sendRequest(a, "POST", "/v1/chat/completions", openChatBody+`}`, "Idempotency-Key", "q1")
	require.Contains(t, f.readBody(buffered), `"content":"row seven"`)
	require.Empty(t, buffered.Header.Get("X-Camphor-Replayed"))
	<-s.begins

	replayed := f.sendRequest(b, "POST", "/v1/chat/completions", openChatBody+`}`, "Idempotency-Key", "q1")
	require.Contains(t, f.readBody(replayed), `"content":"row seven"`)
	require.Equal(t, "true", replayed.Header.Get("X-Camphor-Replayed"), "another router finds the first run")
	require.Empty(t, s.begins)

	serviceResponse := f.sendRequest(a, "POST", "/services/desk/orders", "{}", "Idempotency-Key", "o1")
	require.Equal(t, http.StatusOK, serviceResponse.StatusCode)
	claimed := <-s.begins
	require.True(t, claimed.AtMostOnce)
	require.Equal(t, "/orders", claimed.Call.Path)

	models := f.sendRequest(a, "GET", "/v1/models", "")
	require.JSONEq(t, `{"object":"list","data":[{"id":"maps","object":"model","owned_by":"camphorlever"}]}`, f.readBody(models))

	f.log.SetDown(true)
	refused := f.sendRequest(a, "POST", "/services/desk/orders", "{}", "Idempotency-Key", "o2")
	require.Equal(t, http.StatusServiceUnavailable, refused.StatusCode)
	body := f.readBody(refused)
	require.Contains(t, body, `"code":"log_unavailable"`)
	require.Contains(t, body, `"ran":"not_run"`)
	require.Empty(t, s.begins, "no gate receives the request")
	f.log.SetDown(false)
}

// Each invalid request must be refused with its status and code, and as not run.
// No gate may receive a begin request.
func TestInvalidRequestsAreRefusedBeforeAnyGate(t *testing.T) {
	f := newFixture(t)
	r := f.startRouter("a")
	f.configureFleet(r, "s1")
	s := f.startSide("s1")
	require.NoError(t, r.node.CatchUp(f.testContext(), s.node.Offsets()))
	messages := `"messages":[{"role":"user","content":"x"}]`
	cases := map[string]struct {
		body, path string
		headers    []string
		status     int
		code       string
	}{
		"no key":                   {openChatBody + `}`, "", []string{"Authorization", ""}, 401, "unauthorized"},
		"unknown key":              {openChatBody + `}`, "", []string{"Authorization", "Bearer x"}, 401, "unauthorized"},
		"malformed":                {`{"model":`, "", nil, 400, "bad_request"},
		"wrong type":               {`{"model":7}`, "", nil, 400, "bad_request"},
		"no messages":              {`{"model":"maps"}`, "", nil, 400, "bad_request"},
		"image":                    {`{"model":"maps","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, "", nil, 400, "bad_request"},
		"two choices":              {`{"model":"maps","n":2,` + messages + `}`, "", nil, 400, "bad_request"},
		"negative maximum":         {`{"model":"maps","max_tokens":-1,` + messages + `}`, "", nil, 400, "bad_request"},
		"absurd maximum":           {`{"model":"maps","max_tokens":999999999,` + messages + `}`, "", nil, 400, "output_too_large"},
		"over team maximum":        {`{"model":"maps","max_tokens":1001,` + messages + `}`, "", nil, 400, "output_too_large"},
		"unknown model":            {`{"model":"none",` + messages + `}`, "", nil, 404, "unknown_model"},
		"model not allowed":        {`{"model":"hidden",` + messages + `}`, "", nil, 403, "forbidden"},
		"unknown adapter":          {openChatBody + `}`, "", []string{"X-Adapter", "none"}, 404, "unknown_model"},
		"unknown service":          {`{}`, "/services/none/x", nil, 404, "unknown_service"},
		"bad once header":          {openChatBody + `}`, "", []string{"X-Camphor-Once", "perhaps"}, 400, "bad_request"},
		"idempotency key too long": {openChatBody + `}`, "", []string{"Idempotency-Key", strings.Repeat("k", 300)}, 400, "bad_request"},
		"oversized":                {strings.Repeat(" ", 5<<20), "", nil, 413, "body_too_large"},
		"bad timeout":              {openChatBody + `}`, "", []string{"X-Camphor-Timeout-Ms", "soon"}, 400, "bad_request"},
		"unknown path":             {`{}`, "/v2/none", nil, 404, "bad_request"},
		"more than the budget":     {`{"model":"maps","max_tokens":10,"messages":[{"role":"user","content":"` + strings.Repeat("x", 200_000) + `"}]}`, "", nil, 402, "budget_exhausted"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			path := c.path
			if path == "" {
				path = "/v1/chat/completions"
			}
			response := f.sendRequest(r, "POST", path, c.body, c.headers...)
			text := f.readBody(response)
			require.Equal(t, c.status, response.StatusCode, text)
			require.Contains(t, text, `"code":"`+c.code+`"`)
			require.Contains(t, text, `"ran":"not_run"`)
			require.Contains(t, text, `"request_id":"`)
		})
	}
	require.Empty(t, s.begins)
}

// Once the first event is sent, the status cannot change, so a refusal must be
// the last event of the stream.
func TestRefusalEndsAStartedStream(t *testing.T) {
	recorder := httptest.NewRecorder()
	r := &filter.Request{ID: ident.NewNonce(), Writer: filter.NewWriter(recorder, time.Second)}
	_, err := r.Writer.Write([]byte("data: {}\n\n"))
	require.NoError(t, err)
	writeRefusal(r, refusal.New(refusal.BackendFailed, refusal.DidRun, "Lost."))
	require.Equal(t, http.StatusOK, recorder.Code)
	last, ok := strings.CutPrefix(recorder.Body.String(), "data: {}\n\ndata: ")
	require.True(t, ok)
	require.JSONEq(t, `{"error":{"code":"backend_failed","message":"Lost.","ran":"ran","request_id":"`+r.ID.String()+`"}}`, last)
}

// A stop while a stream is in progress must refuse new requests and report not
// ready, let the stream end completely, and then deregister.
func TestStopFinishesStreamsAndRefusesNewRequests(t *testing.T) {
	f := newFixture(t)
	r := f.startRouter("a")
	f.configureFleet(r, "s1")
	s := f.startSide("s1")
	s.proceed = make(chan struct{})
	require.NoError(t, r.node.CatchUp(f.testContext(), s.node.Offsets()))
	open := f.sendRequest(r, "POST", "/v1/chat/completions", openChatBody+`,"stream":true}`)
	lines := bufio.NewReader(open.Body)
	first, err := lines.ReadString('\n')
	require.NoError(t, err)
	require.Contains(t, first, "row ")

	stopped := make(chan error, 1)
	go func() { stopped <- r.Stop(f.testContext()) }()
	<-r.refusing
	refused := f.sendRequest(r, "POST", "/v1/chat/completions", openChatBody+`}`)
	require.Contains(t, f.readBody(refused), `"code":"stopping"`)
	ready, err := http.Get("http://" + r.AdminAddress() + "/readyz")
	require.NoError(t, err)
	ready.Body.Close()
	require.Equal(t, http.StatusServiceUnavailable, ready.StatusCode)

	close(s.proceed)
	rest, err := io.ReadAll(lines)
	require.NoError(t, err)
	require.True(t, strings.HasSuffix(string(rest), "data: [DONE]\n\n"))
	require.NoError(t, <-stopped)
	require.NoError(t, s.node.CatchUp(f.testContext(), r.node.Offsets()))
	require.True(t, s.node.Members().Closed(r.node.Incarnation()), "deregistered")
}
