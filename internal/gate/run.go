package gate

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// eventOverhead is the memory of an event beyond its data, in bytes.
const eventOverhead = 64

// Reasons for which a run is stopped.
var (
	errCancelled = errors.New("cancelled")
	errNoReader  = errors.New("nobody reads the answer")
	errTimeout   = errors.New("deadline exceeded")
)

// event is one element of an answer.
type event struct {
	data   []byte
	tokens int64
}

// run is one execution of a call and its answer.
type run struct {
	gate        *Gate
	id          ident.RunID
	key         ident.Key
	body        ident.Key
	team        ident.TeamID
	account     ident.AccountID
	router      ident.Incarnation
	holder      ident.Incarnation
	bound       int64 // tokens
	maxOutput   int64 // tokens
	plain       bool  // call of a plain service
	keep        bool  // goes on without a reader
	cancel      context.CancelCauseFunc
	settledDone chan struct{} // closed when the settlement was read back
	size        atomic.Int64  // bytes of the retained events
	bodyBytes   int64         // of the request, held while the run goes on
	started     time.Time
	answered    bool // the first event came; only the backend's goroutine touches it

	// mu guards the answer and its readers. It is held for memory operations
	// only and is the innermost lock but for that of the buffer, which is
	// never taken under it.
	mu      sync.Mutex
	events  []event
	first   uint64 // offset of events[0]
	usage   wire.Usage
	result  wire.Result
	known   bool // result is known
	ended   bool
	failed  bool
	dropped bool // no event is retained any more
	cut     bool // stopped at the bound
	readers map[*AnswerReader]struct{}
	idle    *time.Timer // cancels a run without readers
}

// newRun returns a run and the context in which it is executed.
func newRun(g *Gate, id ident.RunID, request *wire.BeginRequest) (context.Context, *run) {
	ctx, cancel := context.WithCancelCause(context.Background())
	r := &run{
		gate:        g,
		id:          id,
		key:         request.Key,
		body:        request.BodyHash,
		team:        request.Team,
		account:     request.Account,
		router:      request.Router,
		holder:      request.Holder,
		bound:       max(request.TokenBound, 0),
		maxOutput:   max(min(request.MaxOutput, request.TokenBound), 0),
		plain:       request.Call.Service != "",
		keep:        request.AtMostOnce,
		cancel:      cancel,
		started:     time.Now(),
		bodyBytes:   int64(len(request.Call.Body)),
		settledDone: make(chan struct{}),
		readers:     make(map[*AnswerReader]struct{}, 1),
	}
	limit := MaxRunTime
	if request.Timeout > 0 {
		limit = min(limit, request.Timeout)
	}
	timer := time.AfterFunc(limit, func() { cancel(errTimeout) })
	context.AfterFunc(ctx, func() { timer.Stop() })
	return ctx, r
}

// SetResult implements Sink.
func (r *run) SetResult(result wire.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result = result
	r.known = true
}

// AddEvent implements Sink. It never waits for a reader.
func (r *run) AddEvent(data []byte, tokens int64) bool {
	if !r.answered {
		r.answered = true
		r.gate.noteFirstEvent(time.Since(r.started))
	}
	if !r.take(data, tokens) {
		r.gate.counts.Inc("cut_off")
		return false
	}
	size := int64(len(data) + eventOverhead)
	r.size.Add(size)
	if r.gate.buffer.grow(size) {
		r.gate.bury(r.gate.buffer.shrink(time.Now()))
	}
	return true
}

func (r *run) take(data []byte, tokens int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if tokens > 0 && r.usage.Output+tokens > r.maxOutput {
		r.cut = true
		return false
	}
	r.usage.Output += tokens
	r.events = append(r.events, event{data: data, tokens: tokens})
	r.wake()
	return true
}

// wake is called under the lock.
func (r *run) wake() {
	for a := range r.readers {
		select {
		case a.changed <- struct{}{}:
		default:
		}
	}
}

// finish records how the call ended.
func (r *run) finish(ctx context.Context, outcome Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	r.failed = !outcome.Complete && !r.cut
	r.result = outcome.Result
	r.known = true
	if cause := context.Cause(ctx); cause != nil && r.failed {
		r.result.Message = cause.Error()
	}
	r.usage = r.finalUsage(outcome)
	if r.idle != nil {
		r.idle.Stop()
	}
	r.cancel(nil)
	r.wake()
}

// finalUsage is called under the lock. It never exceeds the bound.
func (r *run) finalUsage(outcome Outcome) wire.Usage {
	usage := wire.Usage{Output: r.usage.Output}
	if outcome.OutputKnown {
		usage.Output = min(max(usage.Output, outcome.Output), r.maxOutput)
	}
	switch {
	case !outcome.MayHaveRun:
		return wire.Usage{}
	case r.plain:
		return wire.Usage{Output: r.bound}
	case outcome.PromptKnown:
		usage.Prompt = outcome.Prompt
	default:
		usage.Prompt = r.bound - r.maxOutput
	}
	if usage.Total() > r.bound {
		r.gate.counts.Inc("prompt_above_bound")
		usage.Prompt = r.bound - usage.Output
	}
	return usage
}

func (r *run) settlement() ledger.Settle {
	r.mu.Lock()
	defer r.mu.Unlock()
	return ledger.Settle{
		Team:            r.team,
		Account:         r.account,
		Holder:          r.holder,
		Run:             r.id,
		Key:             r.key,
		Tokens:          r.usage.Total(),
		LowestUnsettled: r.gate.numbers.settledBelow(),
		Router:          r.router,
	}
}

func (r *run) over() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ended
}

func (r *run) isSettled() bool {
	select {
	case <-r.settledDone:
		return true
	default:
		return false
	}
}

func (r *run) buriable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ended && r.dropped && r.isSettled()
}

// attach adds a reader that wants the events from an offset on.
func (r *run) attach(request ident.RequestID, attempt uint32, from uint64) (*AnswerReader, wire.BeginOutcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.dropped || from < r.first {
		return goneAnswer(request, attempt, r.id), wire.BeginNotRetained
	}
	a := &AnswerReader{
		run:     r,
		request: request,
		attempt: attempt,
		next:    from,
		changed: make(chan struct{}, 1),
		outcome: wire.BeginRunning,
	}
	if r.ended {
		a.outcome = wire.BeginDone
		return a, a.outcome
	}
	r.readers[a] = struct{}{}
	return a, a.outcome
}

// detach removes a reader. A run that nobody has read for ReaderGrace is
// stopped.
func (r *run) detach(a *AnswerReader) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.readers[a]; !ok {
		return
	}
	delete(r.readers, a)
	if len(r.readers) > 0 || r.ended || r.keep {
		return
	}
	if r.idle == nil {
		r.idle = time.AfterFunc(ReaderGrace, r.abandon)
		return
	}
	r.idle.Reset(ReaderGrace)
}

// abandon stops the run unless a reader came back in the meantime.
func (r *run) abandon() {
	r.mu.Lock()
	unread := len(r.readers) == 0 && !r.ended
	r.mu.Unlock()
	if unread {
		r.gate.counts.Inc("no_reader")
		r.cancel(errNoReader)
	}
}
