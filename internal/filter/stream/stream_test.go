package stream

import (
	"context"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/refusal"
	"github.com/camphorlever/camphorlever/internal/relay"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// fixture fakes all dependencies of the filter.
type fixture struct {
	t          *testing.T
	beginErr   error
	begin      *fakeStream
	attachErr  error
	attached   *fakeStream
	seal       wire.SealKeyReply
	sealErr    error
	gateSealed bool

	calls     []string // of the filter, in order
	request   *wire.BeginRequest
	settled   []int64
	retained  int
	lost      int
	cancelled chan struct{}
}

type fakeStream struct {
	outcome wire.BeginOutcome
	frames  []wire.Frame
	err     error         // returned after the frames
	wait    chan struct{} // delays the last frame until it is closed
}

func (s *fakeStream) BeginFrame() wire.Frame {
	return wire.Frame{Kind: wire.FrameBegin, Outcome: s.outcome, Run: ident.RunID{Gate: 7, Number: 1}}
}

func (s *fakeStream) Next() (wire.Frame, error) {
	if len(s.frames) == 0 {
		return wire.Frame{}, s.err
	}
	if len(s.frames) == 1 && s.wait != nil {
		<-s.wait
	}
	f := s.frames[0]
	s.frames = s.frames[1:]
	return f, nil
}

func (s *fakeStream) Close() {}

func (f *fixture) Begin(_ context.Context, _ filter.Target, r *wire.BeginRequest) (Stream, error) {
	f.calls = append(f.calls, "begin")
	f.request = r
	if f.beginErr != nil {
		return nil, f.beginErr
	}
	return f.begin, nil
}

func (f *fixture) Attach(context.Context, filter.Target, *wire.ResumeRequest) (Stream, error) {
	f.calls = append(f.calls, "attach")
	if f.attachErr != nil {
		return nil, f.attachErr
	}
	return f.attached, nil
}

func (f *fixture) SealKey(context.Context, filter.Target, ident.Key) (wire.SealKeyReply, error) {
	f.calls = append(f.calls, "seal")
	return f.seal, f.sealErr
}

func (f *fixture) Cancel(context.Context, filter.Target, ident.Key) error {
	close(f.cancelled)
	return nil
}

func (f *fixture) Track(RunRecord) bool {
	f.calls = append(f.calls, "track")
	return !f.gateSealed
}
func (f *fixture) NotStarted(RunRecord)                      { f.calls = append(f.calls, "not started") }
func (f *fixture) OutcomeUnknown(RunRecord)                  { f.lost++ }
func (f *fixture) Finish(RunRecord, ident.RunID, wire.Usage) { f.calls = append(f.calls, "finish") }
func (f *fixture) Incarnation() ident.Incarnation            { return 3 }
func (f *fixture) Offsets() wire.Offsets                     { return wire.Offsets{Settings: 1, Fleet: 2} }
func (f *fixture) Holder() ident.Incarnation                 { return 3 }
func (f *fixture) Settle(actual int64)                       { f.settled = append(f.settled, actual) }
func (f *fixture) KeepReserved(_ ident.Key, gate ident.Incarnation) {
	f.retained++
	require.Equal(f.t, ident.Incarnation(7), gate)
}

var usage = wire.Usage{Prompt: 4, Output: 2}

func event(data string) wire.Frame { return wire.Frame{Kind: wire.FrameEvent, Data: []byte(data)} }
func end() wire.Frame              { return wire.Frame{Kind: wire.FrameEnd, Usage: usage} }
func failure(u wire.Usage) wire.Frame {
	return wire.Frame{Kind: wire.FrameFailed, Usage: u, Result: wire.Result{Message: "gone"}}
}

func completeStream(outcome wire.BeginOutcome) *fakeStream {
	return &fakeStream{outcome: outcome, frames: []wire.Frame{event("1"), event("2"), end()}}
}

func newRequest(f *fixture) (*filter.Request, *httptest.ResponseRecorder) {
	recorder := httptest.NewRecorder()
	return &filter.Request{
		ID:              ident.NewNonce(),
		Writer:          filter.NewWriter(recorder, time.Second),
		Stream:          true,
		Attempt:         1,
		Reservation:     f,
		AttemptObserver: filter.NopObserver{},
		PromptBound:     10,
		MaxOutput:       10,
		Target:          filter.Target{Gate: 7},
	}, recorder
}

const wholeBody = "data: 1\n\ndata: 2\n\ndata: [DONE]\n\n"

func TestBeginOutcomes(t *testing.T) {
	lost := errors.Wrap(relay.ErrNoReply, "test")
	notSent := errors.Wrap(relay.ErrNotSent, "test")
	running, done := wire.SealKeyReply{Gate: 7, Was: wire.KeyRunning}, wire.SealKeyReply{Gate: 7, Was: wire.KeyDone}
	unknown, sealed := wire.SealKeyReply{Gate: 7}, wire.SealKeyReply{Gate: 7, Was: wire.KeySealed}
	refusedWith := func(o wire.BeginOutcome) fixture { return fixture{begin: &fakeStream{outcome: o}} }
	cases := map[string]struct {
		fixture  fixture
		once     bool
		code     refusal.Code // empty: answered
		ran      refusal.Execution
		retry    filter.RetryReason
		settled  []int64
		retained int
		calls    []string
	}{
		"started":                   {fixture: fixture{begin: completeStream(wire.BeginStarted)}, settled: []int64{6}, calls: []string{"track", "begin", "finish"}},
		"attached":                  {fixture: fixture{begin: completeStream(wire.BeginRunning)}, settled: []int64{0}, calls: []string{"track", "begin", "not started"}},
		"done":                      {fixture: fixture{begin: completeStream(wire.BeginDone)}, settled: []int64{0}, calls: []string{"track", "begin", "not started"}},
		"gone":                      {fixture: refusedWith(wire.BeginNotRetained), code: refusal.AnswerNotRetained, ran: refusal.DidRun, calls: []string{"track", "begin", "not started"}},
		"conflict":                  {fixture: refusedWith(wire.BeginConflict), code: refusal.KeyReused, ran: refusal.NotRun, calls: []string{"track", "begin", "not started"}},
		"leaving":                   {fixture: refusedWith(wire.BeginLeaving), code: refusal.NoServer, ran: refusal.NotRun, retry: retryRefused, calls: []string{"track", "begin", "not started"}},
		"behind":                    {fixture: refusedWith(wire.BeginBehind), code: refusal.NoServer, ran: refusal.NotRun, retry: retryRefused, calls: []string{"track", "begin", "not started"}},
		"full":                      {fixture: refusedWith(wire.BeginFull), code: refusal.Overloaded, ran: refusal.NotRun, retry: retryRefused, calls: []string{"track", "begin", "not started"}},
		"stranger":                  {fixture: refusedWith(wire.BeginWrongIncarnation), code: refusal.NoServer, ran: refusal.NotRun, retry: retryRefused, calls: []string{"track", "begin", "not started"}},
		"gate's incarnation sealed": {fixture: fixture{gateSealed: true}, code: refusal.NoServer, ran: refusal.NotRun, retry: retryGateSealed, calls: []string{"track"}},
		"never sent":                {fixture: fixture{beginErr: notSent}, code: refusal.NoServer, ran: refusal.NotRun, retry: retryNotSent, calls: []string{"track", "begin", "not started"}},

		"lost, unknown to the gate":       {fixture: fixture{beginErr: lost, seal: unknown}, code: refusal.NoServer, ran: refusal.NotRun, retry: retrySealed, calls: []string{"track", "begin", "seal", "not started"}},
		"lost, sealed before":             {fixture: fixture{beginErr: lost, seal: sealed}, code: refusal.NoServer, ran: refusal.NotRun, retry: retrySealed, calls: []string{"track", "begin", "seal", "not started"}},
		"lost, running":                   {fixture: fixture{beginErr: lost, seal: running, attached: completeStream(wire.BeginRunning)}, settled: []int64{6}, calls: []string{"track", "begin", "seal", "attach", "finish"}},
		"lost, done":                      {fixture: fixture{beginErr: lost, seal: done, attached: completeStream(wire.BeginDone)}, settled: []int64{6}, calls: []string{"track", "begin", "seal", "attach", "finish"}},
		"lost, no seal either":            {fixture: fixture{beginErr: lost, sealErr: errors.New("cut")}, code: refusal.OutcomeUnknown, ran: refusal.MayHaveRun, retry: retryMayHaveRun, retained: 1, calls: []string{"track", "begin", "seal"}},
		"lost, other incarnation answers": {fixture: fixture{beginErr: lost, seal: wire.SealKeyReply{Gate: 8}}, code: refusal.OutcomeUnknown, ran: refusal.MayHaveRun, retry: retryMayHaveRun, retained: 1, calls: []string{"track", "begin", "seal"}},
		"lost, running, unreadable":       {fixture: fixture{beginErr: lost, seal: running, attachErr: lost}, code: refusal.OutcomeUnknown, ran: refusal.MayHaveRun, retry: retryMayHaveRun, retained: 1, calls: []string{"track", "begin", "seal", "attach"}},
		"lost, done, dropped":             {fixture: fixture{beginErr: lost, seal: done, attached: &fakeStream{outcome: wire.BeginNotRetained}}, code: refusal.AnswerNotRetained, ran: refusal.DidRun, retained: 1, calls: []string{"track", "begin", "seal", "attach"}},

		"once: lost, unknown":        {fixture: fixture{beginErr: lost, seal: unknown}, once: true, code: refusal.NoServer, ran: refusal.NotRun, retry: retrySealed, calls: []string{"track", "begin", "seal", "not started"}},
		"once: lost, no seal":        {fixture: fixture{beginErr: lost, sealErr: errors.New("cut")}, once: true, code: refusal.OutcomeUnknown, ran: refusal.MayHaveRun, retained: 1, calls: []string{"track", "begin", "seal"}},
		"once: leaving":              {fixture: refusedWith(wire.BeginLeaving), once: true, code: refusal.NoServer, ran: refusal.NotRun, calls: []string{"track", "begin", "not started", "seal"}},
		"once: incarnation replaced": {fixture: refusedWith(wire.BeginWrongIncarnation), once: true, code: refusal.OutcomeUnknown, ran: refusal.MayHaveRun, calls: []string{"track", "begin", "not started"}},
		"once: failed at the end":    {fixture: fixture{begin: &fakeStream{outcome: wire.BeginStarted, frames: []wire.Frame{failure(wire.Usage{})}}}, once: true, code: refusal.BackendFailed, ran: refusal.MayHaveRun, settled: []int64{0}, calls: []string{"track", "begin", "finish"}},

		"failed before output":    {fixture: fixture{begin: &fakeStream{outcome: wire.BeginStarted, frames: []wire.Frame{failure(usage)}}}, code: refusal.BackendFailed, ran: refusal.DidRun, retry: retryFailed, settled: []int64{6}, calls: []string{"track", "begin", "finish"}},
		"failed after output":     {fixture: fixture{begin: &fakeStream{outcome: wire.BeginStarted, frames: []wire.Frame{event("1"), failure(usage)}}}, code: refusal.BackendFailed, ran: refusal.DidRun, settled: []int64{6}, calls: []string{"track", "begin", "finish"}},
		"cannot be resumed, none": {fixture: fixture{begin: &fakeStream{outcome: wire.BeginStarted, err: relay.ErrNotResumable}}, code: refusal.OutcomeUnknown, ran: refusal.MayHaveRun, retry: retryMayHaveRun, retained: 1, calls: []string{"track", "begin"}},
		"cannot be resumed, some": {fixture: fixture{begin: &fakeStream{outcome: wire.BeginStarted, frames: []wire.Frame{event("1")}, err: relay.ErrNotResumable}}, code: refusal.BackendFailed, ran: refusal.DidRun, retained: 1, calls: []string{"track", "begin"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := c.fixture
			f.t = t
			r, recorder := newRequest(&f)
			r.Once = c.once
			out := New(Deps{Relay: &f, Gates: &f, Settler: &f, RouterInfo: &f}).Handle(t.Context(), r, nil)
			require.Equal(t, c.retry, out.Retry)
			require.Equal(t, c.calls, f.calls)
			require.Equal(t, c.settled, f.settled)
			require.Equal(t, c.retained, f.retained)
			require.Equal(t, f.retained, f.lost, "every retained reservation is reported to the settler")
			require.Equal(t, len(c.settled)+c.retained == 0, r.Reservation != nil, "admit releases the reservation exactly if this filter has not")
			mayHaveRun := c.ran == refusal.MayHaveRun && c.retained > 0 || c.retry == retryFailed
			require.Equal(t, mayHaveRun, r.MayHaveRun)
			if c.code == "" {
				require.Nil(t, out.Refusal)
				require.Equal(t, wholeBody, recorder.Body.String())
				return
			}
			require.Equal(t, c.code, out.Refusal.Code)
			require.Equal(t, c.ran, out.Refusal.Ran)
		})
	}
}

func TestBeginRequestCarriesRemainingDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{begin: completeStream(wire.BeginStarted)}
		r, _ := newRequest(f)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		time.Sleep(20 * time.Second)
		New(Deps{Relay: f, Gates: f, Settler: f, RouterInfo: f}).Handle(ctx, r, nil)
		require.Equal(t, 40*time.Second, f.request.Timeout)
		require.Equal(t, wire.Offsets{Settings: 1, Fleet: 2}, f.request.Offsets)
	})
}

