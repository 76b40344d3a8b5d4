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

// eventOverhead is the memory in bytes that a retained event takes beyond its
// data.
const eventOverhead = 64

// Causes for which a run is cancelled. Their texts are sent to the caller.
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

// run is one execution of a call, with its answer.
type run struct {
	gate           *Gate
	id             ident.RunID
	key            ident.Key
	bodyHash       ident.Key
	team           ident.TeamID
	account        ident.AccountID
	router         ident.Incarnation // router that began the run
	holder         ident.Incarnation // router whose grant pays
	bound          int64             // upper limit of prompt plus output tokens
	maxOutput      int64             // tokens
	plainService   bool              // the call goes to a plain service, which has a fixed price in tokens
	needsNoReader  bool              // the run is not stopped when it has no reader
	cancel         context.CancelCauseFunc
	settledDone    chan struct{} // closed when the settlement was read back from the ledger
	eventBytes     atomic.Int64  // size of the retained events
	bodyBytes      int64         // size of the request body, retained while the run is in progress
	started        time.Time
	firstEventSeen bool // accessed only by the backend's goroutine

	// mu guards the answer and its readers, all fields below. It is held for
	// memory operations only. While it is held, the lock of runNumbers may be
	// acquired but never that of the buffer.
	mu           sync.Mutex
	events       []event
	firstOffset  uint64 // offset of events[0]
	usage        wire.Usage
	result       wire.Result
	resultKnown  bool // result is set
	ended        bool
	failed       bool
	dropped      bool // no events are retained any more
	reachedBound bool // the call was stopped because its output reached the bound
	readers      map[*AnswerReader]struct{}
	abandonTimer *time.Timer // cancels a run that has no reader
}

// newRun returns a run and the context in which it is executed. The context
// ends after the time limit of the run.
func newRun(g *Gate, id ident.RunID, request *wire.BeginRequest) (context.Context, *run) {
	ctx, cancel := context.WithCancelCause(context.Background())
	r := &run{
		gate:          g,
		id:            id,
		key:           request.Key,
		bodyHash:      request.BodyHash,
		team:          request.Team,
		account:       request.Account,
		router:        request.Router,
		holder:        request.Holder,
		bound:         max(request.TokenBound, 0),
		maxOutput:     max(min(request.MaxOutput, request.TokenBound), 0),
		plainService:  request.Call.Service != "",
		needsNoReader: request.AtMostOnce,
		cancel:        cancel,
		started:       time.Now(),
		bodyBytes:     int64(len(request.Call.Body)),
		settledDone:   make(chan struct{}),
		readers:       make(map[*AnswerReader]struct{}, 1),
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
	r.resultKnown = true
}

// AddEvent implements Sink. It never waits for a reader.
func (r *run) AddEvent(data []byte, tokens int64) bool {
	if !r.firstEventSeen {
		r.firstEventSeen = true
		r.gate.recordTimeToFirstEvent(time.Since(r.started))
	}
	if !r.appendEvent(data, tokens) {
		r.gate.counts.Inc("cut_off")
		return false
	}
	size := int64(len(data) + eventOverhead)
	r.eventBytes.Add(size)
	if r.gate.buffer.addBytes(size) {
		r.gate.evictRuns(r.gate.buffer.reclaim(time.Now()))
	}
	return true
}

// appendEvent stores an event and wakes the readers. It returns false, without
// storing the event, if the event would exceed the output limit.
func (r *run) appendEvent(data []byte, tokens int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if tokens > 0 && r.usage.Output+tokens > r.maxOutput {
		r.reachedBound = true
		return false
	}
	r.usage.Output += tokens
	r.events = append(r.events, event{data: data, tokens: tokens})
	r.wakeReaders()
	return true
}

// wakeReaders requires r.mu.
func (r *run) wakeReaders() {
	for a := range r.readers {
		select {
		case a.wakeup <- struct{}{}:
		default:
		}
	}
}

// finish records how the call ended and wakes the readers.
func (r *run) finish(ctx context.Context, outcome Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	r.failed = !outcome.Complete && !r.reachedBound
	r.result = outcome.Result
	r.resultKnown = true
	if cause := context.Cause(ctx); cause != nil && r.failed {
		r.result.Message = cause.Error()
	}
	r.usage = r.finalUsage(outcome)
	if r.abandonTimer != nil {
		r.abandonTimer.Stop()
	}
	r.cancel(nil)
	r.wakeReaders()
}

// finalUsage returns the tokens to bill, at most the bound. It requires r.mu.
//
// A call that cannot have run costs nothing and a plain call costs its bound.
// If the server did not report the prompt's tokens, the prompt is billed at
// the bound less the output limit.
func (r *run) finalUsage(outcome Outcome) wire.Usage {
	usage := wire.Usage{Output: r.usage.Output}
	if outcome.OutputKnown {
		usage.Output = min(max(usage.Output, outcome.Output), r.maxOutput)
	}
	switch {
	case !outcome.MayHaveRun:
		return wire.Usage{}
	case r.plainService:
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
		LowestUnsettled: r.gate.runNumbers.lowestUnsettled(),
		Router:          r.router,
	}
}

func (r *run) hasEnded() bool {
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

// evictable reports whether a tombstone can replace the run: it is settled and
// its answer was dropped.
func (r *run) evictable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ended && r.dropped && r.isSettled()
}

// attach adds a reader of the events from an offset on. The outcome is
// BeginNotRetained if that event is no longer retained.
func (r *run) attach(request ident.RequestID, attempt uint32, from uint64) (*AnswerReader, wire.BeginOutcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.dropped || from < r.firstOffset {
		return newNotRetainedReader(request, attempt, r.id), wire.BeginNotRetained
	}
	a := &AnswerReader{
		run:        r,
		request:    request,
		attempt:    attempt,
		nextOffset: from,
		wakeup:     make(chan struct{}, 1),
		outcome:    wire.BeginRunning,
	}
	if r.ended {
		a.outcome = wire.BeginDone
		return a, a.outcome
	}
	r.readers[a] = struct{}{}
	return a, a.outcome
}

// detach removes a reader. A run without readers is stopped after ReaderGrace,
// unless its call must not be repeated.
func (r *run) detach(a *AnswerReader) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.readers[a]; !ok {
		return
	}
	delete(r.readers, a)
	if len(r.readers) > 0 || r.ended || r.needsNoReader {
		return
	}
	if r.abandonTimer == nil {
		r.abandonTimer = time.AfterFunc(ReaderGrace, r.abandon)
		return
	}
	r.abandonTimer.Reset(ReaderGrace)
}

// abandon stops the run if it still has no reader.
func (r *run) abandon() {
	r.mu.Lock()
	unread := len(r.readers) == 0 && !r.ended
	r.mu.Unlock()
	if unread {
		r.gate.counts.Inc("no_reader")
		r.cancel(errNoReader)
	}
}
