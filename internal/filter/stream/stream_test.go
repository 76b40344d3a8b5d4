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

// world is everything that the filter talks to.
type world struct {
	t          *testing.T
	beginErr   error
	begin      *fakeStream
	attachErr  error
	attached   *fakeStream
	seal       wire.SealKeyReply
	sealErr    error
	sealedGate bool

	log       []string // what was done, in order
	request   *wire.BeginRequest
	settled   []int64
	held      int
	lost      int
	cancelled chan struct{}
}

type fakeStream struct {
	outcome wire.BeginOutcome
	frames  []wire.Frame
	err     error         // after the frames
	wait    chan struct{} // before the last frame
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

func (w *world) Begin(_ context.Context, _ filter.Target, r *wire.BeginRequest) (Stream, error) {
	w.log = append(w.log, "begin")
	w.request = r
	if w.beginErr != nil {
		return nil, w.beginErr
	}
	return w.begin, nil
}

func (w *world) Attach(context.Context, filter.Target, *wire.ResumeRequest) (Stream, error) {
	w.log = append(w.log, "attach")
	if w.attachErr != nil {
		return nil, w.attachErr
	}
	return w.attached, nil
}

func (w *world) SealKey(context.Context, filter.Target, ident.Key) (wire.SealKeyReply, error) {
	w.log = append(w.log, "seal")
	return w.seal, w.sealErr
}

func (w *world) Cancel(context.Context, filter.Target, ident.Key) error {
	close(w.cancelled)
	return nil
}

func (w *world) Track(RunRecord) bool {
	w.log = append(w.log, "track")
	return !w.sealedGate
}
func (w *world) NotStarted(RunRecord)                      { w.log = append(w.log, "not started") }
func (w *world) OutcomeUnknown(RunRecord)                  { w.lost++ }
func (w *world) Finish(RunRecord, ident.RunID, wire.Usage) { w.log = append(w.log, "finish") }
func (w *world) Incarnation() ident.Incarnation            { return 3 }
func (w *world) Offsets() wire.Offsets                     { return wire.Offsets{Settings: 1, Fleet: 2} }
func (w *world) Holder() ident.Incarnation                 { return 3 }
func (w *world) Settle(actual int64)                       { w.settled = append(w.settled, actual) }
func (w *world) KeepReserved(_ ident.Key, gate ident.Incarnation) {
	w.held++
	require.Equal(w.t, ident.Incarnation(7), gate)
}

var usage = wire.Usage{Prompt: 4, Output: 2}

func event(data string) wire.Frame { return wire.Frame{Kind: wire.FrameEvent, Data: []byte(data)} }
func end() wire.Frame              { return wire.Frame{Kind: wire.FrameEnd, Usage: usage} }
func failure(u wire.Usage) wire.Frame {
	return wire.Frame{Kind: wire.FrameFailed, Usage: u, Result: wire.Result{Message: "gone"}}
}

func answer(outcome wire.BeginOutcome) *fakeStream {
	return &fakeStream{outcome: outcome, frames: []wire.Frame{event("1"), event("2"), end()}}
}

func newRequest(w *world) (*filter.Request, *httptest.ResponseRecorder) {
	recorder := httptest.NewRecorder()
	return &filter.Request{
		ID:              ident.NewNonce(),
		Writer:          filter.NewWriter(recorder, time.Second),
		Stream:          true,
		Attempt:         1,
		Reservation:     w,
		AttemptObserver: filter.NopObserver{},
		PromptBound:     10,
		MaxOutput:       10,
		Target:          filter.Target{Gate: 7},
	}, recorder
}

const wholeBody = "data: 1\n\ndata: 2\n\ndata: [DONE]\n\n"

func TestEveryStepOfABegin(t *testing.T) {
	lost := errors.Wrap(relay.ErrNoReply, "test")
	notSent := errors.Wrap(relay.ErrNotSent, "test")
	running, done := wire.SealKeyReply{Gate: 7, Was: wire.KeyRunning}, wire.SealKeyReply{Gate: 7, Was: wire.KeyDone}
	unknown, sealed := wire.SealKeyReply{Gate: 7}, wire.SealKeyReply{Gate: 7, Was: wire.KeySealed}
	refusedBy := func(o wire.BeginOutcome) world { return world{begin: &fakeStream{outcome: o}} }
	cases := map[string]struct {
		world   world
		once    bool
		code    refusal.Code // empty: answered
		ran     refusal.Execution
		retry   filter.RetryReason
		settled []int64
		held    int
		log     []string
	}{
		"started":            {world: world{begin: answer(wire.BeginStarted)}, settled: []int64{6}, log: []string{"track", "begin", "finish"}},
		"attached":           {world: world{begin: answer(wire.BeginRunning)}, settled: []int64{0}, log: []string{"track", "begin", "not started"}},
		"done":               {world: world{begin: answer(wire.BeginDone)}, settled: []int64{0}, log: []string{"track", "begin", "not started"}},
		"gone":               {world: refusedBy(wire.BeginGone), code: refusal.AnswerNotRetained, ran: refusal.DidRun, log: []string{"track", "begin", "not started"}},
		"conflict":           {world: refusedBy(wire.BeginConflict), code: refusal.KeyReused, ran: refusal.NotRun, log: []string{"track", "begin", "not started"}},
		"leaving":            {world: refusedBy(wire.BeginLeaving), code: refusal.NoServer, ran: refusal.NotRun, retry: retryRefused, log: []string{"track", "begin", "not started"}},
		"behind":             {world: refusedBy(wire.BeginBehind), code: refusal.NoServer, ran: refusal.NotRun, retry: retryRefused, log: []string{"track", "begin", "not started"}},
		"full":               {world: refusedBy(wire.BeginFull), code: refusal.Overloaded, ran: refusal.NotRun, retry: retryRefused, log: []string{"track", "begin", "not started"}},
		"stranger":           {world: refusedBy(wire.BeginStranger), code: refusal.NoServer, ran: refusal.NotRun, retry: retryRefused, log: []string{"track", "begin", "not started"}},
		"gate's life sealed": {world: world{sealedGate: true}, code: refusal.NoServer, ran: refusal.NotRun, retry: retryGateSealed, log: []string{"track"}},
		"never sent":         {world: world{beginErr: notSent}, code: refusal.NoServer, ran: refusal.NotRun, retry: retryNotSent, log: []string{"track", "begin", "not started"}},

		"lost, unknown to the gate": {world: world{beginErr: lost, seal: unknown}, code: refusal.NoServer, ran: refusal.NotRun, retry: retrySealed, log: []string{"track", "begin", "seal", "not started"}},
		"lost, sealed before":       {world: world{beginErr: lost, seal: sealed}, code: refusal.NoServer, ran: refusal.NotRun, retry: retrySealed, log: []string{"track", "begin", "seal", "not started"}},
		"lost, running":             {world: world{beginErr: lost, seal: running, attached: answer(wire.BeginRunning)}, settled: []int64{6}, log: []string{"track", "begin", "seal", "attach", "finish"}},
		"lost, done":                {world: world{beginErr: lost, seal: done, attached: answer(wire.BeginDone)}, settled: []int64{6}, log: []string{"track", "begin", "seal", "attach", "finish"}},
		"lost, no seal either":      {world: world{beginErr: lost, sealErr: errors.New("cut")}, code: refusal.OutcomeUnknown, ran: refusal.MayHaveRun, retry: retryContested, held: 1, log: []string{"track", "begin", "seal"}},
		"lost, other life answers":  {world: world{beginErr: lost, seal: wire.SealKeyReply{Gate: 8}}, code: refusal.OutcomeUnknown, ran: refusal.MayHaveRun, retry: retryContested, held: 1, log: []string{"track", "begin", "seal"}},
		"lost, running, unreadable": {world: world{beginErr: lost, seal: running, attachErr: lost}, code: refusal.OutcomeUnknown, ran: refusal.MayHaveRun, retry: retryContested, held: 1, log: []string{"track", "begin", "seal", "attach"}},
		"lost, done, dropped":       {world: world{beginErr: lost, seal: done, attached: &fakeStream{outcome: wire.BeginGone}}, code: refusal.AnswerNotRetained, ran: refusal.DidRun, held: 1, log: []string{"track", "begin", "seal", "attach"}},

		"once: lost, unknown":     {world: world{beginErr: lost, seal: unknown}, once: true, code: refusal.NoServer, ran: refusal.NotRun, retry: retrySealed, log: []string{"track", "begin", "seal", "not started"}},
		"once: lost, no seal":     {world: world{beginErr: lost, sealErr: errors.New("cut")}, once: true, code: refusal.OutcomeUnknown, ran: refusal.MayHaveRun, held: 1, log: []string{"track", "begin", "seal"}},
		"once: leaving":           {world: refusedBy(wire.BeginLeaving), once: true, code: refusal.NoServer, ran: refusal.NotRun, log: []string{"track", "begin", "not started", "seal"}},
		"once: life replaced":     {world: refusedBy(wire.BeginStranger), once: true, code: refusal.OutcomeUnknown, ran: refusal.MayHaveRun, log: []string{"track", "begin", "not started"}},
		"once: failed at the end": {world: world{begin: &fakeStream{outcome: wire.BeginStarted, frames: []wire.Frame{failure(wire.Usage{})}}}, once: true, code: refusal.BackendFailed, ran: refusal.MayHaveRun, settled: []int64{0}, log: []string{"track", "begin", "finish"}},

		"failed before output":    {world: world{begin: &fakeStream{outcome: wire.BeginStarted, frames: []wire.Frame{failure(usage)}}}, code: refusal.BackendFailed, ran: refusal.DidRun, retry: retryFailed, settled: []int64{6}, log: []string{"track", "begin", "finish"}},
		"failed after output":     {world: world{begin: &fakeStream{outcome: wire.BeginStarted, frames: []wire.Frame{event("1"), failure(usage)}}}, code: refusal.BackendFailed, ran: refusal.DidRun, settled: []int64{6}, log: []string{"track", "begin", "finish"}},
		"cannot be resumed, none": {world: world{begin: &fakeStream{outcome: wire.BeginStarted, err: relay.ErrNotResumable}}, code: refusal.OutcomeUnknown, ran: refusal.MayHaveRun, retry: retryContested, held: 1, log: []string{"track", "begin"}},
		"cannot be resumed, some": {world: world{begin: &fakeStream{outcome: wire.BeginStarted, frames: []wire.Frame{event("1")}, err: relay.ErrNotResumable}}, code: refusal.BackendFailed, ran: refusal.DidRun, held: 1, log: []string{"track", "begin"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := c.world
			w.t = t
			r, recorder := newRequest(&w)
			r.Once = c.once
			out := New(Deps{Relay: &w, Gates: &w, Settler: &w, Router: &w}).Handle(t.Context(), r, nil)
			require.Equal(t, c.retry, out.Retry)
			require.Equal(t, c.log, w.log)
			require.Equal(t, c.settled, w.settled)
			require.Equal(t, c.held, w.held)
			require.Equal(t, w.held, w.lost, "what is held is looked for")
			require.Equal(t, len(c.settled)+c.held == 0, r.Reservation != nil, "freed by admit if and only if not ended here")
			mayHaveRun := c.ran == refusal.MayHaveRun && c.held > 0 || c.retry == retryFailed
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

func TestBeginCarriesWhatIsLeftOfTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{begin: answer(wire.BeginStarted)}
		r, _ := newRequest(w)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		time.Sleep(20 * time.Second)
		New(Deps{Relay: w, Gates: w, Settler: w, Router: w}).Handle(ctx, r, nil)
		require.Equal(t, 40*time.Second, w.request.Timeout)
		require.Equal(t, wire.Offsets{Settings: 1, Fleet: 2}, w.request.Offsets)
	})
}

// TestCallerThatLeaves covers a caller that goes away in the middle: its run
// is cancelled if it cannot come back, and settled in any case.
func TestCallerThatLeaves(t *testing.T) {
	for _, keyed := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			stream := answer(wire.BeginStarted)
			stream.wait = make(chan struct{})
			w := &world{begin: stream, cancelled: make(chan struct{})}
			r, _ := newRequest(w)
			if keyed {
				r.CallerKey = "order 12"
			}
			ctx, leave := context.WithCancel(context.Background())
			ended := make(chan struct{})
			go func() {
				New(Deps{Relay: w, Gates: w, Settler: w, Router: w}).Handle(ctx, r, nil)
				close(ended)
			}()
			synctest.Wait()
			leave()
			synctest.Wait()
			select {
			case <-w.cancelled:
				require.False(t, keyed)
			default:
				require.True(t, keyed)
			}
			close(stream.wait)
			<-ended
			require.Equal(t, []int64{6}, w.settled)
		})
	}
}