// TestCallerDisconnect covers a caller that disconnects during the answer: its run is
// cancelled unless it has an idempotency key, and settled in any case.
func TestCallerDisconnect(t *testing.T) {
	for _, keyed := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			stream := completeStream(wire.BeginStarted)
			stream.wait = make(chan struct{})
			f := &fixture{begin: stream, cancelled: make(chan struct{})}
			r, _ := newRequest(f)
			if keyed {
				r.CallerKey = "order 12"
			}
			ctx, disconnect := context.WithCancel(context.Background())
			ended := make(chan struct{})
			go func() {
				New(Deps{Relay: f, Gates: f, Settler: f, RouterInfo: f}).Handle(ctx, r, nil)
				close(ended)
			}()
			synctest.Wait()
			disconnect()
			synctest.Wait()
			select {
			case <-f.cancelled:
				require.False(t, keyed)
			default:
				require.True(t, keyed)
			}
			close(stream.wait)
			<-ended
			require.Equal(t, []int64{6}, f.settled)
		})
	}
}

func TestBufferedAnswers(t *testing.T) {
	f := &fixture{begin: &fakeStream{outcome: wire.BeginStarted, frames: []wire.Frame{
		event(`{"id":"c1","created":5,"model":"maps","choices":[{"delta":{"role":"assistant","content":"row "}}]}`),
		event(`{"id":"c1","created":5,"model":"maps","choices":[{"delta":{"content":"7","tool_calls":[{"index":0,"id":"t","function":{"name":"f","arguments":"{"}}]},"finish_reason":null}]}`),
		event(`{"id":"c1","created":5,"model":"maps","choices":[{"delta":{"tool_calls":[{"index":0,"function":{"arguments":"}"}}]},"finish_reason":"stop"}],"usage":{"prompt_tokens":4,"completion_tokens":2,"total_tokens":6}}`),
		end(),
	}}}
	r, recorder := newRequest(f)
	r.Stream = false
	out := New(Deps{Relay: f, Gates: f, Settler: f, RouterInfo: f}).Handle(t.Context(), r, nil)
	require.Nil(t, out.Refusal)
	require.JSONEq(t, `{"id":"c1","object":"chat.completion","created":5,"model":"maps","choices":[{"index":0,"message":
		{"role":"assistant","content":"row 7","tool_calls":[{"id":"t","type":"function","function":{"name":"f","arguments":"{}"}}]},
		"finish_reason":"stop"}],"usage":{"prompt_tokens":4,"completion_tokens":2,"total_tokens":6}}`, recorder.Body.String())

	f = &fixture{begin: &fakeStream{outcome: wire.BeginStarted, frames: []wire.Frame{event("or"), event("der"),
		{Kind: wire.FrameEnd, Usage: usage, Result: wire.Result{Status: 201, ContentType: "text/plain"}}}}}
	r, recorder = newRequest(f)
	r.Route.Service = "desk"
	out = New(Deps{Relay: f, Gates: f, Settler: f, RouterInfo: f}).Handle(t.Context(), r, nil)
	require.Nil(t, out.Refusal)
	require.Equal(t, 201, recorder.Code)
	require.Equal(t, "order", recorder.Body.String())
	require.Equal(t, "text/plain", recorder.Header().Get("Content-Type"))
}
