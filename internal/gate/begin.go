package gate

import (
	"context"
	"net/http"
	"time"

	"github.com/sourcegraph/conc/panics"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// Begin starts the run of a key, attaches to the run that the key already has,
// or refuses. The returned reader is never nil: after a refusal it returns
// only the begin frame with the outcome. The caller must close it. Begin does
// not wait: a request whose stream offsets are ahead of the gate's is refused
// with BeginBehind, so the caller of Begin lets the gate catch up first.
func (g *Gate) Begin(request *wire.BeginRequest) (*AnswerReader, wire.BeginOutcome) {
	answer, outcome := g.begin(request)
	g.counts.Inc(outcome.String())
	return answer, outcome
}

func (g *Gate) begin(request *wire.BeginRequest) (*AnswerReader, wire.BeginOutcome) {
	own := g.Incarnation()
	if own == 0 || request.Gate != own {
		return refuse(request, wire.BeginWrongIncarnation)
	}
	if isAhead(request.Offsets, g.config.Fleet.Offsets()) {
		return refuse(request, wire.BeginBehind)
	}
	s := g.shardOf(request.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.runs[request.Key]; ok {
		if r.bodyHash != request.BodyHash {
			return refuse(request, wire.BeginConflict)
		}
		return r.attach(request.Request, request.Attempt, request.From)
	}
	if ended, ok := s.ended.find(request.Key); ok {
		if !ended.keyOnly && ended.bodyHash != shortHash(request.BodyHash) {
			return refuse(request, wire.BeginConflict)
		}
		return newNotRetainedReader(request.Request, request.Attempt, endedRunID(own, ended)), wire.BeginNotRetained
	}
	if outcome := g.checkStart(s, request); outcome != wire.BeginStarted {
		return refuse(request, outcome)
	}
	return g.start(s, request)
}

// checkStart decides whether a key that has not run may start. It requires the
// shard's lock. SealKey seals the key under that lock; WaitSettled and Leave
// acquire it after the sealed incarnation or the leaving flag has become
// visible. So none of them misses a start that was decided before.
func (g *Gate) checkStart(s *shard, request *wire.BeginRequest) wire.BeginOutcome {
	if _, ok := s.sealed[request.Key]; ok {
		return wire.BeginSealed
	}
	if g.leaving.Load() {
		return wire.BeginLeaving
	}
	for _, incarnation := range [...]ident.Incarnation{request.Gate, request.Router, request.Holder} {
		if g.config.Fleet.IncarnationState(incarnation) != Live {
			return wire.BeginSealed
		}
	}
	if g.running.Load() >= g.maxRunning.Load() || g.buffer.full(int64(len(request.Call.Body))) {
		return wire.BeginFull
	}
	return wire.BeginStarted
}

// start registers and starts a run. It requires the shard's lock.
func (g *Gate) start(s *shard, request *wire.BeginRequest) (*AnswerReader, wire.BeginOutcome) {
	id := ident.RunID{Gate: request.Gate, Number: g.runNumbers.next()}
	ctx, r := newRun(g, id, request)
	s.runs[request.Key] = r
	g.running.Add(1)
	g.lastStart.Store(time.Now().UnixNano())
	answer, _ := r.attach(request.Request, request.Attempt, request.From)
	answer.outcome = wire.BeginStarted
	g.buffer.addRunning(r)
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

// execute runs the call to its end, wakes the readers and queues the
// settlement.
func (g *Gate) execute(ctx context.Context, r *run, job Job) {
	if g.buffer.addBytes(r.bodyBytes) {
		g.evictRuns(g.buffer.reclaim(time.Now()))
	}
	r.finish(ctx, g.call(ctx, r, job))
	g.running.Add(-1)
	g.evictRuns(g.buffer.moveToFinished(r, time.Now()))
	g.config.Settler.Settle(r.settlement(), func() { g.markSettled(r) })
}

// call passes the call to the backend. A panic in the backend fails only this
// run, which is billed for the tokens metered so far.
func (g *Gate) call(ctx context.Context, r *run, job Job) (outcome Outcome) {
	recovered := panics.Try(func() { outcome = g.config.Backend.Run(ctx, job, r) })
	if recovered == nil {
		return outcome
	}
	g.counts.Inc("panic")
	g.log.Error().Stringer("run", r.id).Str("cause", recovered.String()).Msg("backend call panicked; run failed")
	return Outcome{MayHaveRun: true, Result: wire.Result{Status: http.StatusInternalServerError, Message: "internal error"}}
}

// markSettled records that the settlement of a run is in the ledger.
func (g *Gate) markSettled(r *run) {
	g.runNumbers.settle(r.id.Number)
	close(r.settledDone)
	g.evictRuns([]*run{r})
}

// evictRuns replaces each run that is settled and whose answer was dropped by
// a tombstone.
func (g *Gate) evictRuns(runs []*run) {
	for _, r := range runs {
		if !r.evictable() {
			continue
		}
		s := g.shardOf(r.key)
		s.mu.Lock()
		delete(s.runs, r.key)
		s.ended.add(r.key, tombstone{runNumber: r.id.Number, bodyHash: shortHash(r.bodyHash)})
		s.mu.Unlock()
	}
}

// Resume attaches a reader to the answer of a key that has run, from the
// requested offset on. It never starts a run. The outcome is BeginConflict if
// the request names another body than the run's. The caller must close the
// reader.
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
		if request.BodyHash != (ident.Key{}) && r.bodyHash != request.BodyHash {
			return &AnswerReader{}, wire.BeginConflict
		}
		return r.attach(request.Request, request.Attempt, request.From)
	}
	if ended, ok := s.ended.find(request.Key); ok {
		return newNotRetainedReader(request.Request, request.Attempt, endedRunID(own, ended)), wire.BeginNotRetained
	}
	if _, ok := s.sealed[request.Key]; ok {
		return &AnswerReader{}, wire.BeginSealed
	}
	return &AnswerReader{}, wire.BeginUnknownKey
}

// endedRunID returns the run of a key that has ended, or the zero RunID if
// only the key is still remembered.
func endedRunID(own ident.Incarnation, ended tombstone) ident.RunID {
	if ended.keyOnly {
		return ident.RunID{}
	}
	return ident.RunID{Gate: own, Number: ended.runNumber}
}

// isAhead reports whether the requester has read further in a stream than the
// gate.
func isAhead(theirs, own wire.Offsets) bool {
	return theirs.Settings > own.Settings || theirs.Fleet > own.Fleet
}