func TestWholeAnswers(t *testing.T) {
	w := &world{begin: &fakeStream{outcome: wire.BeginStarted, frames: []wire.Frame{
		event(`{"id":"c1","created":5,"model":"maps","choices":[{"delta":{"role":"assistant","content":"row "}}]}`),
		event(`{"id":"c1","created":5,"model":"maps","choices":[{"delta":{"content":"7","tool_calls":[{"index":0,"id":"t","function":{"name":"f","arguments":"{"}}]},"finish_reason":null}]}`),
		event(`{"id":"c1","created":5,"model":"maps","choices":[{"delta":{"tool_calls":[{"index":0,"function":{"arguments":"}"}}]},"finish_reason":"stop"}],"usage":{"prompt_tokens":4,"completion_tokens":2,"total_tokens":6}}`),
		end(),
	}}}
	r, recorder := newRequest(w)
	r.Stream = false
	out := New(Deps{Relay: w, Gates: w, Settler: w, Router: w}).Handle(t.Context(), r, nil)
	require.Nil(t, out.Refusal)
	require.JSONEq(t, `{"id":"c1","object":"chat.completion","created":5,"model":"maps","choices":[{"index":0,"message":
		{"role":"assistant","content":"row 7","tool_calls":[{"id":"t","type":"function","function":{"name":"f","arguments":"{}"}}]},
		"finish_reason":"stop"}],"usage":{"prompt_tokens":4,"completion_tokens":2,"total_tokens":6}}`, recorder.Body.String())

	w = &world{begin: &fakeStream{outcome: wire.BeginStarted, frames: []wire.Frame{event("or"), event("der"),
		{Kind: wire.FrameEnd, Usage: usage, Result: wire.Result{Status: 201, ContentType: "text/plain"}}}}}
	r, recorder = newRequest(w)
	r.Route.Service = "desk"
	out = New(Deps{Relay: w, Gates: w, Settler: w, Router: w}).Handle(t.Context(), r, nil)
	require.Nil(t, out.Refusal)
	require.Equal(t, 201, recorder.Code)
	require.Equal(t, "order", recorder.Body.String())
	require.Equal(t, "text/plain", recorder.Header().Get("Content-Type"))
}
