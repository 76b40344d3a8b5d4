package gate

import (
	"context"
	"net/http"
	"time"

	"github.com/sourcegraph/conc/panics"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// Begin starts the run of a key, attaches to it, or refuses. The answer is
// never nil: after a refusal it holds only the frame that tells the outcome.
// The caller closes the answer. Begin does not wait; a caller whose offsets
// are ahead of the gate's lets it catch up before.
func (g *Gate) Begin(request *wire.BeginRequest) (*AnswerReader, wire.BeginOutcome) {
	answer, outcome := g.begin(request)
	g.counts.Inc(outcome.String())
	return answer, outcome
}

func (g *Gate) begin(request *wire.BeginRequest) (*AnswerReader, wire.BeginOutcome) {
	own := g.Incarnation()
	if own == 0 || request.Gate != own {
		return refused(request, wire.BeginWrongIncarnation)
	}
	if ahead(request.Offsets, g.config.Fleet.Offsets()) {
		return refused(request, wire.BeginBehind)
	}
	s := g.shardOf(request.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.runs[request.Key]; ok {
		if r.body != request.BodyHash {
			return refused(request, wire.BeginConflict)
		}
		return r.attach(request.Request, request.Attempt, request.From)
	}
	if ended, ok := s.ended.find(request.Key); ok {
		if !ended.old && ended.body != shortHash(request.BodyHash) {
			return refused(request, wire.BeginConflict)
		}
		return goneAnswer(request.Request, request.Attempt, runOf(own, ended)), wire.BeginNotRetained
	}
	if outcome := g.mayStart(s, request); outcome != wire.BeginStarted {
		return refused(request, outcome)
	}
	return g.start(s, request)
}

// mayStart decides whether an unknown key may start. It is called under the
// shard's lock, which SealKey, Release and Leave pass through after they have
// made their fact visible.
func (g *Gate) mayStart(s *shard, request *wire.BeginRequest) wire.BeginOutcome {
	if _, ok := s.sealed[request.Key]; ok {
		return wire.BeginSealed
	}
	if g.leaving.Load() {
		return wire.BeginLeaving
	}
	for _, life := range [...]ident.Incarnation{request.Gate, request.Router, request.Holder} {
		if g.config.Fleet.IncarnationState(life) != Live {
			return wire.BeginSealed
		}
	}
	if g.running.Load() >= g.maxRunning.Load() || g.buffer.full(int64(len(request.Call.Body))) {
		return wire.BeginFull
	}
	return wire.BeginStarted
}

// start registers and starts a run. It is called under the shard's lock.
func (g *Gate) start(s *shard, request *wire.BeginRequest) (*AnswerReader, wire.BeginOutcome) {
	id := ident.RunID{Gate: request.Gate, Number: g.numbers.next()}
	ctx, r := newRun(g, id, request)
	s.runs[request.Key] = r
	g.running.Add(1)
	g.lastStart.Store(time.Now().UnixNano())
	answer, _ := r.attach(request.Request, request.Attempt, request.From)
	answer.outcome = wire.BeginStarted
	g.buffer.started(r)
	job := Job{
		Run:        id,
		Key:        request.Key,
		Call:       request.Call,
		MaxOutput:  request.MaxOutput,
		Priority:   request.Priority,
		AtMostOnce: request.AtMostOnce,
	}
	g.runs.Go(func() { g.execute(ctx, r, job) })
	return answer, wire.BeginStarted
}

// execute runs the call to its end, settles it and wakes its readers.
func (g *Gate) execute(ctx context.Context, r *run, job Job) {
	if g.buffer.grow(r.bodyBytes) {
		g.bury(g.buffer.shrink(time.Now()))
	}
	r.finish(ctx, g.call(ctx, r, job))
	g.running.Add(-1)
	g.bury(g.buffer.ended(r, time.Now()))
	g.config.Settler.Settle(r.settlement(), func() { g.settled(r) })
}

// call passes the call to the backend. A panic there fails this run only; it
// is billed as far as it was metered.
func (g *Gate) call(ctx context.Context, r *run, job Job) (outcome Outcome) {
	recovered := panics.Try(func() { outcome = g.config.Backend.Run(ctx, job, r) })
	if recovered == nil {
		return outcome
	}
	g.counts.Inc("panic")
	g.log.Error().Stringer("run", r.id).Str("cause", recovered.String()).Msg("run failed by a panic")
	return Outcome{MayHaveRun: true, Result: wire.Result{Status: http.StatusInternalServerError, Message: "internal error"}}
}

// settled marks a run whose settlement stands in the ledger.
func (g *Gate) settled(r *run) {
	g.numbers.settle(r.id.Number)
	close(r.settledDone)
	g.bury([]*run{r})
}

// bury replaces runs by tombstones if they are settled and their answers were
// dropped.
func (g *Gate) bury(runs []*run) {
	for _, r := range runs {
		if !r.buriable() {
			continue
		}
		s := g.shardOf(r.key)
		s.mu.Lock()
		delete(s.runs, r.key)
		s.ended.add(r.key, tombstone{number: r.id.Number, body: shortHash(r.body)})
		s.mu.Unlock()
	}
}

// Resume attaches to the answer of a key.
func (g *Gate) Resume(request *wire.ResumeRequest) (*AnswerReader, wire.BeginOutcome) {
	answer, outcome := g.resume(request)
	answer.request, answer.attempt = request.Request, request.Attempt
	answer.outcome = outcome
	g.counts.Inc("resume_" + outcome.String())
	return answer, outcome
}

func (g *Gate) resume(request *wire.ResumeRequest) (*AnswerReader, wire.BeginOutcome) {
	own := g.Incarnation()
	if own == 0 || request.Gate != own {
		return &AnswerReader{}, wire.BeginWrongIncarnation
	}
	s := g.shardOf(request.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.runs[request.Key]; ok {
		if request.BodyHash != (ident.Key{}) && r.body != request.BodyHash {
			return &AnswerReader{}, wire.BeginConflict
		}
		return r.attach(request.Request, request.Attempt, request.From)
	}
	if ended, ok := s.ended.find(request.Key); ok {
		return goneAnswer(request.Request, request.Attempt, runOf(own, ended)), wire.BeginNotRetained
	}
	if _, ok := s.sealed[request.Key]; ok {
		return &AnswerReader{}, wire.BeginSealed
	}
	return &AnswerReader{}, wire.BeginUnknownKey
}

// runOf names the run of an ended key, if it is still known.
func runOf(own ident.Incarnation, ended tombstone) ident.RunID {
	if ended.old {
		return ident.RunID{}
	}
	return ident.RunID{Gate: own, Number: ended.number}
}

func ahead(theirs, own wire.Offsets) bool {
	return theirs.Settings > own.Settings || theirs.Fleet > own.Fleet
}
